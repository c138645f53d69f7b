"""Stand-in of a plain engine (PROTOCOL.md, "Engines" and "Answers")."""

import asyncio
import time

from . import http1


class Engine:
    """One engine. `handle` may be replaced to shape its answers."""

    def __init__(self, identity, service, zone, ip, port, slots=6, work_s=0.03):
        self.identity = identity
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = port
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = 800
        self.arrivals = []
        self.runs = []
        self.record = lambda event, **fields: None
        self.connections = set()
        self.readers = {}
        self.accepted = []
        self.server = None
        self.running = 0

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 0}

    def write_entry(self, store, state="ready"):
        return store.put_json(f"servers/{self.identity}", self.entry(state))

    def remove_entry(self, store):
        return store.remove(f"servers/{self.identity}")

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port,
                                                 limit=http1.MAX_HEAD_BYTES)

    def end(self):
        """Ends the process: nothing listens any more, and all connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        self.readers[writer] = reader
        self.accepted.append(time.monotonic())
        try:
            while (head := await http1.read_head(reader)) is not None:
                arrived = time.monotonic()
                body = await http1.read_body(reader, head)
                await self._answer(head, body, arrived, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            self.readers.pop(writer, None)
            writer.close()

    def _headers(self, request_id):
        headers = [("Ponddrift-Instance-Id", self.identity), ("Keep-Alive", "timeout=5")]
        if request_id:
            headers.append(("Ponddrift-Request-Id", request_id))
        return headers

    async def _answer(self, head, body, arrived, writer):
        method, path, _ = head.first_line.split(" ")
        if method == "GET" and path == "/health":
            writer.write(http1.answer_bytes(200, self._headers(None), b""))
            return
        request_id = head.get("ponddrift-request-id")
        headers = self._headers(request_id)
        not_executed = headers + [("Ponddrift-Not-Executed", "1")]
        expected = head.get("ponddrift-expect-instance")
        if expected is not None and expected != self.identity:
            writer.write(http1.answer_bytes(421, not_executed, b""))
            return
        if request_id is None:
            writer.write(http1.answer_bytes(400, not_executed, b""))
            return
        self.arrivals.append((arrived, request_id))
        self.record("arrival", engine=self.identity, request=request_id)
        if self.running >= 4 * self.slots:
            writer.write(http1.answer_bytes(503, not_executed, b""))
            return
        await self.run(head, body, request_id, headers, writer)

    async def run(self, head, body, request_id, headers, writer):
        self.running += 1
        try:
            self.runs.append((time.monotonic(), request_id))
            self.record("run", engine=self.identity, request=request_id)
            await asyncio.sleep(self.work_s)
            content = (f"{self.identity} {request_id} ".encode() * (self.answer_bytes // 16 + 1))
            content = content[:self.answer_bytes]
            headers = headers + [("Ponddrift-Response-Signature", f"s.{self.identity}.{request_id}")]
            writer.write(http1.answer_bytes(200, headers, content))
            self.record("answered", engine=self.identity, request=request_id)
        finally:
            self.running -= 1


def configuration(version, routes, services, limits=None):
    """The value of the key op/config."""
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def route(name, kind, service, timeout_ms, target_ms, attempts=1):
    return {"name": name, "host": "records.example", "pathPrefix": f"/{name}/", "service": service,
            "type": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 2,
            "maxAttempts": attempts, "resumable": False}


def plain_service(name, connections=100):
    return {"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1",
            "tls": False}
