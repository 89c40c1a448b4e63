import pytest

from ..errors import PeerError
from ..protocol.authentication import Authenticator
from ..protocol.peer_codec import MAJOR, PeerCodec
from ..protocol.peer_messages import (
    MAX_MESSAGE_BYTES,
    MAX_NAME_CHARS,
    MAX_OWNERS,
    NO_VERSION,
    Busy,
    Changes,
    Delta,
    Digest,
    Envelope,
    Leaving,
    NodeState,
    OwnerQuery,
    OwnerReply,
    PeerState,
    Pull,
    Version,
    WholeSet,
)
from ..protocol.wire import peer_pb2 as wire

AUTHENTICATOR = Authenticator(keys=(b"k" * 32,))
CODEC = PeerCodec(authenticator=AUTHENTICATOR)
VERSION = Version(3, b"d" * 32)
DELTA = Delta(2, 3, b"d" * 32, {"route/a": b"{}"}, ("route/b",))
REPLY = OwnerReply(
    round=3,
    owner="b@127.0.0.1:2",
    incarnation=7,
    generation=5,
    digest=2**64 - 1,
    settled=True,
    members=("a@127.0.0.1:1", "b@127.0.0.1:2"),
)


def envelope(message, **other):
    plain = Envelope("a", "127.0.0.1:1", 7, "127.0.0.1:2", 1, message)
    return plain._replace(**other)


def signed(**fields):
    content = wire.Envelope(**fields).SerializeToString()
    code = AUTHENTICATOR.sign(content)
    return wire.Signed(envelope=content, code=code).SerializeToString()


@pytest.mark.parametrize(
    "message",
    [
        Digest(
            VERSION, 1.5, Version(3, b"e"), True, (NodeState("n", 5, PeerState(1)),)
        ),
        Digest(NO_VERSION, float("inf")),
        Changes((DELTA,)),
        Pull(NO_VERSION),
        WholeSet(VERSION, b"body"),
        Busy(0.5),
        Leaving(9),
        OwnerQuery("a@127.0.0.1:1", 3),
        REPLY,
        REPLY._replace(digest=0, settled=False, members=()),
    ],
)
def test_every_message_survives_the_wire(message):
    assert CODEC.decode(CODEC.encode(envelope(message))) == envelope(message)


def test_a_message_from_outside_is_refused():
    outside = PeerCodec(authenticator=Authenticator(keys=(b"x" * 32,)))
    with pytest.raises(PeerError, match="no valid key"):
        CODEC.decode(outside.encode(envelope(Pull(VERSION))))
    whole = bytearray(CODEC.encode(envelope(Pull(VERSION))))
    for position in range(len(whole)):
        changed = bytes(
            whole[:position] + bytes([whole[position] ^ 1]) + whole[position + 1 :]
        )
        with pytest.raises(PeerError):
            CODEC.decode(changed)


def test_messages_are_bounded():
    with pytest.raises(PeerError, match="at most"):
        CODEC.encode(envelope(WholeSet(VERSION, b"x" * MAX_MESSAGE_BYTES)))
    with pytest.raises(PeerError, match="at most"):
        CODEC.decode(b"x" * (2 * MAX_MESSAGE_BYTES))
    with pytest.raises(PeerError, match="at most"):
        CODEC.decode(
            CODEC.encode(envelope(Busy(1.0), sender="n" * (MAX_NAME_CHARS + 1)))
        )


LONG = "n" * (MAX_NAME_CHARS + 1)


@pytest.mark.parametrize(
    ("field", "message"),
    [
        ("owner_query", OwnerQuery(LONG, 3)),
        ("owner_reply", REPLY._replace(owner=LONG)),
        ("owner_reply", REPLY._replace(members=("a", LONG))),
        ("owner_reply", REPLY._replace(members=("a",) * (MAX_OWNERS + 1))),
    ],
)
def test_messages_of_owners_are_bounded_on_both_sides(field, message):
    with pytest.raises(PeerError, match="at most"):
        CODEC.encode(envelope(message))
    kind = {"owner_query": wire.OwnerQuery, "owner_reply": wire.OwnerReply}[field]
    body = kind(**message._asdict())
    with pytest.raises(PeerError, match="at most"):
        CODEC.decode(signed(major=MAJOR, **{field: body}))


def test_owners_of_the_largest_service_fit_in_a_message():
    longest = "n" * 64 + "@255.255.255.255:65535"
    reply = REPLY._replace(members=(longest,) * MAX_OWNERS)
    assert CODEC.decode(CODEC.encode(envelope(reply))).message == reply


def test_versions_of_the_messages():
    busy = wire.Busy(retry_after=1.0)
    # Field 1000 of a later minor version: ignored.
    later = wire.Envelope(
        major=MAJOR, minor=9, sender="a", busy=busy
    ).SerializeToString()
    later += b"\xc2\x3e\x01x"
    code = AUTHENTICATOR.sign(later)
    outer = wire.Signed(envelope=later, code=code).SerializeToString()
    assert CODEC.decode(outer).message == Busy(1.0)
    with pytest.raises(PeerError, match="major version"):
        CODEC.decode(signed(major=MAJOR + 1, busy=busy))
    with pytest.raises(PeerError, match="unknown kind"):
        CODEC.decode(signed(major=MAJOR))


def test_a_state_of_a_later_version_is_left_out():
    nodes = [wire.NodeState(name="a", state=9), wire.NodeState(name="b", state=1)]
    message = CODEC.decode(signed(major=MAJOR, digest=wire.Digest(nodes=nodes))).message
    assert isinstance(message, Digest)
    assert [node.name for node in message.nodes] == ["b"]
