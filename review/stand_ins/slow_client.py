"""Stand-in of a client that is slow to read its answer."""

import asyncio
import secrets
import socket
import time

from . import http1

RECEIVE_BUFFER_BYTES = 8192
# Windows and segments as on a slow line; those of the loopback interface are far larger.
SEGMENT_BYTES = 1448
READ_BYTES = 4096


class SlowAnswer:
    """What a slow client got of one answer."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.length = None
        self.got = 0
        self.sent = None
        self.ended = None
        self.error = None

    @property
    def is_whole(self):
        return self.length is not None and self.got == self.length


async def send_and_read(host, port, path, deadline_ms, bytes_per_s, record):
    """Sends one request and reads the answer at this pace until it is whole or its connection closes."""
    loop = asyncio.get_running_loop()
    answer = SlowAnswer(secrets.token_hex(8))
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    try:
        await loop.sock_connect(connection, (host, port))
        body = b"x" * 600
        headers = [("Host", "records.example"), ("Ponddrift-Request-Id", answer.request_id),
                   ("Ponddrift-Deadline-Ms", str(deadline_ms)), ("Content-Length", str(len(body)))]
        answer.sent = time.monotonic()
        record("sent", request=answer.request_id)
        await loop.sock_sendall(connection, http1.head_bytes(f"POST {path} HTTP/1.1", headers) + body)
        head = b""
        while b"\r\n\r\n" not in head:
            piece = await loop.sock_recv(connection, READ_BYTES)
            if not piece:
                raise ConnectionError("closed before the answer")
            head += piece
        head, _, rest = head.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        fields = {name.strip().lower(): value.strip()
                  for name, _, value in (line.partition(":") for line in lines[1:])}
        answer.length = int(fields["content-length"])
        answer.got = len(rest)
        began = time.monotonic()
        while not answer.is_whole:
            ahead = answer.got / bytes_per_s - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)
            piece = await loop.sock_recv(connection, READ_BYTES)
            if not piece:
                break
            answer.got += len(piece)
    except (ConnectionError, OSError) as error:
        answer.error = str(error) or type(error).__name__
    finally:
        connection.close()
    answer.ended = time.monotonic()
    record("read", request=answer.request_id, status=answer.status, got=answer.got,
           length=answer.length, error=answer.error)
    return answer
