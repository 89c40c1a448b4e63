from itertools import pairwise

import pytest

from ..errors import SettingsError
from ..protocol.authentication import CODE_BYTES, Authenticator

OLD = b"o" * 32
NEW = b"n" * 32


def test_accepts_what_the_same_key_signed_and_nothing_else():
    authenticator = Authenticator(keys=(OLD,))
    mac = authenticator.sign(b"payload")
    assert len(mac) == CODE_BYTES
    assert authenticator.verify(b"payload", mac)
    assert not authenticator.verify(b"payloae", mac)
    assert not authenticator.verify(b"payload", mac[:-1])
    assert not authenticator.verify(b"payload", b"")
    assert not Authenticator(keys=(NEW,)).verify(b"payload", mac)


def test_rotation_keeps_both_sides_talking():
    stages = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
    for earlier, later in pairwise(stages):
        one, other = Authenticator(keys=earlier), Authenticator(keys=later)
        assert other.verify(b"m", one.sign(b"m"))
        assert one.verify(b"m", other.sign(b"m"))


@pytest.mark.parametrize("keys", [(), (b"short",), (OLD, NEW, OLD), (b"x" * 65,)])
def test_refuses_unusable_keys(keys):
    with pytest.raises(SettingsError):
        Authenticator(keys=keys)
