"""Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http1

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.oldest = self.revision
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.waiting_watches = set()
        self.server = None

    # What the operator, the engines and the test do.

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "made": made, "lease": lease}
        self.items[key] = item
        self._record(item)
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return None
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "gone": True})
        return self.revision

    def cut_waiting_watches(self):
        """Closes the connections of all watches that wait; returns their number."""
        cut = list(self.waiting_watches)
        for writer in cut:
            writer.close()
        return len(cut)

    def watches_through(self, proxy):
        """Whether a watch waits that came through the proxy."""
        ports = {far.get_extra_info("sockname")[1] for _near, far in proxy.open}
        return any(writer.get_extra_info("peername")[1] in ports for writer in self.waiting_watches)

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    # Leases.

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_ttl, ends) in list(self.leases.items()):
                if ends <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    # The interface of the daemons.

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, limit=http1.MAX_HEAD_BYTES)
        asyncio.ensure_future(self.expire_leases())

    async def _serve(self, reader, writer):
        try:
            while (head := await http1.read_head(reader)) is not None:
                body = await http1.read_body(reader, head)
                status, value = await self._answer(head, body, writer)
                content = json.dumps(value).encode() if value is not None else b""
                headers = [("Content-Type", "application/json")]
                writer.write(http1.answer_bytes(status, headers, content))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, body, writer):
        method, target, _ = head.first_line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if (method, path) == ("GET", "/kv-key"):
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at=self.revision)) if item else (404, None)
        if (method, path) == ("GET", "/kv-range"):
            return self._range(query)
        if (method, path) == ("GET", "/kv-watch"):
            return await self._watch(query, writer)
        if (method, path) == ("POST", "/kv-txn"):
            return self._transact(json.loads(body))
        if (method, path) == ("POST", "/kv-lease"):
            ttl_ms = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            ended = self._end_lease(int(path.rsplit("/", 1)[1]))
            return (200 if ended else 404), None
        return 404, None

    def _range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query, writer):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        if after < self.oldest:
            return 410, None
        ends = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        self.waiting_watches.add(writer)
        try:
            while True:
                changed = self.changed
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                if writer.is_closing():
                    raise ConnectionError("the watch was cut")
                try:
                    await asyncio.wait_for(changed.wait(), min(left, 0.05))
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting_watches.discard(writer)

    def _transact(self, call):
        for row in call.get("expectedRevision", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                rows = call["expectedRevision"]
                found = [self.items[row["key"]] for row in rows if row["key"] in self.items]
                return 412, {"items": found}
        for row in call.get("put", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, None
        for row in call.get("put", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
