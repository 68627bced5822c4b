"""Stand-ins of samplers: plain services and model samplers."""

import asyncio
import json
import random
import socket
import struct
import time

from deployment import Headers, call, read_body, read_head

STATUS_TEXT = {200: "OK", 202: "Accepted", 400: "Bad Request", 409: "Conflict",
               412: "Precondition Failed", 421: "Misdirected Request",
               422: "Unprocessable Entity", 429: "Too Many Requests",
               500: "Internal Server Error", 503: "Service Unavailable",
               404: "Not Found", 504: "Gateway Timeout"}


def reset(writer):
    """Closes a connection with a reset, as the system does for a dead process."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Run:
    def __init__(self, sampler, request, started):
        self.sampler, self.request, self.started = sampler, request, started
        self.ended = None
        self.complete = False


class Request:
    def __init__(self, method, target, headers, body, arrived):
        self.method, self.target, self.headers = method, target, headers
        self.body, self.arrived = body, arrived
        self.id = headers["request-attempt-id"]


class Sampler:
    """Runs `slots` requests at once and queues a few more.

    `work(sampler, request)` gives the seconds that a plain request takes.
    `outcome(sampler, request)`, if set, may return a status of its own for a
    request that ran. Every request that begins to run is in `runs`. With
    `drops_idle_after`, it drops a connection that was idle for that many seconds
    without notice: what is sent next on it is reset.
    """

    def __init__(self, deployment, service, zone, number, slots=6, queue=24,
                 work=0.025, models=None, event_s=0.03, events=12,
                 load_s=0.9, checks_fences=True, drops_idle_after=None):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.number, self.slots, self.queue = number, slots, queue
        self.work, self.models, self.event_s, self.events = work, models, event_s, events
        self.load_s, self.checks_fences = load_s, checks_fences
        self.drops_idle_after = drops_idle_after
        self.dropped = 0
        self.record = deployment.record
        self.host = f"{deployment.net}.{100 + number}.10"
        self.port = None
        self.server = None
        self.runs, self.arrivals, self.orders = [], [], []
        self.outcome = None
        self.on_begin = None
        self.serving = self.beating = False
        self.writers = set()
        self.known_nodes = []
        self.heartbeat_address = None
        self.versions = {model: 1 for model in models or []}
        self.beat_task = None

    # ---- life ----

    async def start(self, new_id=True, state="ready"):
        if new_id:
            self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence, self.order_count, self.fence, self.busy_until = 0, 0, 0, 0.0
        self.running, self.waiting = 0, 0
        self.state = state
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port or 0, limit=2 ** 24, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.serving = self.beating = True
        self.record.add(f"sampler {self.id} of {self.service} starts at {self.host}:{self.port}")
        self.beat_task = asyncio.create_task(self.beat_loop(self.born))
        self.deployment.tasks.append(self.beat_task)

    async def crash(self):
        """The process ends: all connections are reset, the port is closed."""
        self.record.add(f"sampler {self.id} crashes")
        self.serving = self.beating = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def stop(self):
        if self.server and self.serving:
            await self.crash()

    # ---- announcements ----

    def announcement(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "born": self.born,
                "sequence": self.sequence}
        if self.models:
            body["stage"] = "both"
            body["models"] = [{"name": name, "version": version, "adapters": []}
                              for name, version in self.versions.items()]
        return body

    async def beat(self, seconds=4.0):
        """Says its state until a node acknowledges it. True if one did."""
        body = json.dumps(self.announcement()).encode()
        end = time.monotonic() + seconds
        nodes = list(range(len(self.deployment.control_hosts)))
        random.shuffle(nodes)
        addresses = [self.deployment.control_address(node) for node in nodes]
        if self.heartbeat_address:
            addresses.insert(0, self.heartbeat_address)
        while time.monotonic() < end:
            for address in addresses:
                for _ in range(3):
                    answer = await call(address, "PUT", f"/v1/instances/{self.id}",
                                        {"Content-Type": "application/json"}, body, 1.0)
                    if answer.status != 307:
                        break
                    host, _, rest = answer.headers["location"][7:].partition(":")
                    address = (host, int(rest.partition("/")[0]))
                if 200 <= answer.status < 300:
                    try:
                        host, _, port = answer.json()["heartbeat_address"].partition(":")
                        self.heartbeat_address = (host, int(port))
                    except (ValueError, KeyError):
                        pass
                    return True
                self.heartbeat_address = None
            await asyncio.sleep(0.1)
        return False

    async def beat_loop(self, born):
        while self.beating and self.born == born:
            await self.beat(1.2)
            await asyncio.sleep(random.uniform(1.0, 1.2))

    async def drain(self):
        self.state = "draining"
        acknowledged = await self.beat(4.0)
        self.record.add(f"sampler {self.id} draining, acknowledged: {acknowledged}")
        return acknowledged

    # ---- requests ----

    async def serve(self, reader, writer):
        self.writers.add(writer)
        idle_since = None  # Set after the first answer.
        try:
            while self.serving:
                head = await read_head(reader)
                if head is None:
                    return
                if (self.drops_idle_after is not None and idle_since is not None
                        and time.monotonic() - idle_since > self.drops_idle_after):
                    # It had dropped the idle connection without notice.
                    self.dropped += 1
                    reset(writer)
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, time.monotonic())
                if not await self.answer(request, reader, writer):
                    return
                idle_since = time.monotonic()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load_figures(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def send(self, writer, request, status, headers=None, body=b"", close=False):
        fields = {"Content-Length": str(len(body)), "Server-Load": self.load_figures(),
                  "Keep-Alive": "timeout=10"}
        if request.id:
            fields["Request-Attempt-Id"] = request.id
        if close:
            fields["Connection"] = "close"
        fields.update(headers or {})
        head = f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'x')}\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        return not close

    async def answer(self, request, reader, writer):
        expected = request.headers["expect-instance"]
        if expected and expected != self.id:
            return await self.send(writer, request, 421, {"Instance-Id": self.id, "Not-Run": "1"})
        if request.target == "/health":
            return await self.send(writer, request, 200 if self.state == "ready" else 503,
                                   {"Instance-Id": self.id})
        if request.target == "/v1/report":
            return await self.send(writer, request, 200, {"Content-Type": "application/json"},
                                   json.dumps(self.report()).encode())
        if request.target == "/v1/order":
            return await self.order(request, writer)
        if not request.id:
            return await self.send(writer, request, 400, {"Not-Run": "1"})
        self.arrivals.append(request)
        if self.waiting >= self.queue:
            return await self.send(writer, request, 503, {"Not-Run": "1"})
        self.waiting += 1
        closed = asyncio.ensure_future(reader.read(1))
        turn = asyncio.ensure_future(self.free.acquire())
        try:
            await asyncio.wait({closed, turn}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiting -= 1
        if not turn.done():
            turn.cancel()
            return False
        self.running += 1
        try:
            if closed.done():
                return False  # The sender has left.
            return await self.run(request, closed, writer)
        finally:
            if not closed.done():
                closed.cancel()
                try:
                    await closed
                except (asyncio.CancelledError, OSError):
                    pass
            self.running -= 1
            self.free.release()

    def report(self):
        return {"stage": "both", "busy": time.monotonic() < self.busy_until, "sequence": self.order_count,
                "models": [{"name": name, "version": version, "adapters": []}
                           for name, version in self.versions.items()],
                "waiting_requests": self.waiting, "running_requests": self.running,
                "kv_used": 0, "kv_total": 90000, "handles": 0, "state": self.state}

    async def order(self, request, writer):
        order = json.loads(request.body)
        now = time.monotonic()
        if self.checks_fences and order.get("fencing_token", 0) < self.fence:
            status = 412
        elif now < self.busy_until or order.get("expected", self.order_count) != self.order_count:
            status = 409
        elif self.versions.get(order["model"]) == order["version"]:
            status = 200
        else:
            status = 202
            self.order_count += 1
            self.busy_until = now + self.load_s
            self.deployment.tasks.append(asyncio.create_task(
                self.load(order["model"], order["version"], self.born)))
        if status in (200, 202):
            self.fence = max(self.fence, order.get("fencing_token", 0))
        self.orders.append((now, order, status))
        self.record.add(f"sampler {self.id} is ordered {order['model']} version "
                        f"{order['version']} by {order['holder']} with fencing token "
                        f"{order['fencing_token']}: {status}")
        return await self.send(writer, request, status)

    async def load(self, model, version, born):
        await asyncio.sleep(self.load_s)
        if self.born == born:
            self.versions[model] = version

    async def run(self, request, closed, writer):
        run = Run(self, request, time.monotonic())
        self.runs.append(run)
        model = request.headers["model"]
        self.record.add(f"sampler {self.id} runs {request.id} {request.method} {request.target}"
                        + (f" after {request.headers['last-event-id']}"
                           if request.headers["last-event-id"] else ""))
        if self.on_begin:
            special = await self.on_begin(self, run, writer)
            if special is not None:
                return special
        if self.models and model in self.versions:
            return await self.stream(request, run, closed, writer, model)
        work = self.work(self, request) if callable(self.work) else self.work
        await asyncio.wait({closed}, timeout=work)
        run.ended = time.monotonic()
        if closed.done() or not self.serving:
            return False
        status, body = 200, answer_body(request)
        if self.outcome:
            status = self.outcome(self, request) or 200
        if status != 200:
            body = b"error"
        return await self.send(writer, request, status,
                               {"Server-Stamp": stamp(request, self.id)}, body)

    async def stream(self, request, run, closed, writer, model):
        first = int(request.headers["last-event-id"] or 0)
        wanted = request.headers["expect-version"]
        if wanted and int(wanted) != self.versions[model]:
            return await self.send(writer, request, 421, {"Not-Run": "1",
                                   "Weight-Versions": str(self.versions[model])})
        total = event_count(request.id, self.events)
        head = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\nRequest-Attempt-Id: {request.id}\r\n"
                f"Server-Stamp: {stamp(request, self.id)}\r\n"
                f"Weight-Versions: {self.versions[model]}\r\n"
                f"Server-Load: {self.load_figures()}\r\n\r\n")
        writer.write(head.encode())
        version = self.versions[model]
        for number in range(first + 1, total + 1):
            await asyncio.wait({closed}, timeout=self.event_s)
            if closed.done() or not self.serving:
                return False
            changed = version != self.versions[model]
            version = self.versions[model]
            event = ((f"weight-versions: {version}\n" if changed else "")
                     + f"id: {number}\ndata: {event_data(request.id, number)}\n\n").encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        run.ended = time.monotonic()
        run.complete = True
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def event_count(item, mean):
    return max(1, (sum(item.encode()) % (2 * mean - 1)) + 1)


def event_data(item, number):
    return f"{item}/{number}"


def whole_text(item, mean):
    return "\n".join(event_data(item, n) for n in range(1, event_count(item, mean) + 1))


def stamp(request, sampler):
    return f"{sampler}.{request.id}"


def answer_body(request):
    return f"answer to {request.id} {request.target} ".encode() + request.body
