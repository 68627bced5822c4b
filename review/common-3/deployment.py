"""A small deployment on loopback: control instances, gateways, samplers.

Starts the programs of the deploy file as separate processes, with the settings
that its templates give, and holds stand-ins of samplers, clients, trainers and
the operator. All of it follows the users' pages; what was sent, answered and
run goes to the record.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / "target" / "bin"
ZONES = ["zone-a", "zone-b", "zone-c"]


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(hosts, count):
    """Ports that are free on every host."""
    for _ in range(200):
        first = random.randrange(20000, 55000)
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    probe = socket.socket()
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sockets.append(probe)
                    probe.bind((host, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free ports")


class Program:
    """One process of the system. The platform starts it again when it ends."""

    def __init__(self, deployment, name, command, environment):
        self.deployment = deployment
        self.name = name
        self.command = command
        self.environment = environment
        self.process = None
        self.log = deployment.folder / f"{name}.log"
        self.start()

    def start(self):
        if self.deployment.closed:
            return
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(part) for part in self.command], stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                cwd=ROOT, env=self.environment)
        self.deployment.record.add(f"platform: {self.name} started")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.deployment.record.add(f"platform: {self.name} killed")

    def freeze(self):
        self.signal(signal.SIGSTOP)
        self.deployment.record.add(f"platform: {self.name} frozen")

    def thaw(self):
        self.signal(signal.SIGCONT)
        self.deployment.record.add(f"platform: {self.name} thawed")

    def running(self):
        return self.process.poll() is None


class Headers(dict):
    """Header fields by lower-case name."""

    def __missing__(self, key):
        return ""


async def read_head(reader):
    """The first line and the header fields of a message; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if "chunked" in headers["transfer-encoding"].lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    if headers["content-length"]:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


class Answer:
    def __init__(self, status, headers, body, error=None):
        self.status, self.headers, self.body, self.error = status, headers, body, error

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return self.error or f"{self.status}"


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """One HTTP call on a connection of its own. Status 0: no whole answer."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=2 ** 24)
            fields = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method in ("POST", "PUT"):
                fields["Content-Length"] = str(len(body))
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            await writer.drain()
            first = await read_head(reader)
            if first is None:
                return Answer(0, Headers(), b"", "closed without an answer")
            line, got = first
            status = int(line.split()[1])
            return Answer(status, got, await read_body(reader, got, True))
    except TimeoutError:
        return Answer(0, Headers(), b"", "no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, Headers(), b"", f"broken off ({type(error).__name__})")
    finally:
        if writer:
            writer.close()


class Deployment:
    def __init__(self, record, controls=3, gateways=3, tolerated=1):
        if not (BIN / "limpethatch-gateway").exists():
            raise CannotRun("target/bin holds no programs: build as the deploy file says")
        self.record = record
        self.closed = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limpethatch-review-"))
        self.net = f"127.{random.randrange(20, 250)}"
        self.control_hosts = [f"{self.net}.{i % 3 + 1}.{20 + i}" for i in range(controls)]
        self.gateway_hosts = [f"{self.net}.{i % 3 + 1}.{60 + i}" for i in range(gateways)]
        ports = free_ports(self.control_hosts + self.gateway_hosts, 6)
        (self.api_port, self.peer_port, self.caller_port, self.ready_port,
         self.relay_port, self.metrics_port) = ports
        self.tolerated = tolerated
        self.seeds = [f"{host}:{self.api_port}" for host in self.control_hosts[:3]]
        self.controls = [self.start_control(i) for i in range(controls)]
        self.gateways = [self.start_gateway(i) for i in range(gateways)]
        self.samplers = []
        self.tasks = []

    def environment(self, path, overrides):
        return {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder),
                "LANG": "C", "LIMPETHATCH_CONFIG": str(path),
                "LIMPETHATCH_SETTINGS": overrides}

    def write_settings(self, name, settings):
        path = self.folder / f"{name}.json"
        temporary = self.folder / f"{name}.json.new"
        temporary.write_text(json.dumps(settings, indent=1))
        temporary.rename(path)
        return path

    def control_settings(self, index, bootstrap):
        host = self.control_hosts[index]
        return {
            "id": host, "zone": ZONES[index % 3], "log_level": "info",
            "listen": {"peers": f"{host}:{self.peer_port}",
                       "api": f"{host}:{self.api_port}",
                       "metrics": f"{host}:{self.metrics_port}"},
            "data_folder": str(self.folder / f"data-{index}"),
            "fleet": {"name": f"store-{ZONES[index % 3]}-{index // 3 + 1}",
                      "seeds": self.seeds, "may_found": bootstrap,
                      "tolerated_losses": self.tolerated, "order_lease": "3000ms"}}

    def start_control(self, index, bootstrap=True):
        name = f"control-{index}"
        (self.folder / f"data-{index}").mkdir(exist_ok=True)
        path = self.write_settings(name, self.control_settings(index, bootstrap))
        return Program(self, name, [BIN / "limpethatch-control", "--settings", path],
                       self.environment(path, '"memory": "130MiB"'))

    def start_gateway(self, index):
        host, name = self.gateway_hosts[index], f"gateway-{index}"
        path = self.write_settings(name, {
            "id": f"front-{ZONES[index % 3]}-{index // 3 + 1}",
            "zone": ZONES[index % 3], "log_level": "info",
            "listen": {"callers": f"{host}:{self.caller_port}",
                       "readiness": f"{host}:{self.ready_port}",
                       "peers": f"{host}:{self.peer_port}",
                       "relay": f"{host}:{self.relay_port}",
                       "metrics": f"{host}:{self.metrics_port}"},
            "seeds": self.seeds})
        return Program(self, name, [BIN / "limpethatch-gateway", "--settings", path],
                       self.environment(path, '"memory": "96MiB"'))

    def control_address(self, index):
        return (self.control_hosts[index], self.api_port)

    def gateway_address(self, index):
        return (self.gateway_hosts[index], self.caller_port)

    def restart_control(self, index):
        """As the platform does it: with the settings of now."""
        self.write_settings(f"control-{index}", self.control_settings(index, False))
        self.controls[index].start()

    # ---- the operator and trainers ----

    async def control_call(self, method, path, body=None, seconds=20.0, timeout=1.0):
        """Calls control as the operator does: the next node after a failure."""
        data = json.dumps(body).encode() if body is not None else b""
        end = time.monotonic() + seconds
        index, pause = random.randrange(len(self.control_hosts)), 0.05
        answer = Answer(0, Headers(), b"", "not sent")
        while time.monotonic() < end:
            address = self.control_address(index % len(self.control_hosts))
            for _ in range(3):
                answer = await call(address, method, path,
                                    {"Content-Type": "application/json"}, data, timeout)
                if answer.status != 307:
                    break
                host, _, rest = answer.headers["location"][7:].partition(":")
                address = (host, int(rest.partition("/")[0]))
            self.record.add(f"operator: {method} {path} at {address[0]}: {answer}")
            if answer.status and answer.status < 500 and answer.status not in (408, 429):
                return answer
            index += 1
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)
        return answer

    async def put_configuration(self, configuration):
        answer = await self.control_call("PUT", "/v1/configuration", configuration)
        if answer.status != 200:
            raise CannotRun(f"the configuration was not acknowledged: {answer}")

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        for host in self.gateway_hosts:
            while (await call((host, self.ready_port), "GET", "/v1/readiness",
                              timeout=1.0)).status != 200:
                if time.monotonic() > end:
                    raise CannotRun("a gateway did not become ready")
                await asyncio.sleep(0.1)

    async def leader(self):
        """The index of the control instance that logged last that it leads."""
        latest = None
        for index, program in enumerate(self.controls):
            for line in program.log.read_text(errors="replace").splitlines():
                if '"event":"leading"' in line and program.running():
                    entry = json.loads(line)
                    key = (entry.get("term", 0), entry["time"])
                    if latest is None or key > latest[0]:
                        latest = (key, index)
        return latest[1] if latest else None

    def log_lines(self, event):
        found = []
        for program in self.controls + self.gateways:
            for line in program.log.read_text(errors="replace").splitlines():
                if f'"event":"{event}"' in line:
                    found.append((program.name, json.loads(line)))
        return found

    async def close(self):
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for sampler in self.samplers:
            await sampler.stop()
        for program in self.controls + self.gateways:
            if program.running():
                program.signal(signal.SIGCONT)
                program.signal(signal.SIGKILL)
                program.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
