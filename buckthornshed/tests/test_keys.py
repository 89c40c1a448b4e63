"""Tests of the format of keys and of the fingerprint."""

import random
import uuid

import pytest

from buckthornshed.coordination.outcomes.keys import (
    derive_key,
    fingerprint,
    is_marked,
    mint_key,
    parse_key,
    random_key,
)
from buckthornshed.errors import ContextError
from buckthornshed.protocol.messages import Call, CallContext

CONTEXT = CallContext(b"r" * 16, 1, 0, 1.0, 0, 0, None, "")
CALL = Call(CONTEXT, "reservas", b"POST", b"/book", (), b"hut 4")
KEY = mint_key(wall=1_700_000_000.25, rng=random.Random(1))


def test_key_is_a_uuid_of_version_7_with_its_mint_time():
    assert uuid.UUID(KEY).version == 7
    assert uuid.UUID(KEY).variant == uuid.RFC_4122
    assert parse_key(KEY.upper()) == parse_key(KEY)
    assert parse_key(KEY).minted == 1_700_000_000.25
    assert parse_key(KEY).raw == uuid.UUID(KEY).bytes


@pytest.mark.parametrize(
    "text",
    [
        "",
        KEY.replace("-", ""),
        KEY[:-1] + "g",
        KEY[:14] + "4" + KEY[15:],
        KEY[:19] + "c" + KEY[20:],
        " " + KEY[1:],
    ],
)
def test_other_formats_are_refused(text):
    with pytest.raises(ContextError):
        parse_key(text)


def test_derived_keys_differ_by_call_and_keep_the_mint_time():
    derived = {
        derive_key(KEY, service, ordinal)
        for service in ("tarifas", "agenda")
        for ordinal in (0, 1)
    }
    assert len(derived) == 4
    assert {parse_key(key).minted for key in derived} == {parse_key(KEY).minted}
    assert derive_key(KEY, "agenda", 1) in derived


def test_nodes_mark_their_keys_and_clients_do_not():
    assert is_marked(parse_key(KEY).raw)
    assert is_marked(parse_key(derive_key(KEY, "agenda", 1)).raw)
    brought = random_key(wall=1000.0, rng=random.Random(1))
    assert uuid.UUID(brought).version == 7
    assert not is_marked(parse_key(brought).raw)


@pytest.mark.parametrize(
    "other",
    [
        CALL._replace(method=b"PUT"),
        CALL._replace(path=b"/boo", body=b"khut 4"),
        CALL._replace(headers=((b"authorization", b"Bearer 2"),)),
    ],
)
def test_fingerprint_tells_calls_apart(other):
    assert fingerprint(other) != fingerprint(CALL)
    assert fingerprint(CALL._replace(headers=((b"date", b"x"),))) == fingerprint(CALL)
