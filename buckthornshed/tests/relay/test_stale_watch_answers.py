"""Tests of a store that writes an earlier answer once more."""

import asyncio
import json
import time

import pytest

from buckthornshed.platform.store import HistoryLostError, StoreClient

from .fleet import until


def run(scenario):
    asyncio.run(scenario)


# Guards against a removal that is applied again: the store wrote an earlier answer once
# more, where that to the next watch was due.
def test_an_answer_to_an_earlier_watch_is_not_taken_for_that_to_a_later_one():
    def body(revision):
        event = {"key": f"servers/{revision}", "rev": revision, "deleted": True}
        return json.dumps({"events": [event], "at": revision}).encode()

    def message(data):
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(data), data)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(message(body(5)))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(message(body(7)))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(message(body(5)))

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = StoreClient(address=f"{host}:{port}", clock=time.monotonic)
        assert (await client.watch("", 4, 1.0)).revision == 5
        assert (await client.watch("", 5, 1.0)).revision == 7
        with pytest.raises(HistoryLostError):
            await client.watch("", 7, 1.0)
        await until(lambda: not any(client.pool.idle.values()))
        server.close()

    run(scenario())
