"""Framing of the messages between relays.

Each message is a MessagePack array with a length prefix of four bytes. Many exchanges
share one connection. Each direction of a connection is compressed as one stream,
because the heads of calls resemble one another and traffic between failure domains is
expensive. docs/design/platform.md has the figures.
"""

import zlib
from typing import Any

import msgspec

from ..errors import PeerError
from ..state.generation import Generation
from .decoding import DECODE_ERRORS
from .relay_messages import RelayMessage

__all__ = ["FrameReader", "FrameWriter"]

LENGTH_PREFIX_BYTES = 4
COMPRESSION_LEVEL = 1
WINDOW_BITS = 12
MEMORY_LEVEL = 5
"""With the window of 4 KiB, the compressor takes 32 KiB of memory per direction.

The small window suffices, because the heads of calls repeat within a few calls.
"""
MAX_JOINED_BYTES = 65_536
"""Bytes of messages that are compressed as one, which is faster for small ones."""
MAX_FRAME_BYTES = 32 * 1024 * 1024
DECOMPRESSED_PART_BYTES = 1024 * 1024
"""Bytes that are decompressed before the length of the frame is checked again."""


def _encode_object(value: Any) -> int:
    """Return the integer that stands for a generation in its field of a message."""
    if isinstance(value, Generation):
        return value.abbreviation
    raise NotImplementedError(f"a message contains a {type(value).__name__}")


def _decode_object(expected: type, value: Any) -> Generation:
    """Return a generation from the integer of its field."""
    if expected is Generation and isinstance(value, int) and value >= 0:
        return Generation(value)
    raise ValueError(f"a message contains {value!r} in place of a generation")


MESSAGE_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_object)
MESSAGE_DECODER = msgspec.msgpack.Decoder(RelayMessage, dec_hook=_decode_object)


class FrameWriter:
    """Encodes and compresses the messages of one direction of a connection.

    Attributes
    ----------
    size : int
        Bytes of the messages that wait for a `flush`, before compression.
    """

    def __init__(self) -> None:
        self.compressor = zlib.compressobj(
            level=COMPRESSION_LEVEL, wbits=-WINDOW_BITS, memLevel=MEMORY_LEVEL
        )
        self.frames: list[bytes] = []
        self.size = 0

    def add(self, message: RelayMessage) -> None:
        """Add a message to the next `flush`."""
        body = MESSAGE_ENCODER.encode(message)
        self.frames.append(len(body).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        self.frames.append(body)
        self.size += LENGTH_PREFIX_BYTES + len(body)

    def flush(self) -> bytes:
        """Return the compressed bytes of all messages added since the last call."""
        compressor = self.compressor
        if self.size <= MAX_JOINED_BYTES:
            parts = [compressor.compress(b"".join(self.frames))]
        else:
            # A copy of all of them would take as much memory again.
            parts = [compressor.compress(frame) for frame in self.frames]
        self.frames.clear()
        self.size = 0
        parts.append(compressor.flush(zlib.Z_SYNC_FLUSH))
        return b"".join(parts)


class FrameReader:
    """Decompresses and decodes the messages of one direction of a connection."""

    def __init__(self) -> None:
        self.decompressor = zlib.decompressobj(wbits=-WINDOW_BITS)
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[RelayMessage]:
        """Return the messages that `data` completes.

        Raises
        ------
        PeerError
            If the data cannot be decompressed, or a frame is too long or cannot be
            decoded.
        """
        messages: list[RelayMessage] = []
        while True:
            part = self._decompress(data)
            self.buffer += part
            messages += self._take_messages()
            data = self.decompressor.unconsumed_tail
            if not data and len(part) < DECOMPRESSED_PART_BYTES:
                return messages

    def _decompress(self, data: bytes) -> bytes:
        try:
            return self.decompressor.decompress(data, DECOMPRESSED_PART_BYTES)
        except zlib.error as error:
            raise PeerError(
                subject="frame", found=str(error), expected="compressed messages"
            ) from error

    def _take_messages(self) -> list[RelayMessage]:
        """Remove and return the messages that are complete."""
        messages: list[RelayMessage] = []
        begin = 0
        while len(self.buffer) - begin >= LENGTH_PREFIX_BYTES:
            size = int.from_bytes(
                self.buffer[begin : begin + LENGTH_PREFIX_BYTES], "big"
            )
            if size > MAX_FRAME_BYTES:
                raise PeerError(
                    subject="frame",
                    found=f"{size} bytes",
                    expected=f"at most {MAX_FRAME_BYTES}",
                )
            end = begin + LENGTH_PREFIX_BYTES + size
            if len(self.buffer) < end:
                break
            with memoryview(self.buffer) as view:
                messages.append(_decode(view[begin + LENGTH_PREFIX_BYTES : end]))
            begin = end
        if begin:
            del self.buffer[:begin]
        return messages


def _decode(body: memoryview) -> RelayMessage:
    try:
        return MESSAGE_DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise PeerError(
            subject="frame", found=str(error), expected="a relay message"
        ) from error
