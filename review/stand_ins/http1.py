"""A small HTTP/1.1 codec for stand-ins, over asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 1 << 20


class Message:
    """The head of a request or an answer."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first_line.split(" ", 2)[1])


async def read_head(reader):
    """Reads a head; None if the connection ended before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head broke off") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, head):
    """Reads a body with a length or in chunks; raises ConnectionError if it ends early."""
    try:
        if (head.get("transfer-encoding") or "").lower() == "chunked":
            pieces = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                pieces.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    return b"".join(pieces)
        length = int(head.get("content-length") or 0)
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise ConnectionError("the body broke off") from error


def head_bytes(first_line, headers):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer_bytes(status, headers, body):
    first_line = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
    return head_bytes(first_line, list(headers) + [("Content-Length", str(len(body)))]) + body
