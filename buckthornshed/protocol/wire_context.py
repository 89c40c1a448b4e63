"""Codec of the context and answer headers between nodes.

Both are a MessagePack array followed by a message authentication code, in
URL-safe base64. Deadlines go as the time that remains, so that clocks of
different instances need not agree.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error

import msgspec

from ..errors import ContextError
from .authentication import CODE_BYTES, Authenticator
from .messages import Answer, CallContext, NodeSignal
from .outcome import Outcome, Reason

__all__ = ["ContextCodec"]

HEADER_BYTES_MAX = 1_024

CONTEXT_TAG = b"c"
ANSWER_TAG = b"a"
"""Tags keep one kind of header from being taken for the other."""


class _Context(msgspec.Struct, array_like=True, gc=False):
    request_id: bytes
    exchange: int
    priority: int
    remaining_us: int
    allowance: int
    depth: int
    key: str | None
    caller: str
    issued: float
    receiver: str


class _Answer(msgspec.Struct, array_like=True, gc=False):
    exchange: int
    outcome: Outcome
    unspent: int
    reason: Reason | None
    retry_after: float | None
    threshold: int
    queue_delay: float
    in_flight: int
    draining: bool
    incarnation: int


class ContextCodec:
    """Encodes and decodes the headers that nodes add to calls and answers.

    Parameters
    ----------
    authenticator : Authenticator
        Signs what is sent and verifies what comes.
    """

    def __init__(self, *, authenticator: Authenticator) -> None:
        self.authenticator = authenticator
        self._encoder = msgspec.msgpack.Encoder()
        self._contexts = msgspec.msgpack.Decoder(_Context)
        self._answers = msgspec.msgpack.Decoder(_Answer)

    def encode_context(
        self, context: CallContext, *, now: float, receiver: str
    ) -> bytes:
        """Return the header value of `context` for the target `receiver`."""
        remaining_us = max(0, int((context.deadline - now) * 1e6))
        return self._seal(
            CONTEXT_TAG,
            self._encoder.encode(
                _Context(
                    context.request_id,
                    context.exchange,
                    context.priority,
                    remaining_us,
                    context.allowance,
                    context.depth,
                    context.key,
                    context.caller,
                    context.issued,
                    receiver,
                )
            ),
        )

    def decode_context(self, value: bytes, *, now: float, receiver: str) -> CallContext:
        """Return the context of a header value.

        Raises
        ------
        ContextError
            If the value is malformed, not authentic or meant for another node.
        """
        try:
            parts = self._contexts.decode(
                self._open(CONTEXT_TAG, value, "context header")
            )
        except msgspec.DecodeError as error:
            raise _malformed("context header", str(error)) from error
        if parts.receiver != receiver:
            raise ContextError(
                subject="context header",
                found=f"receiver {parts.receiver!r}",
                expected=f"receiver {receiver!r}",
            )
        return CallContext(
            request_id=parts.request_id,
            exchange=parts.exchange,
            priority=parts.priority,
            deadline=now + parts.remaining_us / 1e6,
            allowance=parts.allowance,
            depth=parts.depth,
            key=parts.key,
            caller=parts.caller,
            issued=parts.issued,
        )

    def encode_answer(self, answer: Answer) -> bytes:
        """Return the header value that describes `answer`."""
        signal = answer.signal
        return self._seal(
            ANSWER_TAG,
            self._encoder.encode(
                _Answer(
                    answer.exchange,
                    answer.outcome,
                    answer.unspent,
                    answer.reason,
                    answer.retry_after,
                    signal.threshold,
                    signal.queue_delay,
                    signal.in_flight,
                    signal.draining,
                    signal.incarnation,
                )
            ),
        )

    def decode_answer(self, value: bytes, *, status: int) -> Answer:
        """Return the answer of a header value, without headers and body.

        Raises
        ------
        ContextError
            If the value is malformed or not authentic.
        """
        try:
            parts = self._answers.decode(self._open(ANSWER_TAG, value, "answer header"))
        except msgspec.DecodeError as error:
            raise _malformed("answer header", str(error)) from error
        return Answer(
            exchange=parts.exchange,
            outcome=parts.outcome,
            status=status,
            unspent=parts.unspent,
            reason=parts.reason,
            retry_after=parts.retry_after,
            signal=NodeSignal(
                threshold=parts.threshold,
                queue_delay=parts.queue_delay,
                in_flight=parts.in_flight,
                draining=parts.draining,
                incarnation=parts.incarnation,
            ),
        )

    def _seal(self, tag: bytes, payload: bytes) -> bytes:
        return urlsafe_b64encode(payload + self.authenticator.sign(tag + payload))

    def _open(self, tag: bytes, value: bytes, subject: str) -> bytes:
        if len(value) > HEADER_BYTES_MAX:
            raise _malformed(subject, f"{len(value)} bytes")
        try:
            sealed = urlsafe_b64decode(value)
        except (Base64Error, ValueError) as error:
            raise _malformed(subject, str(error)) from error
        payload, mac = sealed[:-CODE_BYTES], sealed[-CODE_BYTES:]
        if not self.authenticator.verify(tag + payload, mac):
            raise ContextError(
                subject=subject,
                found="an unknown authentication code",
                expected="a code of a key in the settings",
            )
        return payload


def _malformed(subject: str, found: str) -> ContextError:
    return ContextError(
        subject=subject,
        found=found,
        expected=f"at most {HEADER_BYTES_MAX} bytes, valid",
    )
