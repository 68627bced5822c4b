"""A small deployment on loopback, with stand-ins for samplers, clients and the operator.

The gateways and control instances are the programs of the deploy file. They get
the settings that its templates yield for the fields of a machine. Everything
else runs in this process. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the small deployments' sheets.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4.5, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "configuration_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_bound_ms": 5000,
    "recovery_s": 12, "pass_ms": 120, "finish_s": 10, "status_s": 120, "cancel_ms": 3000,
    "settle_ms": 1000, "fencing_required": True, "lease_ms": 3000, "thaw_slack_ms": 300,
}
HEARTBEAT_S = 1.2
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "trainer.example"
MODEL = "m0"


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---- Templates of settings ----

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, fields):
    def section(match):
        value = lookup(fields, match.group(1))
        return render(match.group(2), fields) if value else ""

    def placeholder(match):
        name, _, as_json = match.group(1).partition("|")
        value = lookup(fields, name)
        if as_json == "json":
            return json.dumps(value if value is not None else "")
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}#/^]*)\}\}", placeholder, text)


class Machine:
    """A process of one role of the deploy file."""

    def __init__(self, deployment, role, name, ip, zone):
        self.deployment, self.role, self.name, self.ip, self.zone = deployment, role, name, ip, zone
        self.folder = deployment.folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        self.process = None
        self.first_start = True

    def start(self):
        d = self.deployment
        declared = d.deploy["roles"][self.role]
        fields = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone, "region": "region",
            "internal_ports": [d.internal_port, d.internal_port + 15],
            "listen_addresses": {"front": f"{self.ip}:{d.front_port}",
                                 "ready_address": f"{self.ip}:{d.ready_port}",
                                 "control": f"{self.ip}:{d.control_port}"},
            "seeds": d.seeds, "bootstrap": self.first_start,
            "data_directory": str(self.folder / "data"),
            "limits": {"memory_mb": 182 if self.role == "gateway" else 280},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
        }
        template = (ROOT / declared["template"]).read_text(encoding="utf-8")
        settings = self.folder / "settings"
        settings.write_text(render(template, fields), encoding="utf-8")
        words = shlex.split(declared["run"])
        command = [str(ROOT / words[0])] + [
            str(settings) if word.startswith("/etc/") else word for word in words[1:]]
        environment = {"PATH": os.environ["PATH"], "LIMPETHATCH_CONFIG": str(settings)}
        for key, value in declared.get("env", {}).items():
            environment[key] = render(value, fields)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.first_start = False

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            finally:
                self.process.wait()


# ---- HTTP ----

async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_eof):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_eof else b""


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Sends a request on a new connection. Returns status, headers and body; status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            merged = {"Host": address, **(headers or {}), "Content-Length": str(len(body)),
                      "Connection": "close"}
            lines += [f"{name}: {value}" for name, value in merged.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            status_line, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers, True)
            return int(status_line.split()[1]), answer_headers, answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


# ---- Samplers ----

class Sampler:
    """A server of one service, with its own address. It announces itself and obeys orders."""

    def __init__(self, deployment, service, number, ip, zone, engine, slots=12):
        self.deployment, self.service, self.ip, self.zone = deployment, service, ip, zone
        self.name = f"{service}-{number}"
        self.engine, self.slots = engine, slots
        self.port = deployment.sampler_port
        self.address = f"{ip}:{self.port}"
        self.version = 1
        self.server = None
        self.incarnation = 0
        self.on_run = None  # Called with (sampler, item id) when an item begins to run.

    async def start(self):
        self.incarnation += 1
        self.id = f"i-{self.name}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.running = {}  # Id of a request to the time it began.
        self.writers = set()
        self.state = "ready"
        self.announces = True
        self.alive = True
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512, limit=1 << 20)
        self.announcer = asyncio.create_task(self.announce(self.incarnation))

    def crash(self):
        """Ends as a killed process does: connections are reset, new ones refused."""
        self.alive = False
        self.announces = False
        self.announcer.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running.clear()
        self.deployment.record(f"sampler {self.id} crashes")

    # -- Registration

    def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
        if self.engine:
            body["stage"] = "both"
            body["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        return json.dumps(body).encode()

    async def announce(self, incarnation):
        preferred = None
        while self.alive and self.announces and incarnation == self.incarnation:
            addresses = self.deployment.control_addresses()
            random.shuffle(addresses)
            if preferred:
                addresses.insert(0, preferred)
            preferred = None
            for address in addresses:
                status, _, body = await self.deployment.call_control(
                    address, "PUT", f"/v1/instances/{self.id}", self.beat())
                if 200 <= status < 300:
                    try:
                        preferred = json.loads(body).get("heartbeat_address")
                    except ValueError:
                        pass
                    break
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def leave(self, address=None):
        """Reports that it is gone. Returns when that is acknowledged."""
        self.announces = False
        self.announcer.cancel()
        addresses = [address] if address else self.deployment.control_addresses()
        while self.alive:
            for target in addresses:
                status, _, _ = await self.deployment.call_control(
                    target, "DELETE", f"/v1/instances/{self.id}",
                    json.dumps({"born": self.born}).encode())
                if 200 <= status < 300:
                    self.left_at = time.monotonic()
                    self.deployment.record(f"DELETE of {self.id} acknowledged by {target} with {status}")
                    return
            await asyncio.sleep(0.1)

    # -- Requests

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers, False)
                if not await self.answer(writer, method, path, headers, body):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, writer, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        return True

    def load(self):
        return ("Server-Load", f"{min(len(self.running), self.slots)},0,{self.slots}")

    async def answer(self, writer, method, path, headers, body):
        record = self.deployment.record
        expected = headers.get("expect-instance")
        if expected and expected != self.id:
            return await self.respond(writer, 421, [("Instance-Id", self.id)])
        if path == "/health":
            return await self.respond(writer, 200, [("Instance-Id", self.id), self.load()])
        if path == "/v1/report":
            return await self.respond(writer, 200, [("Content-Type", "application/json")], json.dumps({
                "stage": "both", "models": [{"name": MODEL, "version": self.version, "adapters": []}],
                "busy": False, "sequence": self.orders, "waiting_requests": 0,
                "running_requests": len(self.running), "kv_used": 0, "kv_total": 80959,
                "handles": 0}).encode())
        if path == "/v1/order":
            return await self.obey(writer, json.loads(body))
        attempt = headers.get("request-attempt-id")
        if not attempt:
            return await self.respond(writer, 400, [("Not-Run", "1")])
        if len(self.running) >= self.slots:
            return await self.respond(writer, 503, [("Not-Run", "1"), self.load()])
        record(f"run {attempt} at {self.id} ({method} {path}, after event {headers.get('last-event-id', 0)})")
        self.deployment.runs.append((time.monotonic(), attempt, self))
        self.running[attempt] = time.monotonic()
        if self.on_run:
            self.on_run(self, attempt)
        try:
            handler = self.deployment.behaviour or default_behaviour
            return await handler(self, writer, method, path, headers, body, attempt)
        finally:
            self.running.pop(attempt, None)

    async def obey(self, writer, order):
        if order["fencing_token"] < self.fence:
            return await self.respond(writer, 412)
        self.fence = order["fencing_token"]
        if order["version"] == self.version:
            return await self.respond(writer, 200)
        if "expected" in order and order["expected"] != self.orders:
            return await self.respond(writer, 409)
        self.orders += 1
        self.version = order["version"]
        self.deployment.record(f"{self.id} takes version {self.version} by order of {order['holder']}")
        return await self.respond(writer, 202)

    def signature(self, attempt):
        return [("Request-Attempt-Id", attempt), ("Server-Stamp", f"{self.id}.{attempt}"), self.load()]

    async def stream(self, writer, headers, attempt, events, gap_s):
        """Sends the events after Last-Event-Id. `events` is the whole list of texts."""
        first = int(headers.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"Weight-Versions: {self.version}"]
        lines += [f"{name}: {value}" for name, value in self.signature(attempt)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first + 1, len(events) + 1):
            await asyncio.sleep(gap_s)
            data = f"id: {number}\ndata: {events[number - 1]}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def events_of(item, count=10):
    """The whole output of an item, one text for each event."""
    return [f"{item}-event-{number}" for number in range(1, count + 1)]


async def default_behaviour(sampler, writer, method, path, headers, body, attempt):
    if sampler.engine:
        return await sampler.stream(writer, headers, attempt, events_of(attempt), 0.02)
    await asyncio.sleep(0.025)
    return await sampler.respond(writer, 200, sampler.signature(attempt), f"answer to {attempt}".encode())


# ---- The deployment ----

def free_addresses():
    """Three loopback subnets and a first port: the first part, the number of the first subnet, the port."""
    while True:
        first, tag = f"127.{random.randrange(20, 240)}", random.randrange(1, 250)
        port = random.randrange(200, 320) * 100
        try:
            for zone in range(3):
                for number in (10, 50, *range(100, 120)):
                    for offset in (0, 1, 20, 21, 22, 23):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"{first}.{zone + tag}.{number}", port + offset))
            return first, tag, port
        except OSError:
            continue


class Deployment:
    def __init__(self, case_folder, gateways=3, controls=3):
        self.record = Record(case_folder / "record.txt")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limpethatch-review-"))
        self.subnet, tag, port = free_addresses()
        self.internal_port, self.front_port, self.ready_port, self.control_port, self.sampler_port = (
            port, port + 20, port + 21, port + 22, port + 23)
        self.ip = lambda zone, number: f"{self.subnet}.{zone + tag}.{number}"
        self.seeds = []
        self.runs = []  # Time, id and sampler of each request that began to run.
        self.behaviour = None
        self.controls = [Machine(self, "control", f"store-{ZONES[i % 3]}-{i // 3 + 1}",
                                 self.ip(i % 3, 10 + i // 3), ZONES[i % 3]) for i in range(controls)]
        self.seeds = [f"{m.ip}:{self.control_port}" for m in self.controls[:3]]
        self.gateways = [Machine(self, "gateway", f"front-{ZONES[i % 3]}-{i // 3 + 1}",
                                 self.ip(i % 3, 50 + i // 3), ZONES[i % 3]) for i in range(gateways)]
        self.samplers = []
        self.batch_retries = 0

    def control_addresses(self):
        return [f"{m.ip}:{self.control_port}" for m in self.controls]

    def front(self, index=0):
        return f"{self.gateways[index % len(self.gateways)].ip}:{self.front_port}"

    async def call_control(self, address, method, path, body=b"", timeout=1.0):
        """A call that follows a redirection twice."""
        for _ in range(3):
            status, headers, answer = await call(
                address, method, path, {"Content-Type": "application/json"}, body, timeout)
            location = re.match(r"http://([^/]+)(/.*)", headers.get("location", ""))
            if status != 307 or not location:
                break
            address, path = location.group(1), location.group(2)
        return status, headers, answer

    async def add_samplers(self, service, count, engine, slots=12):
        added = []
        for i in range(count):
            number = len(self.samplers)
            sampler = Sampler(self, service, i + 1, self.ip(i % 3, 100 + number), ZONES[i % 3], engine, slots)
            await sampler.start()
            self.samplers.append(sampler)
            added.append(sampler)
        return added

    async def start(self):
        for machine in self.controls + self.gateways:
            machine.start()

    async def operator(self, method, path, document, limit_s=25.0):
        """Repeats a call until it is acknowledged. Returns the time of that."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for address in self.control_addresses():
                status, _, answer = await self.call_control(address, method, path, body, 1.5)
                if 200 <= status < 300:
                    self.record(f"{method} {path} acknowledged with {status}: {body[:60].decode()}")
                    return time.monotonic()
                if 400 <= status < 500:
                    raise CannotRun(f"{method} {path} refused with {status}: {answer[:200]!r}")
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path} is not acknowledged")

    async def configure(self, version, routes, services):
        return await self.operator("PUT", "/v1/configuration", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def wait_ready(self, limit_s=25.0):
        deadline = time.monotonic() + limit_s
        for machine in self.gateways:
            while True:
                status, _, _ = await call(f"{machine.ip}:{self.ready_port}", "GET", "/v1/readiness", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")

    async def submit(self, job, items, path="/rollout/", step=0, group_count=1, limit_s=10.0, min_version=0):
        """Submits a batch job as a trainer does: again at another node until it is accepted."""
        body = json.dumps({"step": step, "model": MODEL, "min_version": min_version,
                           "group_count": group_count, "items": items}).encode()
        deadline = time.monotonic() + limit_s
        index = 0
        while time.monotonic() < deadline:
            status, _, answer = await call(
                self.front(index), "POST", f"{path}{job}",
                {"Host": HOST, "Request-Attempt-Id": job, "Content-Type": "application/json"}, body)
            self.record(f"POST of {job} with {len(items)} items to {self.front(index)}: {status}")
            if status == 202:
                return time.monotonic()
            if 400 <= status < 500 and status not in (408, 421, 429):
                raise CannotRun(f"batch job refused with {status}: {answer[:200]!r}")
            index += 1
            await asyncio.sleep(0.3)
        raise CannotRun("the batch job was not accepted")

    async def read(self, job, after=0, index=0):
        status, _, body = await call(self.front(index), "GET", f"/v1/lots/{job}?after={after}",
                                     {"Host": HOST, "Wait-Ms": "1000"})
        return status, json.loads(body) if status == 200 else None

    async def read_results(self, job, until, wanted):
        """Reads as a trainer does until `wanted` results are listed or the time is up. Returns them in order."""
        results, index = [], 0
        while time.monotonic() < until and len(results) < wanted:
            status, page = await self.read(job, len(results), index)
            index += 1
            for result in page["results"] if page else ():
                self.record(f"result {len(results)} of {job}: {result['id']} {result['state']}")
                results.append(result)
            await asyncio.sleep(0.4 if page else 0.1)
        return results

    async def end_job(self, job, limit_s=10.0):
        deadline, index = time.monotonic() + limit_s, 0
        while time.monotonic() < deadline:
            status, _, _ = await call(self.front(index), "DELETE", f"/v1/lots/{job}", {"Host": HOST})
            self.record(f"DELETE of {job}: {status}")
            if status == 200:
                return time.monotonic()
            index += 1
            await asyncio.sleep(0.3)
        raise CannotRun("the end of the batch job is not acknowledged")

    def end(self):
        for machine in self.controls + self.gateways:
            machine.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def item(name, group, tokens=(200, 400), path="/rollout/items/"):
    return {"id": name, "path": f"{path}{name}", "group": group,
            "headers": {"Model": MODEL, "Token-Counts": f"{tokens[0]},{tokens[1]}",
                        "Prompt-Prefix": f"{abs(hash(group)) % 65536:x}:{tokens[0]}"},
            "body": base64.b64encode(f"prompt of {name}".encode()).decode(),
            "tokens": sum(tokens)}


def engine_service(name, slots=12):
    return {"name": name, "health_check_path": "/health", "connection_limit": 397, "protocol": "h1",
            "tls": False, "engine": {
                "slots": slots, "kv_cache_tokens": 80959, "kv_token_bytes": 18432,
                "link_mbps": 2900000.0, "moves": True, "backups": True, "stride": 42, "most": 12,
                "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": MODEL}]}}


def plain_service(name):
    return {"name": name, "health_check_path": "/health", "connection_limit": 257, "protocol": "h1", "tls": False}


def rollout_route(name="r-rollout", prefix="/rollout/", **extra):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "rollout", "timeout_ms": 10000,
            "target_latency_ms": 400, "priority": 0, "max_attempts": 3, "max_queue_s": 40.0,
            "result_deadline_ms": 7500, "single_version": False, "session_affinity": True,
            "resumable": True, **extra}


def live_route(name, prefix, kind, **extra):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
            "target_latency_ms": 150, "priority": 2, "max_attempts": 2, **extra}


def main(case_file, scenario, **options):
    """Runs a scenario, which returns whether the rule held, and ends the process with the status of a case."""
    folder = pathlib.Path(case_file).resolve().parent

    async def run():
        try:
            deployment = Deployment(folder, **options)
        except Exception as problem:
            print(repr(problem), file=sys.stderr)
            return NOT_RUN
        deployment.record(f"TROUBLE={int(TROUBLE)}")
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(115):
                held = await scenario(deployment)
            deployment.record("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as problem:  # Nothing but the scenario's verdict counts.
            deployment.record(f"could not run: {problem!r}")
            return NOT_RUN
        finally:
            deployment.end()

    status = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
