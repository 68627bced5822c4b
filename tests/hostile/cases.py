"""The cases of untrusted clients. Each sends its load and returns its crowds;
the runner then applies the checks while the crowds are still connected, and
sends ordinary requests after they have left."""

from common import (BODY_BYTES, CALLERS, DESCRIPTORS, HEADER_BYTES, KILOBYTE, MEGABYTE, CheckFailed,
                    exchange, head)
from crowd import Crowd

# The body limit of control's API has no setting.
API_BODY_BYTES = 8 * MEGABYTE
SMALL_MACHINE_BYTES = 96 * MEGABYTE


def start_crowd(ip, port, count, prefix, pattern=b"", total=0):
    crowd = Crowd(ip, port, count)
    crowd.send(prefix, pattern, total)
    return crowd


def body_targets(deployment):
    """The listeners that take large bodies: address, method, path, limit."""
    return [(deployment.gateway_ip, CALLERS, "POST", "/live/a", BODY_BYTES),
            (deployment.control_ip, deployment.listeners()[4][3], "PUT", "/v1/configuration",
             API_BODY_BYTES)]


def large_bodies(deployment):
    """Bodies with a stated length that stop one byte short, which filled the memory."""
    crowds = []
    for ip, port, method, path, size in body_targets(deployment):
        prefix = head(method, path, f"Content-Length: {size}")
        crowds.append(start_crowd(ip, port, 24, prefix, b"x", len(prefix) + size - 1))
    return crowds


def bodies_in_chunks(deployment):
    """The same in chunks of 64 KB."""
    crowds = []
    for ip, port, method, path, size in body_targets(deployment):
        prefix = head(method, path, "Transfer-Encoding: chunked")
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        total = len(prefix) + (size // 65536) * len(chunk) - 3
        crowds.append(start_crowd(ip, port, 24, prefix, chunk, total))
    return crowds


def one_byte_chunks(deployment):
    """Chunks of one byte, each with six bytes of framing."""
    crowds = []
    for ip, port, method, path, _ in body_targets(deployment):
        prefix = head(method, path, "Transfer-Encoding: chunked")
        crowds.append(start_crowd(ip, port, 12, prefix, b"1\r\nx\r\n", 6 * MEGABYTE))
    return crowds


def fill_head(line):
    """A head of the largest size that consists of `line`, with an unfinished body."""
    start = head("POST", "/live/a", "Content-Length: 10")[:-2]
    return start + line * ((HEADER_BYTES - len(start) - 4) // len(line)) + b"\r\n"


def header_lines(deployment):
    """Heads of the permitted size cost several times their size in memory."""
    crowds = []
    for count, line in [(240, b"a:\r\n"), (20, b"!#$%&'*+-.^_`|~:\t\r\n"), (40, b"a:b\r\n c\r\n"),
                        (40, b"abcdefgh: \r\n")]:
        prefix = fill_head(line)
        for ip, port, *_ in body_targets(deployment):
            crowds.append(start_crowd(ip, port, count, prefix))
    return crowds


def endless(deployment, field, prefix, pattern):
    crowds = []
    for _, _, ip, port, path in deployment.listeners():
        text = head("POST", path, field) + prefix
        crowds.append(start_crowd(ip, port, 3, text, pattern, 32 * MEGABYTE))
    return crowds


def endless_trailers(deployment):
    """Trailers without an end behind a chunked body were kept without a limit."""
    return endless(deployment, "Transfer-Encoding: chunked", b"1\r\nx\r\n0\r\n", b"a: bcdefgh\r\n")


def endless_extensions(deployment):
    """A chunk extension without an end."""
    return endless(deployment, "Transfer-Encoding: chunked", b"1;a=", b"b" * 64)


def endless_heads(deployment):
    """A head without an end."""
    return endless(deployment, "A: b", b"", b"x")


def unread_answers(deployment):
    """Pipelined requests whose answers nobody reads."""
    crowds = []
    for _, _, ip, port, path in deployment.listeners():
        request = head("GET", path)
        crowds.append(start_crowd(ip, port, 8, request, request, MEGABYTE))
    return crowds


def slow_readers(deployment):
    """Large answers of which a client reads 100 bytes a second."""
    crowds = []
    for _ in range(4):
        crowds.append(start_crowd(deployment.gateway_ip, CALLERS, 5, head("GET", "/live/large")))
        crowds[-1].read_slowly(1, 100)
    return crowds


def open_connections(deployment):
    """More connections than descriptors: the process keeps some for its own use."""
    crowds = []
    for _, _, ip, port, _ in deployment.listeners():
        crowds.append(Crowd(ip, port, DESCRIPTORS + 64 if port == CALLERS else 128))
    for name, _, ip, port, path in deployment.listeners():
        if name == "readiness" and exchange(ip, port, head("GET", path)) != 200:
            raise CheckFailed("readiness is not answered while the connections are open")
    return crowds


def resets(deployment):
    """Connections that are reset in the middle of a head or a body."""
    for _ in range(15):
        for _, _, ip, port, path in deployment.listeners():
            for prefix in [b"POST / HT", head("POST", path, "Content-Length: 100000") + b"x" * 5000]:
                start_crowd(ip, port, 4, prefix).reset()
    return []


def json_of_small_values(deployment):
    """JSON of very many small values takes many times its size when parsed."""
    crowds = []
    start = b'{"version":1,"items":['
    for ip, port, method, path, size in body_targets(deployment):
        path = "/jobs/a" if path == "/live/a" else path
        body = start + b"0," * ((size - len(start) - 3) // 2) + b"0]}"
        crowds.append(start_crowd(ip, port, 3, head(method, path, f"Content-Length: {len(body)}") +
                                  body))
        # Answered after the requests before it have been parsed.
        exchange(ip, port, head("GET", path, "Connection: close"))
    return crowds


def largest_body(deployment):
    """A single body of the largest size is forwarded by a small gateway in calm."""
    size = deployment.body_bytes
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    requests = [head("POST", "/live/a", f"Content-Length: {size}") + b"x" * size,
                head("POST", "/live/a", "Transfer-Encoding: chunked") + chunk * (size // 65536) +
                b"0\r\n\r\n"]
    for request in requests:
        status = exchange(deployment.gateway_ip, CALLERS, request)
        peak = deployment.gateway.memory("VmHWM")
        if status != 200 or peak > SMALL_MACHINE_BYTES:
            raise CheckFailed(f"a body of {size} bytes got {status} and took the gateway to "
                              f"{peak // MEGABYTE} MB (200 and at most 96 MB expected)")
    return []


# The memory of the smallest gateways, and half of it as their budget.
largest_body.deployment = {"body_bytes": 32 * MEGABYTE, "memory_budget": "48MiB",
                           "max_growth": SMALL_MACHINE_BYTES}


ALL = [large_bodies, bodies_in_chunks, one_byte_chunks, header_lines, endless_trailers,
       endless_extensions, endless_heads, unread_answers, slow_readers, open_connections, resets,
       json_of_small_values, largest_body]
