"""A control instance, a gateway and a stand-in target for the cases of untrusted clients."""

import http.server
import json
import os
import pathlib
import random
import re
import resource
import shutil
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"

HOST = "desk.example"
CALLERS, READINESS, PEERS, RELAY, API, METRICS, TARGET = 21000, 21001, 21002, 21003, 21004, 21005, 21006
KILOBYTE, MEGABYTE = 1024, 1024 * 1024
# Limits of the deployment. They are lower than those of real ones, so that few
# clients exceed them.
HEADER_BYTES = 16384
BODY_BYTES = 4 * MEGABYTE
MEMORY_BUDGET = "16MiB"
DESCRIPTORS = 512
# Bounds of the checks: what a process may grow by in a case, over its memory
# at the beginning of the case, and the descriptors that stay free.
MAX_GROWTH_BYTES = 40 * MEGABYTE
MIN_FREE_DESCRIPTORS = 16
LARGE_ANSWER_BYTES = 6 * MEGABYTE
# Of waiting for an answer on a machine with other load.
ANSWER_TIMEOUT_S = 20


class CheckFailed(Exception):
    """A check of a case did not hold."""


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.answer()

    def do_GET(self):
        self.answer()

    def answer(self):
        size = LARGE_ANSWER_BYTES if self.path == "/live/large" else 2
        self.send_response(200)
        self.send_header("Request-Attempt-Id", self.headers.get("Request-Attempt-Id", ""))
        self.send_header("Server-Stamp", "stamp")
        self.send_header("Content-Length", str(size))
        self.end_headers()
        self.wfile.write(b"o" * size)

    def log_message(self, *arguments):
        pass


class TargetServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # The gateway closes connections whose answer nobody reads.


class Program:
    """A started program of the project and what /proc states about it."""

    def __init__(self, name, settings, memory_budget, folder):
        self.name = name
        path = folder / f"{name}.json"
        program = BIN / f"limpethatch-{name}"
        # Builds without the setting are started without it.
        path.write_text(json.dumps({**settings, "memory_budget": memory_budget}))
        if subprocess.run([program, "--settings", path, "--check"],
                          capture_output=True, check=False).returncode != 0:
            path.write_text(json.dumps(settings))
        with open(folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [program, "--settings", path], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, preexec_fn=limit_descriptors)

    def memory(self, field):
        """A field of /proc/PID/status in bytes."""
        self.check_alive()
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+) kB", text).group(1)) * KILOBYTE

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def begin_case(self):
        pathlib.Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")  # Resets VmHWM.
        self.memory_before = self.memory("VmRSS")

    def growth(self):
        return self.memory("VmHWM") - self.memory_before

    def check_alive(self):
        if self.process.poll() is not None:
            raise CheckFailed(f"{self.name} ended with {self.process.returncode}")

    def check_memory(self, max_growth):
        growth = self.growth()
        if growth > max_growth:
            raise CheckFailed(f"{self.name} grew by {growth // MEGABYTE} MB "
                              f"(at most {max_growth // MEGABYTE} allowed)")

    def check_descriptors(self):
        count = self.descriptors()
        if count > DESCRIPTORS - MIN_FREE_DESCRIPTORS:
            raise CheckFailed(f"{self.name} has {count} of {DESCRIPTORS} descriptors open")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def exchange(ip, port, request, timeout=ANSWER_TIMEOUT_S):
    """Sends one request and returns the answer's status, 0 if there is none."""
    try:
        with socket.create_connection((ip, port), timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(request)
            answer = connection.recv(64)
            return int(answer[9:12]) if answer.startswith(b"HTTP/1.1 ") else 0
    except OSError:
        return 0


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Request-Attempt-Id: a", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Deployment:
    def __init__(self, body_bytes=BODY_BYTES, memory_budget=MEMORY_BUDGET,
                 max_growth=MAX_GROWTH_BYTES):
        self.body_bytes, self.max_growth = body_bytes, max_growth
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limpethatch-hostile-"))
        subnet = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.control_ip, self.gateway_ip, target_ip = (f"{subnet}.{i}" for i in (10, 20, 30))
        self.target_address = f"{target_ip}:{TARGET}"
        self.target = TargetServer((target_ip, TARGET), TargetHandler)
        threading.Thread(target=self.target.serve_forever, daemon=True).start()
        seeds = [f"{self.control_ip}:{API}"]
        self.control = Program("control", {
            "id": self.control_ip, "zone": "zone-a",
            "listen": {"peers": f"{self.control_ip}:{PEERS}", "api": f"{self.control_ip}:{API}",
                       "metrics": f"{self.control_ip}:{METRICS}"},
            "data_folder": str(self.folder / "data"),
            "fleet": {"name": "control", "seeds": seeds, "may_found": True,
                      "tolerated_losses": 0, "order_lease": "3s"}}, memory_budget, self.folder)
        self.gateway = Program("gateway", {
            "id": "gateway", "zone": "zone-a",
            "listen": {"callers": f"{self.gateway_ip}:{CALLERS}",
                       "readiness": f"{self.gateway_ip}:{READINESS}",
                       "peers": f"{self.gateway_ip}:{PEERS}",
                       "relay": f"{self.gateway_ip}:{RELAY}",
                       "metrics": f"{self.gateway_ip}:{METRICS}"},
            "seeds": seeds}, memory_budget, self.folder)
        self.programs = [self.control, self.gateway]
        self.stopping = threading.Event()
        self.announcer = threading.Thread(target=self.announce, daemon=True)
        try:
            self.wait(lambda: self.configure() == 200, "the configuration was not accepted")
            self.announcer.start()
            self.wait(lambda: self.ordinary_request() == 200, "no request is served")
        except CheckFailed:
            self.end()
            raise

    @staticmethod
    def wait(condition, problem):
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise CheckFailed(problem)
            time.sleep(0.05)

    def put(self, path, document):
        body = json.dumps(document).encode()
        return exchange(self.control_ip, API,
                        head("PUT", path, f"Content-Length: {len(body)}") + body, 2)

    def configure(self):
        def route(name, prefix, kind, service):
            return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
                    "service": service, "timeout_ms": 10000}
        return self.put("/v1/configuration", {
            "version": 1,
            "routes": [route("live", "/live/", "safe", "desk"),
                       route("jobs", "/jobs/", "batch", "engines")],
            "services": [{"name": "desk"},
                         {"name": "engines", "engine": {"models": [{"name": "model-a"}]}}],
            "limits": {"max_header_bytes": HEADER_BYTES, "max_body_bytes": self.body_bytes,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def announce(self):
        sequence, born = 0, int(time.time() * 1000)
        while not self.stopping.wait(0.3):
            sequence += 1
            self.put("/v1/instances/desk-1", {
                "service": "desk", "address": self.target_address, "zone": "zone-a", "slots": 64,
                "sequence": sequence, "version": "1", "cold_remaining_ms": 0, "born": born,
                "state": "ready"})

    def ordinary_request(self):
        return exchange(self.gateway_ip, CALLERS, head("GET", "/live/a", "Connection: close"), 2)

    def listeners(self):
        """Name, address and a path of all listeners with HTTP."""
        return [("callers", self.gateway, self.gateway_ip, CALLERS, "/live/a"),
                ("readiness", self.gateway, self.gateway_ip, READINESS, "/v1/readiness"),
                ("relay", self.gateway, self.gateway_ip, RELAY, "/live/a"),
                ("gateway metrics", self.gateway, self.gateway_ip, METRICS, "/metrics"),
                ("control api", self.control, self.control_ip, API, "/v1/configuration"),
                ("control metrics", self.control, self.control_ip, METRICS, "/metrics")]

    def check(self):
        """The checks of every case, after its clients have sent everything."""
        for program in self.programs:
            program.check_alive()
            program.check_memory(self.max_growth)
            program.check_descriptors()

    def check_answers(self):
        self.wait(lambda: self.ordinary_request() == 200, "an ordinary request is not answered")
        self.wait(lambda: exchange(self.control_ip, API, head("GET", "/v1/configuration"), 2) == 200,
                  "control does not answer")

    def end(self):
        self.stopping.set()
        for program in self.programs:
            program.end()
        self.target.shutdown()
        self.target.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)
