"""Stand-in of a model engine (PROTOCOL.md, "Requests", "Engines", "Prefill and decode")."""

import asyncio
import json

from . import http1
from .engine import Engine


class ModelEngine(Engine):
    """A decode engine that reads prompts itself and answers with a stream of events."""

    def __init__(self, *arguments, stage="decode", first_event_s=0.05, gap_s=0.02, events=5, **options):
        super().__init__(*arguments, **options)
        self.stage = stage
        self.first_event_s = first_event_s
        self.gap_s = gap_s
        self.events = events
        self.slowness = 1.0
        self.free_slots = asyncio.Semaphore(self.slots)
        self.spans = []

    def entry(self, state="ready"):
        return dict(super().entry(state), stage=self.stage,
                    models=[{"name": "m", "version": 1, "adapters": []}])

    async def _answer(self, head, body, arrived, writer):
        method, path, _ = head.first_line.split(" ")
        if method == "GET" and path == "/health":
            self.record("health_check", engine=self.identity, running=self.running)
            async with self.free_slots:
                await super()._answer(head, body, arrived, writer)
            return
        if method == "GET" and path == "/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": False, "sequence": 0, "queued": 0, "inFlight": self.running,
                      "kvUsed": 0, "kvTotal": 495255, "kvHandles": 0}
            content = json.dumps(report).encode()
            writer.write(http1.answer_bytes(200, [("Content-Type", "application/json")], content))
            return
        if method == "GET" and path.startswith("/kv-events"):
            content = json.dumps({"epoch": 1, "nextPageToken": 0, "lost": False, "events": []}).encode()
            writer.write(http1.answer_bytes(200, [("Content-Type", "application/json")], content))
            return
        await super()._answer(head, body, arrived, writer)

    async def run(self, head, body, request_id, headers, writer):
        """Waits for a slot, then runs the request until it ends or its connection closes."""
        async with self.free_slots:
            await self._run_in_slot(head, request_id, headers, writer)

    async def _run_in_slot(self, head, request_id, headers, writer):
        if writer.is_closing() or self.readers[writer].at_eof():
            raise ConnectionError("the caller left")
        loop = asyncio.get_running_loop()
        span = {"request": request_id, "engine": self.identity, "began": loop.time(), "ended": None,
                "end": "running", "after": head.get("last-event-id"), "events": 0}
        self.spans.append(span)
        self.running += 1
        self.record("run", engine=self.identity, request=request_id, after=span["after"])
        try:
            await self._pause(self.first_event_s, writer)
            headers = headers + [("Content-Type", "text/event-stream"),
                                 ("Ponddrift-Response-Signature", f"s.{self.identity}.{request_id}"),
                                 ("Ponddrift-Weights-Version", "1"), ("Transfer-Encoding", "chunked")]
            writer.write(http1.head_bytes("HTTP/1.1 200 OK", headers))
            for number in range(int(span["after"] or 0) + 1, self.events + 1):
                event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                span["events"] += 1
                await self._pause(self.gap_s, writer)
            writer.write(b"0\r\n\r\n")
            span["end"] = "whole"
        except ConnectionError:
            span["end"] = "cancelled"
            raise
        finally:
            span["ended"] = loop.time()
            self.running -= 1
            self.record("run_ended", engine=self.identity, request=request_id, end=span["end"],
                        events=span["events"])

    async def _pause(self, seconds, writer):
        """Works for some time; raises ConnectionError as soon as the caller closes its connection."""
        loop = asyncio.get_running_loop()
        left, last = seconds, loop.time()
        while left > 0:
            await asyncio.sleep(0.005)
            # Each token comes more slowly the more requests run.
            left -= (loop.time() - last) / (self.slowness * (1 + self.running / self.slots))
            last = loop.time()
            if writer.is_closing() or self.readers[writer].at_eof():
                raise ConnectionError("the caller left")


def model_service(name, slots=12, connections=300):
    return {"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1",
            "tls": False,
            "engine": {"slots": slots, "kvCapacityTokens": 495255, "tokenKvBytes": 163840,
                       "linkMbps": 1900000.0, "kvHoldS": 5.0, "roleSwitchS": 0.8,
                       "models": [{"name": "m"}]}}


def stream_route(name, service, timeout_ms, target_ms, gap_ms, attempts, resumable):
    return {"name": name, "host": "records.example", "pathPrefix": f"/{name}/", "service": service,
            "type": "streaming", "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
            "targetGapMs": gap_ms, "priority": 0, "maxAttempts": attempts, "resumable": resumable,
            "sessionAffinity": True}
