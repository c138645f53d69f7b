"""Stand-in of a client (PROTOCOL.md, "Requests" and "Answers")."""

import asyncio
import secrets
import time

from . import http1


class Outcome:
    """What came of one try."""

    def __init__(self, request_id, status=None, body=b"", signed=False, error=None, sent=None, ended=None):
        self.request_id = request_id
        self.status = status
        self.body = body
        self.signed = signed
        self.error = error
        self.sent = sent
        self.ended = ended

    @property
    def text(self):
        return str(self.status) if self.error is None else self.error


class Connection:
    """A connection to a daemon, kept for many requests."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port, limit=http1.MAX_HEAD_BYTES), 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, deadline_ms, body=b"", headers=(), request_id=None):
        request_id = request_id or secrets.token_hex(8)
        headers = [("Host", "records.example"), ("Ponddrift-Request-Id", request_id),
                   ("Ponddrift-Deadline-Ms", str(deadline_ms)), *headers]
        if body or method == "POST":
            headers.append(("Content-Length", str(len(body))))
        sent = time.monotonic()
        try:
            if self.writer is None:
                await self.open()
            self.writer.write(http1.head_bytes(f"{method} {path} HTTP/1.1", headers) + body)
            outcome = await asyncio.wait_for(self._read(request_id), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            outcome = Outcome(request_id, error="no answer before the deadline")
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            self.close()
            outcome = Outcome(request_id, error=f"connection closed: {error or type(error).__name__}")
        outcome.sent, outcome.ended = sent, time.monotonic()
        return outcome

    async def _read(self, request_id):
        head = await http1.read_head(self.reader)
        if head is None:
            raise ConnectionError("before the answer")
        body = await http1.read_body(self.reader, head)
        if "close" in (head.get("connection") or "").lower():
            self.close()
        signed = head.get("ponddrift-response-signature") is not None
        return Outcome(request_id, head.status, body, signed)
