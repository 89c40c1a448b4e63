"""Rendering of answers to external clients, local targets and other nodes."""

from ..protocol.http import (
    ANSWER_HEADER,
    OUTCOME_HEADER,
    add_problem_details,
    render_response,
)
from ..protocol.messages import Answer
from ..protocol.wire_context import ContextCodec

__all__ = ["client_response", "peer_response"]


def client_response(
    answer: Answer, *, detail: str = "", head_only: bool = False, close: bool = False
) -> bytes:
    """Return the encoded response to a caller that is not a node."""
    outcome = (OUTCOME_HEADER, answer.outcome.value.encode())
    return render_response(
        add_problem_details(answer, detail),
        (outcome,),
        head_only=head_only,
        close=close,
    )


def peer_response(
    answer: Answer, codec: ContextCodec, *, head_only: bool = False, close: bool = False
) -> bytes:
    """Return the encoded response to another node, with the answer header."""
    header = (ANSWER_HEADER, codec.encode_answer(answer))
    return render_response(answer, (header,), head_only=head_only, close=close)
