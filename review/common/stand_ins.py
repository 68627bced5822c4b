"""Stand-ins for the outside: samplers, the operator and trainers.

They follow PROTOCOL.md and run in one event loop. Everything that they send,
answer or run goes into the record.
"""

import asyncio
import base64
import json
import random
import time

EVENT_BYTES = 200


class Record:
    """Writes record.txt; times are seconds since its creation."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


def fresh_id(generator=random.SystemRandom()):
    return f"{generator.getrandbits(64):016x}"


async def read_head(reader):
    """Returns the first line and the headers of a message, by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, headers=None, body=b"", timeout=2.0):
    """Sends one request on a new connection; returns status, headers and body.

    Raises OSError, EOFError or TimeoutError if no complete answer came.
    """
    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, "Content-Length": len(body), "Connection": "close",
                      **(headers or {})}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(first.split()[1]), answer_headers, answer
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


FAILURES = (OSError, EOFError, ValueError, asyncio.TimeoutError)


class ControlCaller:
    """Calls any node that serves `control`, as the operator and samplers do."""

    def __init__(self, addresses):
        self.addresses = list(addresses)

    async def call(self, method, path, body=None, first=None, timeout=1.0):
        """Tries each node once; returns the first clear answer and its node."""
        nodes = [*([first] if first else []), *random.sample(self.addresses, len(self.addresses))]
        payload = json.dumps(body).encode() if body is not None else b""
        for node in nodes:
            target, target_path = node, path
            for _ in range(3):
                try:
                    status, headers, answer = await call(
                        target, method, target_path,
                        {"Content-Type": "application/json"}, payload, timeout)
                except FAILURES:
                    break
                if status == 307 and "location" in headers:
                    target, _, rest = headers["location"].removeprefix("http://").partition("/")
                    target_path = "/" + rest
                    continue
                if status < 500 and status not in (408, 429):
                    return status, answer, target
                break
        return None, b"", None


def event_text(item, number):
    """What every sampler makes as event `number` of the item."""
    text = f"{item} {number} "
    return text + "x" * (EVENT_BYTES - len(text))


def item_text(item, events):
    return "\n".join(event_text(item, number) for number in range(1, events + 1))


class Sampler:
    """A model sampler; with `is_engine` false, a plain service."""

    def __init__(self, record, control, ip, port, service, zone, *, is_engine=True,
                 models=(), slots=12, events=20, event_gap=0.04, work=0.025,
                 heartbeat_delay=0.0, fatal_path=None, restart_s=4.0):
        self.record, self.control = record, control
        self.ip, self.port, self.service, self.zone = ip, port, service, zone
        self.is_engine, self.slots = is_engine, slots
        self.versions = dict.fromkeys(models, 1)
        self.events, self.event_gap, self.work = events, event_gap, work
        self.heartbeat_delay = heartbeat_delay
        self.fatal_path = fatal_path  # A request for it crashes this sampler.
        self.restart_s = restart_s
        self.tasks = []
        self.deliveries = set()  # Heartbeats under way, which a crash doesn't stop.
        self.server = None
        self.connections = set()
        self.crashes = []    # Times.
        self.begin_incarnation()
        self.runs = []       # (time, id, after event) of each run that began.
        self.finished = {}   # Time at which an item was first handed out whole.
        self.last_run_end = {}  # Time at which the latest run of an item ended here.
        self.spoil_next = False
        self.spoiled = None  # (time, id, event) of the answer that was spoiled.

    def begin_incarnation(self):
        self.id = "i-" + fresh_id()[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.orders = 0
        self.highest_fence = 0
        self.loading = {}  # When the load of a model ends.
        self.running = {}
        self.heartbeat_address = None

    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.tasks.append(asyncio.create_task(self.beat()))

    def crash(self):
        """Ends like a killed process, and starts again some seconds later."""
        self.crashes.append(self.record.now())
        self.stop_heartbeats()
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()
        self.tasks = [asyncio.create_task(self.restart())]

    async def restart(self):
        await asyncio.sleep(self.restart_s)
        self.begin_incarnation()
        self.tasks = []
        await self.start()
        self.record.write(f"sampler {self.id} starts at {self.address()}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    def stop_heartbeats(self):
        for task in self.tasks:
            task.cancel()

    def announcement(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address(), "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
        if self.is_engine:
            body["stage"] = "both"
            body["models"] = self.model_list()
        return body

    def model_list(self):
        return [{"name": model, "version": version, "adapters": []}
                for model, version in self.versions.items()]

    def is_loading(self, model):
        return time.monotonic() < self.loading.get(model, 0.0)

    async def announce(self):
        status, answer, _ = await self.control.call(
            "PUT", f"/v1/instances/{self.id}", self.announcement(), self.heartbeat_address)
        self.heartbeat_address = None
        if status == 200 and answer:
            self.heartbeat_address = json.loads(answer).get("heartbeat_address")
        return status == 200

    async def beat(self):
        while True:
            if self.heartbeat_delay:
                delivery = asyncio.create_task(self.deliver_late(self.id, self.announcement()))
                self.deliveries.add(delivery)
                delivery.add_done_callback(self.deliveries.discard)
            else:
                await self.announce()
            await asyncio.sleep(1.2)

    async def deliver_late(self, sampler_id, body):
        await asyncio.sleep(self.heartbeat_delay)
        await self.control.call("PUT", f"/v1/instances/{sampler_id}", body)
        if sampler_id != self.id or self.crashes and not self.server.is_serving():
            self.record.write(f"a heartbeat of {sampler_id}, which has crashed, arrives "
                              f"{self.heartbeat_delay} s late")

    async def leave(self):
        """Sends DELETE; returns the node that acknowledged it."""
        status, _, node = await self.control.call(
            "DELETE", f"/v1/instances/{self.id}", {"born": self.born})
        return node if status == 200 else None

    def headers(self, request_id, model=""):
        fields = {"Request-Attempt-Id": request_id, "Server-Stamp": f"stamp.{self.id}.{request_id}",
                  "Server-Load": f"{len(self.running)},0,{self.slots}"}
        if model in self.versions:
            fields["Weight-Versions"] = self.versions[model]
        return fields

    @staticmethod
    def answer(writer, status, fields, body=b""):
        head = f"HTTP/1.1 {status} X\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split()
                await self.serve_request(method, path, headers, body, writer)
                await writer.drain()
        except (*FAILURES, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_request(self, method, path, headers, body, writer):
        request_id = headers.get("request-attempt-id", "")
        model = headers.get("model", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.answer(writer, 421, {"Not-Run": "1", "Request-Attempt-Id": request_id})
        elif path == "/health":
            self.answer(writer, 200 if self.state == "ready" else 503, {"Instance-Id": self.id})
        elif path == "/v1/report":
            self.answer(writer, 200, {"Content-Type": "application/json"},
                        json.dumps(self.report()).encode())
        elif path == "/v1/order":
            status = self.take_order(json.loads(body))
            self.answer(writer, status, {"Content-Type": "application/json"})
        elif not request_id:
            self.answer(writer, 400, {"Not-Run": "1"})
        elif self.fatal_path and path == self.fatal_path:
            self.runs.append((self.record.now(), request_id, 0))
            self.record.write(f"sampler {self.id} begins {request_id} and crashes")
            self.crash()
            raise ConnectionResetError
        elif self.is_engine and model not in self.versions:
            self.answer(writer, 500, self.headers(request_id))
        elif len(self.running) >= self.slots or self.is_loading(model):
            self.answer(writer, 503, {"Not-Run": "1", **self.headers(request_id, model)})
        elif int(headers.get("expect-version", "0")) not in (0, self.versions.get(model)):
            self.answer(writer, 421, {"Not-Run": "1", **self.headers(request_id, model)})
        else:
            key = object()
            self.running[key] = request_id
            try:
                await self.run(request_id, headers, writer)
            finally:
                self.running.pop(key, None)
                self.last_run_end[request_id] = self.record.now()

    async def run(self, request_id, headers, writer):
        after = int(headers.get("last-event-id", "0"))
        self.runs.append((self.record.now(), request_id, after))
        self.record.write(f"sampler {self.id} begins {request_id} after event {after}")
        if not self.is_engine:
            await asyncio.sleep(self.work)
            self.answer(writer, 200, self.headers(request_id), request_id.encode())
            return
        head = "HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n"
            for name, value in self.headers(request_id, headers["model"]).items())
        writer.write(f"{head}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        spoil_at = 0
        if self.spoil_next and after == 0:
            self.spoil_next = False
            spoil_at = self.events // 2
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_gap)
            data = event_text(request_id, number).encode()
            if number == spoil_at:
                data = data[:100] + b"\xff\xfe" + data[102:]
                self.spoiled = (self.record.now(), request_id, number)
                self.record.write(f"sampler {self.id} hands out wrong bytes in event "
                                  f"{number} of {request_id}")
            event = f"id: {number}\ndata: ".encode() + data + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        if not spoil_at:
            self.finished.setdefault(request_id, self.record.now())
            self.record.write(f"sampler {self.id} finished {request_id}")

    def report(self):
        return {"stage": "both",
                "models": self.model_list(),
                "busy": any(self.is_loading(model) for model in self.versions),
                "sequence": self.orders,
                "waiting_requests": 0, "running_requests": len(self.running), "kv_used": 0,
                "kv_total": 80959, "handles": 0}

    def take_order(self, order):
        if "holder" not in order or "fencing_token" not in order:
            return 400
        if order["fencing_token"] < self.highest_fence:
            return 412
        self.highest_fence = order["fencing_token"]
        model, version = order["model"], order["version"]
        if model not in self.versions:
            return 400
        if self.report()["busy"] or order.get("expected", self.orders) != self.orders:
            return 409
        if version <= self.versions[model]:
            return 200
        self.orders += 1
        self.versions[model] = version
        self.loading[model] = time.monotonic() + 0.9
        self.record.write(f"sampler {self.id} loads {model} version {version}")
        return 202


class Client:
    """A trainer or another client of batch jobs."""

    def __init__(self, record, gateways, host):
        self.record, self.gateways, self.host = record, gateways, host

    async def call(self, gateway, method, path, headers=None, body=b"", timeout=4.0):
        try:
            status, _, answer = await call(
                self.gateways[gateway], method, path, {"Host": self.host, **(headers or {})}, body,
                timeout)
        except FAILURES as failure:
            return None, type(failure).__name__.encode()
        return status, answer

    async def submit(self, gateway, job, prefix, body, timeout=4.0):
        self.record.write(f"client submits batch job {job} at gateway {gateway}")
        status, answer = await self.call(
            gateway, "POST", prefix + job[:6], {"Request-Attempt-Id": job,
                                                "Content-Type": "application/json"},
            json.dumps(body).encode(), timeout)
        self.record.write(f"batch job {job} at gateway {gateway}: "
                          f"{status or 'no answer'} {answer.decode(errors='replace')[:80]}")
        return status

    async def end(self, gateway, job):
        status, _ = await self.call(gateway, "DELETE", f"/v1/lots/{job}")
        self.record.write(f"end of batch job {job} at gateway {gateway}: {status or 'no answer'}")
        return status

    async def read(self, gateway, job, after):
        status, answer = await self.call(gateway, "GET", f"/v1/lots/{job}?after={after}")
        return (status, json.loads(answer)) if status == 200 else (status, None)


def make_job(prefix, model, step, min_version, groups, size):
    items = []
    for group in range(groups):
        for _ in range(size):
            items.append({
                "id": fresh_id(), "path": f"{prefix}3/{group:x}",
                "headers": {"Model": model, "Token-Counts": "1016,840",
                            "Prompt-Prefix": f"{group + 1:x}:1000,{fresh_id()[:6]}:16",
                            "Length-Hint": "840"},
                "body": base64.b64encode(b"p" * 600).decode(), "tokens": 1856,
                "group": f"g{step}-{group}"})
    return {"step": step, "model": model, "min_version": min_version, "group_count": groups,
            "items": items}


def configuration(version, host, models, result_deadline_ms, single_version, engines="tutors",
                  plain="desk"):
    """A configuration like that of a small site: one rollout and one safe route."""
    return {
        "version": version,
        "routes": [
            {"name": "r-rollout", "host": host, "path_prefix": "/roll/", "kind": "rollout",
             "timeout_ms": 10000, "target_latency_ms": 400, "priority": 0, "service": engines,
             "max_attempts": 3, "max_queue_s": 40.0, "result_deadline_ms": result_deadline_ms,
             "single_version": single_version, "session_affinity": True, "resumable": True},
            {"name": "r-safe", "host": host, "path_prefix": "/look/", "kind": "safe",
             "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": plain,
             "max_attempts": 2}],
        "services": [
            {"name": engines, "health_check_path": "/health", "connection_limit": 397,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv_cache_tokens": 80959, "kv_token_bytes": 18432,
                        "link_mbps": 2900000.0, "moves": True, "backups": True, "stride": 42,
                        "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                        "models": [{"name": model} for model in models]}},
            {"name": plain, "health_check_path": "/health", "connection_limit": 257,
             "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
