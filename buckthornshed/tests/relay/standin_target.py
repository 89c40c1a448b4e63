"""A fake target that follows scripted behaviours and records its requests."""

import asyncio

Script = list


class StandinTarget:
    """Answers HTTP/1.1 requests on one address.

    Attributes
    ----------
    scripts : list
        Behaviours for the next requests, in order; ``ok`` once the list is empty.
        ``full`` and ``wrong`` reject the request with 503 and 421, ``full-then-copy``
        with 503 and a second copy of it before the next answer on the connection.
        ``slow`` waits for `release`, ``hang`` waits until the caller disconnects. The
        others are the kinds of answers in `BEHAVIOURS`.
    ran : list
        Identifiers of the requests that ran, in order.
    received : list
        Request line, headers and body of all requests, in order.
    disconnected : list
        Identifiers of the requests whose caller disconnected during ``hang``.
    on_run : coroutine function or None
        Awaited with the target and the path of each request that begins to run.
    extra_headers : str
        Lines that are added to the head of each answer.
    body : bytes or None
        Body of each answer; None for one that names the request.
    """

    def __init__(self, name):
        self.name = name
        self.scripts = []
        self.ran = []
        self.received = []
        self.connections = 0
        self.running = 0
        self.max_running = 0
        self.disconnected = []
        self.delay = 0.0
        self.on_run = None
        self.extra_headers = ""
        self.body: bytes | None = None
        self.late_copies = {}
        self.writers = set()
        self.release = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def open(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def close(self):
        if self.server is not None:
            self.server.close()

    def stop(self):
        """Close the listening socket and all connections."""
        self.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = parse_head(head)
                headers[":path"] = head.split(b" ", 2)[1].decode()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                self.received.append((head.split(b"\r\n")[0], headers, body))
                if not await self._run(headers, body, reader, writer):
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The task is cancelled when the loop closes.
            writer.close()
        finally:
            self.writers.discard(writer)

    async def _run(self, headers, body, reader, writer):
        script = self.scripts.pop(0) if self.scripts else "ok"
        request_id = headers["request-id"]
        writer.write(self.late_copies.pop(writer, b""))
        if script in REJECTIONS or headers["expect-instance"] != self.name:
            answer = (
                f"HTTP/1.1 {REJECTIONS.get(script, 421)} X\r\n"
                f"request-id: {request_id}\r\nnot-executed: 1\r\n"
                f"{self.extra_headers}content-length: 0\r\n\r\n"
            ).encode()
            writer.write(answer)
            if script == "full-then-copy":
                self.late_copies[writer] = answer
            return True
        self.ran.append(request_id)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if self.on_run is not None:
                await self.on_run(self, headers[":path"])
            await self._work(script, request_id, reader)
        finally:
            self.running -= 1
        return await BEHAVIOURS[script](self, request_id, writer)

    async def _work(self, script, request_id, reader):
        if script == "hang":
            await self._until_closed(request_id, reader)
        if script == "slow":
            await self.release.wait()
        if self.delay:
            await asyncio.sleep(self.delay)

    async def _until_closed(self, request_id, reader):
        if not await reader.read(1):
            self.disconnected.append(request_id)
            raise ConnectionError("caller closed the connection")

    def signed_answer(self, request_id, status=200, extra=""):
        body = self.body
        if body is None:
            body = f"answer to {request_id} by {self.name}".encode()
        head = (
            f"HTTP/1.1 {status} X\r\nrequest-id: {request_id}\r\n"
            f"response-seal: {self.name}.{request_id}\r\n{extra}{self.extra_headers}"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


REJECTIONS = {"full": 503, "full-then-copy": 503, "wrong": 421}


async def respond_ok(target, request_id, writer):
    writer.write(target.signed_answer(request_id))
    return True


async def respond_error(target, request_id, writer):
    writer.write(target.signed_answer(request_id, status=500))
    return True


async def respond_deadline(target, request_id, writer):
    writer.write(target.signed_answer(request_id, status=504))
    return True


async def respond_truncated(target, request_id, writer):
    writer.write(target.signed_answer(request_id)[:-5])
    return False


async def respond_reset(target, request_id, writer):
    writer.transport.abort()
    return False


async def respond_extra(target, request_id, writer):
    writer.write(
        target.signed_answer(request_id) + target.signed_answer("somebody-else")
    )
    return True


async def respond_late_extra(target, request_id, writer):
    writer.write(
        target.signed_answer("somebody-else") + target.signed_answer(request_id)
    )
    return True


async def respond_without_id(target, request_id, writer):
    answer = target.signed_answer(request_id)
    writer.write(answer.replace(b"request-id: ", b"other-id: ", 1))
    return True


async def respond_unframed(target, request_id, writer):
    answer = target.signed_answer(request_id)
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if b"content-length" not in line]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    return False


async def respond_unsigned(target, request_id, writer):
    writer.write(target.signed_answer(request_id).replace(b"response-seal", b"other"))
    return True


async def respond_encoded(target, request_id, writer):
    writer.write(target.signed_answer(request_id, extra="content-encoding: gzip\r\n"))
    return True


def respond_with_status(status, *, signed=True):
    """Return the behaviour that answers with a status, a text of three digits."""

    async def respond(target, request_id, writer):
        answer = target.signed_answer(request_id, status=status)
        if not signed:
            answer = answer.replace(b"response-seal", b"other")
        writer.write(answer)
        return True

    return respond


ODD_STATUSES = ("000", "001", "099", "101", "105", "199", "600", "999")
"""Statuses of answers that are neither final nor registered as interim ones."""

BEHAVIOURS = {
    **{f"status {each}": respond_with_status(each) for each in ODD_STATUSES},
    **{
        f"unsigned status {each}": respond_with_status(each, signed=False)
        for each in ODD_STATUSES
    },
    "ok": respond_ok,
    "slow": respond_ok,
    "hang": respond_ok,
    "error": respond_error,
    "deadline": respond_deadline,
    "truncated": respond_truncated,
    "reset": respond_reset,
    "extra": respond_extra,
    "late-extra": respond_late_extra,
    "without-id": respond_without_id,
    "unframed": respond_unframed,
    "unsigned": respond_unsigned,
    "encoded": respond_encoded,
}


def parse_head(head):
    """Return the headers of a message head, with names in lower case."""
    headers = {}
    for line in head.split(b"\r\n")[1:]:
        name, separator, value = line.partition(b": ")
        if separator:
            headers[name.decode().lower()] = value.decode()
    return headers
