"""Codec of the context and answer headers between nodes.

A header value is a MessagePack array followed by a message authentication code, encoded
as URL-safe base64. A deadline is sent as the remaining time, so that the clocks of
instances need not be synchronized.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error

import msgspec

from ..errors import ContextError
from .authentication import MAC_BYTES, Authenticator
from .decoding import DECODE_ERRORS
from .messages import Answer, CallContext, NodeSignal
from .outcome import Outcome, Reason

__all__ = ["ContextCodec"]

MAX_HEADER_BYTES = 1_024

CONTEXT_TAG = b"c"
ANSWER_TAG = b"a"
"""Authenticated tags that prevent the use of one kind of header as the other."""


class _ContextFields(msgspec.Struct, array_like=True, gc=False):
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


class _AnswerFields(msgspec.Struct, array_like=True, gc=False):
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
    """Encode and decode the headers that nodes add to calls and answers.

    Parameters
    ----------
    authenticator : Authenticator
        Signs outgoing headers and verifies incoming ones.
    """

    def __init__(self, *, authenticator: Authenticator) -> None:
        self.authenticator = authenticator
        self._encoder = msgspec.msgpack.Encoder()
        self._context_decoder = msgspec.msgpack.Decoder(_ContextFields)
        self._answer_decoder = msgspec.msgpack.Decoder(_AnswerFields)

    def encode_context(
        self, context: CallContext, *, now: float, receiver: str
    ) -> bytes:
        """Return the header value of `context` for a call to the target `receiver`."""
        remaining_us = max(0, int((context.deadline - now) * 1e6))
        return self._encode_signed(
            CONTEXT_TAG,
            self._encoder.encode(
                _ContextFields(
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
        """Return the context in a header value.

        Raises
        ------
        ContextError
            If the value is malformed, not authentic or addressed to another target.
        """
        try:
            fields = self._context_decoder.decode(
                self._decode_signed(CONTEXT_TAG, value, "context header")
            )
        except DECODE_ERRORS as error:
            raise _malformed_error("context header", str(error)) from error
        if fields.receiver != receiver:
            raise ContextError(
                subject="context header",
                found=f"receiver {fields.receiver!r}",
                expected=f"receiver {receiver!r}",
            )
        return CallContext(
            request_id=fields.request_id,
            exchange=fields.exchange,
            priority=fields.priority,
            deadline=now + fields.remaining_us / 1e6,
            allowance=fields.allowance,
            depth=fields.depth,
            key=fields.key,
            caller=fields.caller,
            issued=fields.issued,
        )

    def encode_answer(self, answer: Answer) -> bytes:
        """Return the header value of an answer."""
        signal = answer.signal
        return self._encode_signed(
            ANSWER_TAG,
            self._encoder.encode(
                _AnswerFields(
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
        """Return the answer in a header value, without HTTP headers and body.

        Raises
        ------
        ContextError
            If the value is malformed or not authentic.
        """
        try:
            fields = self._answer_decoder.decode(
                self._decode_signed(ANSWER_TAG, value, "answer header")
            )
        except DECODE_ERRORS as error:
            raise _malformed_error("answer header", str(error)) from error
        return Answer(
            exchange=fields.exchange,
            outcome=fields.outcome,
            status=status,
            unspent=fields.unspent,
            reason=fields.reason,
            retry_after=fields.retry_after,
            signal=NodeSignal(
                threshold=fields.threshold,
                queue_delay=fields.queue_delay,
                in_flight=fields.in_flight,
                draining=fields.draining,
                incarnation=fields.incarnation,
            ),
        )

    def _encode_signed(self, tag: bytes, payload: bytes) -> bytes:
        return urlsafe_b64encode(payload + self.authenticator.sign(tag + payload))

    def _decode_signed(self, tag: bytes, value: bytes, subject: str) -> bytes:
        if len(value) > MAX_HEADER_BYTES:
            raise _malformed_error(subject, f"{len(value)} bytes")
        try:
            signed = urlsafe_b64decode(value)
        except (Base64Error, ValueError) as error:
            raise _malformed_error(subject, str(error)) from error
        payload, mac = signed[:-MAC_BYTES], signed[-MAC_BYTES:]
        if not self.authenticator.verify(tag + payload, mac):
            raise ContextError(
                subject=subject,
                found="an invalid authentication code",
                expected="a code of a key from the settings",
            )
        return payload


def _malformed_error(subject: str, found: str) -> ContextError:
    return ContextError(
        subject=subject,
        found=found,
        expected=f"a valid value of at most {MAX_HEADER_BYTES} bytes",
    )
