"""Messages between relays: whole, in order, and broken bytes have a typed error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.errors import PeerError
from buckthornshed.protocol.relay_messages import (
    AnswerMessage,
    CancelMessage,
    FrameReader,
    FrameWriter,
    News,
    Ping,
    RefusalMessage,
    RefusalReason,
    Status,
)

from .makers import make_catalog, make_message, make_target

MESSAGES = [
    make_message(1, body=b"x" * 2_000),
    AnswerMessage(1, 200, b"HTTP/1.1 200 OK\r\n", b"whole", 0.5, 0.1),
    RefusalMessage(2, RefusalReason.OVERLOAD, 0.3, 1.5),
    CancelMessage(3),
    Ping(),
    Status("stalls", "t-1", 0.5, 100.0, {"a": 1.0}, {"a": 2.0}, {"a": {"b": 4.0}}),
    News(make_catalog(), [make_target()], [("t-2", 1_000, 5)]),
]


@given(
    chosen=st.lists(st.sampled_from(MESSAGES), max_size=12),
    size=st.integers(1, 700),
    turns=st.integers(1, 4),
)
def test_messages_arrive_whole_and_in_order_however_bytes_are_cut(chosen, size, turns):
    writer, reader = FrameWriter(), FrameReader()
    data = b""
    for turn in range(turns):
        for message in chosen[turn::turns]:
            writer.add(message)
        data += writer.take()
    found = []
    for begin in range(0, len(data), size):
        found += reader.feed(data[begin : begin + size])
    sent = [message for turn in range(turns) for message in chosen[turn::turns]]
    assert found == sent


def test_heads_that_repeat_take_few_bytes():
    writer = FrameWriter()
    sizes = []
    for number in range(20):
        message = make_message(number, request_id=b"%016x" % (number * 7_919))
        message.head = b"GET /avail/%d HTTP/1.1\r\nhost: stalls.example\r\n" % number
        writer.add(message)
        sizes.append(len(writer.take()))
    assert max(sizes[5:]) <= sizes[0] // 2


@pytest.mark.parametrize(
    "data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64], ids=["http", "noise"]
)
def test_bytes_that_are_no_messages_have_a_typed_error(data):
    with pytest.raises(PeerError):
        FrameReader().feed(data)


def test_an_unreadable_message_has_a_typed_error():
    writer = FrameWriter()
    writer.frames += [(3).to_bytes(4, "big"), b"\xc1\xc1\xc1"]
    with pytest.raises(PeerError):
        FrameReader().feed(writer.take())


def test_a_frame_over_the_limit_has_a_typed_error():
    writer = FrameWriter()
    writer.frames += [(2**31).to_bytes(4, "big")]
    with pytest.raises(PeerError):
        FrameReader().feed(writer.take())
