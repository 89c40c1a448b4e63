"""Codec of messages between nodes.

Messages are protobuf envelopes with a size limit, a version and an authentication code.
"""

from collections.abc import Callable, Sequence
from typing import Any

from google.protobuf.message import DecodeError

from ..errors import PeerError
from .authentication import Authenticator
from .peer_messages import (
    MAX_DELTAS,
    MAX_MESSAGE_BYTES,
    MAX_NAME_CHARS,
    MAX_NODE_STATES,
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
    PeerMessage,
    PeerState,
    Pull,
    Version,
    WholeSet,
)
from .wire import peer_pb2 as wire

__all__ = [
    "MAJOR_VERSION",
    "MAX_SIGNED_BYTES",
    "MINOR_VERSION",
    "PeerCodec",
    "encode_body",
]

MAJOR_VERSION = 1
"""Major version of the messages; messages of other major versions are rejected."""

MINOR_VERSION = 0
"""Minor version; a newer one may add fields, which this version ignores."""

MAX_SIGNED_BYTES = MAX_MESSAGE_BYTES + 100
"""Maximum size of a signed message."""

ENCODERS: dict[type, tuple[str, Callable[[Any], Any]]] = {}
DECODERS: dict[str, Callable[[Any], PeerMessage]] = {}


def register_encoder(message_type: type, field: str) -> Callable[[Any], Any]:
    """Register the encoder of a message type and its field in the envelope."""

    def register(function: Callable[[Any], Any]) -> Callable[[Any], Any]:
        ENCODERS[message_type] = (field, function)
        return function

    return register


def register_decoder(field: str) -> Callable[[Any], Any]:
    """Register the decoder of an envelope field."""

    def register(function: Callable[[Any], PeerMessage]) -> Any:
        DECODERS[field] = function
        return function

    return register


class PeerCodec:
    """Encode, sign, verify and decode envelopes.

    Parameters
    ----------
    authenticator : Authenticator
        Signs and verifies with the keys that all nodes share.
    """

    def __init__(self, *, authenticator: Authenticator) -> None:
        self.authenticator = authenticator

    def encode(self, envelope: Envelope) -> bytes:
        """Return an envelope as signed bytes; see ``encode_signed`` for errors."""
        return self.encode_signed(envelope).SerializeToString()

    def decode(self, signed: bytes) -> Envelope:
        """Return the envelope in signed bytes; see ``decode_signed`` for errors."""
        if len(signed) > MAX_SIGNED_BYTES:
            raise size_error(len(signed))
        try:
            return self.decode_signed(wire.Signed.FromString(signed))
        except DecodeError as error:
            raise malformed_error("undecodable bytes", "protobuf") from error

    def encode_signed(self, envelope: Envelope) -> wire.Signed:
        """Return an envelope as a signed protobuf message.

        Raises
        ------
        PeerError
            If the message is larger than ``MAX_MESSAGE_BYTES``, or for the reasons of
            ``encode_body``.
        """
        field, body = encode_body(envelope.message)
        content = wire.Envelope(
            major=MAJOR_VERSION,
            minor=MINOR_VERSION,
            sender=envelope.sender,
            address=envelope.address,
            incarnation=envelope.incarnation,
            recipient=envelope.recipient,
            sequence=envelope.sequence,
            **{field: body},
        ).SerializeToString()
        if len(content) > MAX_MESSAGE_BYTES:
            raise size_error(len(content))
        return wire.Signed(envelope=content, code=self.authenticator.sign(content))

    def decode_signed(self, signed: wire.Signed) -> Envelope:
        """Verify a signed protobuf message and return its envelope.

        Raises
        ------
        PeerError
            If the message is too large, malformed, of another major version or not
            signed with a valid key.
        """
        if len(signed.envelope) > MAX_MESSAGE_BYTES:
            raise size_error(len(signed.envelope))
        if not self.authenticator.verify(signed.envelope, signed.code):
            raise malformed_error(
                "a code that matches no valid key", "a signed message"
            )
        try:
            content = wire.Envelope.FromString(signed.envelope)
        except DecodeError as error:
            raise malformed_error("undecodable bytes", "protobuf") from error
        return decode_envelope(content)


def encode_body(message: PeerMessage) -> tuple[str, Any]:
    """Return the envelope field and the protobuf form of a message.

    Raises
    ------
    PeerError
        If an owner message has too many owners or a name that is too long.
    """
    field, encoder = ENCODERS[type(message)]
    return field, encoder(message)


def decode_envelope(content: wire.Envelope) -> Envelope:
    """Check the limits of an authenticated envelope and return its typed form."""
    if content.major != MAJOR_VERSION:
        raise malformed_error(f"major version {content.major}", f"{MAJOR_VERSION}")
    check_names(content.sender, content.address, content.recipient)
    decoder = DECODERS.get(content.WhichOneof("body") or "")
    if decoder is None:
        raise malformed_error(
            "a message of an unknown kind", f"one of {sorted(DECODERS)}"
        )
    return Envelope(
        sender=content.sender,
        address=content.address,
        incarnation=content.incarnation,
        recipient=content.recipient,
        sequence=content.sequence,
        message=decoder(getattr(content, content.WhichOneof("body") or "")),
    )


def check_names(*names: str) -> None:
    """Raise PeerError if a name is too long."""
    if max(map(len, names)) > MAX_NAME_CHARS:
        raise malformed_error(
            "a name that is too long", f"at most {MAX_NAME_CHARS} characters"
        )


def check_owners(owner: str, members: Sequence[str]) -> None:
    """Raise PeerError if there are too many owners or if a name is too long."""
    if len(members) > MAX_OWNERS:
        raise malformed_error(f"{len(members)} owners", f"at most {MAX_OWNERS}")
    check_names(owner, *members)


def size_error(size: int) -> PeerError:
    """Return the error for a message that is too large."""
    return malformed_error(f"{size} bytes", f"at most {MAX_MESSAGE_BYTES}")


def malformed_error(found: str, expected: str) -> PeerError:
    """Return the error for an invalid message."""
    return PeerError(subject="peer message", found=found, expected=expected)


def encode_version(version: Version) -> wire.Version:
    """Return the protobuf form of a version."""
    return wire.Version(generation=version.generation, digest=version.digest)


def decode_version(message: wire.Version) -> Version:
    """Return the typed version; generation 0 gives ``NO_VERSION``."""
    if not message.generation:
        return NO_VERSION
    return Version(message.generation, message.digest)


def encode_delta(delta: Delta) -> wire.Delta:
    """Return the protobuf form of a delta."""
    return wire.Delta(
        base_generation=delta.base_generation,
        generation=delta.generation,
        digest=delta.digest,
        changed=delta.changed,
        removed=delta.removed,
    )


def decode_delta(message: wire.Delta) -> Delta:
    """Return the typed delta."""
    return Delta(
        base_generation=message.base_generation,
        generation=message.generation,
        digest=message.digest,
        changed=dict(message.changed),
        removed=tuple(message.removed),
    )


@register_encoder(Digest, "digest")
def encode_digest(message: Digest) -> wire.Digest:
    """Return the protobuf form of a digest."""
    nodes = [
        wire.NodeState(
            name=node.name, incarnation=node.incarnation, state=int(node.state)
        )
        for node in message.nodes
    ]
    rival = encode_version(message.rival) if message.rival else None
    return wire.Digest(
        version=encode_version(message.version),
        source_age=message.source_age,
        rival=rival,
        reply=message.reply,
        nodes=nodes,
    )


@register_decoder("digest")
def decode_digest(message: wire.Digest) -> Digest:
    """Return the typed digest.

    Nodes with an unknown state or a name that is too long are ignored.
    """
    if len(message.nodes) > MAX_NODE_STATES:
        raise malformed_error(
            f"{len(message.nodes)} nodes", f"at most {MAX_NODE_STATES}"
        )
    nodes = tuple(
        NodeState(node.name, node.incarnation, PeerState(node.state))
        for node in message.nodes
        if node.state <= max(PeerState) and len(node.name) <= MAX_NAME_CHARS
    )
    rival = decode_version(message.rival) if message.HasField("rival") else None
    # NaN fails every comparison, so that it becomes an infinite age, as negative
    # values do.
    age = message.source_age if message.source_age >= 0 else float("inf")
    return Digest(decode_version(message.version), age, rival, message.reply, nodes)


@register_encoder(Changes, "changes")
def encode_changes(message: Changes) -> wire.Changes:
    """Return the protobuf form of a chain of deltas."""
    return wire.Changes(deltas=[encode_delta(delta) for delta in message.deltas])


@register_decoder("changes")
def decode_changes(message: wire.Changes) -> Changes:
    """Return the typed chain of deltas."""
    if len(message.deltas) > MAX_DELTAS:
        raise malformed_error(f"{len(message.deltas)} deltas", f"at most {MAX_DELTAS}")
    return Changes(tuple(decode_delta(delta) for delta in message.deltas))


@register_encoder(Pull, "pull")
def encode_pull(message: Pull) -> wire.Pull:
    """Return the protobuf form of a pull."""
    return wire.Pull(version=encode_version(message.version))


@register_decoder("pull")
def decode_pull(message: wire.Pull) -> Pull:
    """Return the typed pull."""
    return Pull(decode_version(message.version))


@register_encoder(WholeSet, "whole_set")
def encode_whole_set(message: WholeSet) -> wire.WholeSet:
    """Return the protobuf form of a whole set."""
    return wire.WholeSet(version=encode_version(message.version), body=message.body)


@register_decoder("whole_set")
def decode_whole_set(message: wire.WholeSet) -> WholeSet:
    """Return the typed whole set."""
    return WholeSet(decode_version(message.version), message.body)


@register_encoder(Busy, "busy")
def encode_busy(message: Busy) -> wire.Busy:
    """Return the protobuf form of the refusal of a pull."""
    return wire.Busy(retry_after=message.retry_after)


@register_decoder("busy")
def decode_busy(message: wire.Busy) -> Busy:
    """Return the typed refusal; a negative or NaN ``retry_after`` becomes 0."""
    return Busy(message.retry_after if message.retry_after >= 0 else 0.0)


@register_encoder(Leaving, "leaving")
def encode_leaving(message: Leaving) -> wire.Leaving:
    """Return the protobuf form of a draining notice."""
    return wire.Leaving(incarnation=message.incarnation)


@register_decoder("leaving")
def decode_leaving(message: wire.Leaving) -> Leaving:
    """Return the typed draining notice."""
    return Leaving(message.incarnation)


@register_encoder(OwnerQuery, "owner_query")
def encode_owner_query(message: OwnerQuery) -> wire.OwnerQuery:
    """Return the protobuf form of an owner query."""
    check_names(message.asker)
    return wire.OwnerQuery(asker=message.asker, round=message.round)


@register_decoder("owner_query")
def decode_owner_query(message: wire.OwnerQuery) -> OwnerQuery:
    """Return the typed owner query."""
    check_names(message.asker)
    return OwnerQuery(message.asker, message.round)


@register_encoder(OwnerReply, "owner_reply")
def encode_owner_reply(message: OwnerReply) -> wire.OwnerReply:
    """Return the protobuf form of an owner reply."""
    check_owners(message.owner, message.members)
    return wire.OwnerReply(**message._asdict())


@register_decoder("owner_reply")
def decode_owner_reply(message: wire.OwnerReply) -> OwnerReply:
    """Return the typed owner reply."""
    check_owners(message.owner, message.members)
    return OwnerReply(
        round=message.round,
        owner=message.owner,
        incarnation=message.incarnation,
        generation=message.generation,
        digest=message.digest,
        settled=message.settled,
        members=tuple(message.members),
    )
