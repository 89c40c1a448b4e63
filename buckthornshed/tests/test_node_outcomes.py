"""What a node may say of requests that it turns away."""

import random

import pytest

from ..coordination.keys import mint_key
from ..coordination.node import NodeCore
from ..coordination.view import View
from ..protocol.http import KEY_HEADER, Request
from ..protocol.outcome import Outcome, Reason
from .small_set import small_set

WALL = 1.7e9


def make_core(*, name="booking-1", configured=True):
    core = NodeCore(
        name=name,
        domain="east",
        rng=random.Random(1),
        now=0.0,
        incarnation=int(WALL * 1e9),
        drain_s=10.0,
    )
    if configured:
        core.configure(0.0, WALL, View(name=name, generation=1, objects=small_set()))
    return core


def request(path=b"/bookings", *, keyed=True):
    key = mint_key(wall=WALL, rng=random.Random(2)).encode()
    return Request(b"POST", path, ((KEY_HEADER, key),) if keyed else (), b"")


def ask(core, now, asked):
    (reply,) = core.client_request(now, WALL + now, 1, asked)
    return reply.answer.reason, reply.answer.outcome


@pytest.mark.parametrize(
    ("configured", "now", "path", "reason"),
    [
        (False, 0.0, b"/bookings", Reason.NO_CONFIGURATION),
        (True, 5.0, b"/bookings", Reason.STALE_VIEW),
        (True, 0.0, b"/elsewhere", Reason.NO_ROUTE),
    ],
)
def test_a_key_that_was_brought_may_have_run_elsewhere(configured, now, path, reason):
    core = make_core(configured=configured)
    assert ask(core, now, request(path)) == (reason, Outcome.UNKNOWN)
    assert ask(core, now, request(path, keyed=False)) == (reason, Outcome.NOT_RUN)
