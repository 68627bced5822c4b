"""Clients that send what they are told to, and stay connected."""

import selectors
import socket
import struct
import time

# Longest time that a crowd sends; slower machines send less of it.
SENDING_S = 4
# A crowd that cannot send for this long has sent what is accepted.
STALL_S = 1.0
PIECE_BYTES = 256 * 1024


class Crowd:
    """Connections that send the same bytes. `prefix` is followed by `pattern`
    up to `total` bytes. The answers are not read."""

    def __init__(self, ip, port, count):
        self.connections = []
        for _ in range(count):
            connection = socket.socket()
            connection.settimeout(2)
            # The kernel takes few bytes of an answer that nobody reads.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            try:
                connection.connect((ip, port))
            except OSError:
                connection.close()
                continue
            connection.setblocking(False)
            self.connections.append(connection)

    def send(self, prefix, pattern=b"", total=0):
        total = max(total, len(prefix))
        block = pattern * (PIECE_BYTES // len(pattern) + 1) if pattern else b""
        sent = {connection: 0 for connection in self.connections}
        deadline = time.monotonic() + SENDING_S
        with selectors.DefaultSelector() as selector:
            for connection in self.connections:
                selector.register(connection, selectors.EVENT_WRITE)
            while selector.get_map() and time.monotonic() < deadline:
                events = selector.select(STALL_S)
                if not events:
                    return
                for key, _ in events:
                    connection = key.fileobj
                    done = sent[connection]
                    if done < len(prefix):
                        piece = prefix[done:done + PIECE_BYTES]
                    else:
                        start = (done - len(prefix)) % len(pattern)
                        piece = block[start:start + min(PIECE_BYTES, total - done)]
                    try:
                        sent[connection] += connection.send(piece)
                    except BlockingIOError:
                        continue
                    except OSError:
                        selector.unregister(connection)  # Closed by the server.
                        continue
                    if sent[connection] >= total:
                        selector.unregister(connection)

    def read_slowly(self, seconds, bytes_per_second):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for connection in self.connections:
                try:
                    connection.recv(max(bytes_per_second // 10, 1))
                except OSError:
                    pass
            time.sleep(0.1)

    def reset(self):
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            connection.close()

    def close(self):
        for connection in self.connections:
            connection.close()
