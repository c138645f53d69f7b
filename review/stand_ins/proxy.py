"""A TCP proxy between one machine and the store, which can reset all its connections."""

import asyncio


class Proxy:
    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.open = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    def reset(self):
        """Resets all open connections on both sides; new ones are served. Returns their number."""
        count = len(self.open)
        for pair in list(self.open):
            for writer in pair:
                writer.transport.abort()
        return count

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.open.add(pair)
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        finally:
            self.open.discard(pair)
            writer.close()
            far_writer.close()


async def _copy(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except (ConnectionError, OSError):
        writer.transport.abort()
