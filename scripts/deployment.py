"""Starts, operates and shuts down a deployment on loopback.

Each process has its own loopback address, 127.RUN.ZONE.NUMBER, and uses the
same ports, so that several deployments can run side by side. Processes are
ended by their process ids.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"

CALLER_PORT, ANNOUNCE_PORT, OPERATOR_PORT, PEER_PORT = 8100, 8101, 8102, 8103
TARGET_PORT, STORE_PORT, LINK_PORT = 9000, 9400, 9500

ENGINE_HOST_BASE, SERVICE_HOST_BASE, CONTROL_HOST_BASE, ENTRY_HOST_BASE = 100, 150, 200, 10


class Process:
    """A started program. `restart` runs the same command again."""

    def __init__(self, name, command, folder):
        self.name, self.command, self.folder = name, command, folder
        self.handle = None
        self.start()

    def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        out = open(self.folder / f"{self.name}.out", "wb")
        self.handle = subprocess.Popen(
            [str(part) for part in self.command], stdout=out, stderr=log)

    restart = start

    def send_signal(self, signal_number):
        if self.handle.poll() is None:
            self.handle.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.handle.wait()

    def stop(self, seconds=20):
        """Stops the process with SIGTERM and returns its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return self.handle.wait(seconds)

    def running(self):
        return self.handle.poll() is None

    def output(self):
        return (self.folder / f"{self.name}.out").read_text()


def call(address, method, path, body=None, headers=None, timeout=5):
    """Makes one HTTP call and returns (status, decoded body)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = body if isinstance(body, (str, bytes)) or body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        text = answer.read().decode()
        try:
            return answer.status, json.loads(text)
        except ValueError:
            return answer.status, text
    finally:
        connection.close()


def wait_for(condition, seconds, failure_message):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"after {seconds} s: {failure_message}")


class Deployment:
    """Zones with entry instances, control instances and targets.

    `shape` is the `deployment` object of an experiment's settings.
    """

    def __init__(self, shape, run=None):
        self.shape = shape
        self.run = run or 16 + os.getpid() % 200
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limpethatch-"))
        self.processes = {}
        self.zones = shape["zones"]
        self.zone_of = {}
        self.addresses = {}
        self._assign_addresses()

    # Addresses --------------------------------------------------------------

    def _assign_addresses(self):
        shape = self.shape
        kinds = [
            ("entry", shape["entries"], ENTRY_HOST_BASE),
            ("control", shape.get("controls", 3), CONTROL_HOST_BASE),
            ("engine", shape.get("engines", 0), ENGINE_HOST_BASE),
            ("service", shape.get("services", 0), SERVICE_HOST_BASE),
        ]
        for kind, count, first in kinds:
            for i in range(count):
                zone = i % len(self.zones)
                name = f"{kind}-{i + 1}"
                self.zone_of[name] = self.zones[zone]
                self.addresses[name] = f"127.{self.run}.{zone + 1}.{first + i // len(self.zones)}"

    def names(self, kind, zone=None):
        return [name for name in self.addresses
                if name.startswith(kind + "-") and zone in (None, self.zone_of[name])]

    def address(self, name, port):
        return f"{self.addresses[name]}:{port}"

    def callers(self, zone=None):
        return [self.address(name, CALLER_PORT) for name in self.names("entry", zone)]

    def _address_translation(self, zone):
        """Maps the addresses that `zone` reaches through links to those of the links."""
        if not self.shape.get("links"):
            return {}
        table = {}
        for name, host in self.addresses.items():
            if self._is_linked(zone, name):
                for port in self._linked_ports(name):
                    table[f"{host}:{port}"] = self._link_address(zone, name, port)
        return table

    def _is_linked(self, zone, name):
        """True if `zone` reaches `name` through a link.

        With "links": true these are connections between zones, with "all" also
        those to targets of the same zone.
        """
        is_target = name.split("-")[0] in ("engine", "service")
        return self.zone_of[name] != zone or (self.shape["links"] == "all" and is_target)

    def _linked_ports(self, name):
        kind = name.split("-")[0]
        return {"entry": [PEER_PORT], "control": [PEER_PORT]}.get(kind, [TARGET_PORT])

    def _link_address(self, zone, name, port):
        number = self.zones.index(zone) + 1
        _, run, other, last = self.addresses[name].split(".")
        return f"127.{run}.{100 + 10 * number + int(other)}.{last}:{port}"

    # Starting ---------------------------------------------------------------

    def start(self):
        if self.shape.get("links"):
            self._start_link()
        if self.shape.get("engines"):
            self._start_store()
        for name in self.names("control"):
            self.start_control(name)
        for name in self.names("entry"):
            self.start_entry(name)
        for name in self.names("engine"):
            self.start_engine(name)
        for name in self.names("service"):
            self.start_service(name)

    def spawn(self, name, command):
        process = Process(name, command, self.folder)
        self.processes[name] = process
        return process

    def _settings(self, name, settings):
        path = self.folder / f"{name}.json"
        common = {"id": name, "zone": self.zone_of[name],
                  "log_level": self.shape.get("log_level", "info"),
                  "address_translation": self._address_translation(self.zone_of[name])}
        path.write_text(json.dumps({**common, **settings}, indent=2))
        return path

    def start_control(self, name):
        replicas = [{"id": other, "endpoint": self.address(other, PEER_PORT)}
                    for other in self.names("control")]
        path = self._settings(name, {
            "listen": {"peers": self.address(name, PEER_PORT)},
            "data_folder": str(self.folder / f"{name}.data"),
            "replicas": replicas, **self.shape.get("control_settings", {})})
        return self.spawn(name, [BIN / "limpethatch-control", "--settings", path])

    def start_entry(self, name):
        path = self._settings(name, {
            "listen": {"callers": self.address(name, CALLER_PORT),
                       "targets": self.address(name, ANNOUNCE_PORT),
                       "operators": self.address(name, OPERATOR_PORT),
                       "peers": self.address(name, PEER_PORT)},
            "control": [self.address(other, PEER_PORT) for other in self.names("control")],
            "seeds": [self.address(other, PEER_PORT) for other in self.names("entry")
                      if other != name][:6],
            **self.shape.get("entry_settings", {})})
        return self.spawn(name, [BIN / "limpethatch-entry", "--settings", path])

    def _announce_to(self, name):
        return ",".join(self.address(other, ANNOUNCE_PORT)
                        for other in self.names("entry", self.zone_of[name]))

    def start_engine(self, name, **changes):
        options = {"listen": self.address(name, TARGET_PORT), "id": name,
                   "zone": self.zone_of[name], "announce": self._announce_to(name),
                   "weights-store": f"127.{self.run}.0.1:{STORE_PORT}",
                   **self.shape.get("engine", {}),
                   **self.shape.get("engine_overrides", {}).get(name, {}), **changes}
        return self.spawn(name, self._standin("engine", options))

    def start_service(self, name, **changes):
        options = {"listen": self.address(name, TARGET_PORT), "id": name,
                   "zone": self.zone_of[name], "announce": self._announce_to(name),
                   **self.shape.get("service", {}), **changes}
        return self.spawn(name, self._standin("service", options))

    def _start_store(self):
        options = {"listen": f"127.{self.run}.0.1:{STORE_PORT}", **self.shape.get("store", {})}
        self.spawn("weights", self._standin("weights", options))

    def _start_link(self):
        command = [BIN / "limpethatch-standin", "link", "--control", self.link_control()]
        for zone in self.zones:
            for name, host in self.addresses.items():
                if self._is_linked(zone, name):
                    for port in self._linked_ports(name):
                        group = f"{zone}:{self.zone_of[name]}"
                        command += ["--forward",
                                    f"{self._link_address(zone, name, port)}={host}:{port}@{group}"]
        self.spawn("link", command)

    def link_control(self):
        return f"127.{self.run}.0.1:{LINK_PORT}"

    @staticmethod
    def _standin(kind, options):
        command = [BIN / "limpethatch-standin", kind]
        for key, value in options.items():
            command += [part for one in (value if isinstance(value, list) else [value])
                        for part in (f"--{key}", str(one))]
        return command

    # Operating the deployment -----------------------------------------------

    def operators(self, name="entry-1"):
        return self.address(name, OPERATOR_PORT)

    def wait_ready(self, seconds=20):
        """Waits until every entry instance is ready and lists every target."""
        targets = len(self.names("engine")) + len(self.names("service"))
        for name in self.names("entry"):
            wait_for(lambda at=name: call(self.operators(at), "GET", "/readyz")[0] == 200,
                     seconds, f"{name} is not ready")
            wait_for(lambda at=name: len(self.targets(at)) >= targets,
                     seconds, f"{name} does not know all {targets} targets")

    def targets(self, name="entry-1"):
        return call(self.operators(name), "GET", "/v1/targets")[1]["targets"]

    def apply(self, manifest, expect_version=0, change_id="first", at="entry-1"):
        body = {"expect_version": expect_version, "change_id": change_id,
                "manifest": manifest if isinstance(manifest, str) else json.dumps(manifest)}
        return call(self.operators(at), "POST", "/v1/manifest", body)

    def status(self, at="entry-1"):
        return call(self.operators(at), "GET", "/v1/status")[1]

    def set_link_mode(self, group, mode, **more):
        status, _ = call(self.link_control(), "POST", "/links",
                         {"name": group, "mode": mode, **more})
        assert status == 200, f"links answered {status}"

    def cut_zone(self, zone, mode="cut"):
        for other in self.zones:
            if other != zone:
                self.set_link_mode(f"{zone}:{other}", mode)
                self.set_link_mode(f"{other}:{zone}", mode)

    def start_load(self, name, options):
        """Starts limpethatch-load, whose last line of output is its result."""
        command = [BIN / "limpethatch-load"]
        for key, value in options.items():
            command += [part for one in (value if isinstance(value, list) else [value])
                        for part in (f"--{key}", str(one))]
        return self.spawn(name, command)

    @staticmethod
    def result(process, seconds=60):
        process.handle.wait(seconds)
        lines = process.output().strip().splitlines()
        return json.loads(lines[-1])

    # Shutdown ---------------------------------------------------------------

    def shut_down(self):
        for process in self.processes.values():
            process.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *ignored):
        self.shut_down()
