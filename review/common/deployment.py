"""Starts a small deployment of the project's programs on loopback addresses.

The commands, templates and programs are those of deploy/system.toml. Each
machine has a loopback address of its own, as the programs expect the same
ports on all machines.
"""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464  # Fixed by the templates in deploy/.
ZONES = ["zone-a", "zone-b", "zone-c"]
# The bounds of sites/joto-kigali.toml that the checks use.
BOUNDS = {
    "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 8,
    "configuration_apply_ms": 2000, "cancel_ms": 3000, "settle_ms": 1000,
    "lease_ms": 3000, "status_s": 120,
}


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


def is_free(ip, ports):
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def look_up(fields, path):
    value = fields
    for key in path.split("."):
        value = value[int(key)] if isinstance(value, list) else value[key]
    return value


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a|json}} of a settings template."""
    def replace(match):
        path, _, kind = match.group(1).partition("|")
        value = look_up(fields, path)
        return json.dumps(value) if kind == "json" else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


class Machine:
    """One machine with one process of the system."""

    def __init__(self, deployment, role, index, ip, zone):
        self.role = role
        self.name = f"{role['on']}-{zone}-{index}"
        self.ip = ip
        self.zone = zone
        self.folder = deployment.folder / self.name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.data.mkdir()
        self.log_path = deployment.logs / f"{self.name}.log"
        self.process = None

    def start(self, deployment, bootstrap):
        fields = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "internal_ports": deployment.internal_ports,
            "listen_addresses": {
                "front": f"{self.ip}:{deployment.front_port}",
                "ready_address": f"{self.ip}:{deployment.ready_port}",
                "control": f"{self.ip}:{deployment.control_port}"},
            "data_directory": str(self.data), "seeds": deployment.seeds,
            "bootstrap": bootstrap, "fault_tolerance": {"machines": 1},
            "bounds": BOUNDS}
        settings = self.folder / "settings.json"
        settings.write_text(render((ROOT / self.role["template"]).read_text(), fields))
        command = self.role["run"].replace("/etc/limpethatch/settings.toml", str(settings))
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Three control machines, one a zone, and some gateways."""

    def __init__(self, gateways, logs):
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        for role in roles.values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise CannotRun(f"{role['run'].split()[0]} is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limpethatch-review-"))
        self.logs = logs or self.folder
        self.generator = random.Random()
        self.choose_addresses(3 + gateways)
        self.seeds = [f"{ip}:{self.control_port}" for ip in self.ips[:3]]
        self.controls = [Machine(self, roles["control"], 1, self.ips[i], ZONES[i])
                         for i in range(3)]
        self.gateways = [Machine(self, roles["gateway"], i // 3 + 1, self.ips[3 + i],
                                 ZONES[i % 3]) for i in range(gateways)]

    def choose_addresses(self, count):
        for _ in range(100):
            subnet = f"127.{self.generator.randrange(16, 240)}.{self.generator.randrange(1, 250)}"
            base = self.generator.randrange(20000, 30000)
            ips = [f"{subnet}.{10 + i}" for i in range(count)]
            ports = [base, base + 1, base + 8, base + 9, base + 10, METRICS_PORT]
            if all(is_free(ip, ports) for ip in ips):
                self.subnet, self.ips = subnet, ips
                self.internal_ports = [base, base + 1]
                self.front_port, self.ready_port, self.control_port = ports[2:5]
                return
        raise CannotRun("no free loopback addresses")

    def machines(self):
        return self.controls + self.gateways

    def start(self):
        for machine in self.machines():
            machine.start(self, bootstrap=True)

    def wait_until_ready(self, timeout=20):
        """Waits until all gateways tell the platform that they are ready."""
        deadline = time.monotonic() + timeout
        for gateway in self.gateways:
            while not self.is_ready(gateway):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{gateway.name} is not ready")
                time.sleep(0.1)

    def is_ready(self, gateway):
        try:
            with socket.create_connection((gateway.ip, self.ready_port), 1) as connection:
                connection.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n"
                                   b"Connection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        for machine in self.machines():
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines():
            if machine.process:
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
