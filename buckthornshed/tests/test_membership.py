import random

import pytest

from ..coordination.knowledge import membership as module
from ..coordination.knowledge.membership import TRANSITIONS, Evidence, Membership
from ..protocol.peer_messages import MAX_NODE_STATES, NodeState, PeerState

LIVE, SUSPECT, LEAVING, GONE = PeerState


def view(name="me"):
    return Membership(name=name, incarnation=5, rng=random.Random(1))


def test_a_failed_node_is_suspect_tried_again_later_and_then_gone():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.FAILED, 3)
    assert nodes.state("a") is SUSPECT
    assert not nodes.reachable(4.9, "a")
    assert nodes.reachable(15.1, "a")
    nodes.observe(15.1, "a", Evidence.FAILED)
    assert not nodes.reachable(15.2, "a")
    nodes.tick(60.0)
    assert nodes.state("a") is GONE
    assert nodes.observe(70.0, "a", Evidence.HEARD, 3)
    assert nodes.state("a") is LIVE


def test_an_incarnation_that_leaves_stays_so_and_its_successor_is_live():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.DRAINING, 3)
    nodes.observe(1.0, "a", Evidence.HEARD, 3)
    nodes.listed(1.0, [NodeState("a", 3, LIVE)])
    assert nodes.state("a") is LEAVING
    nodes.observe(2.0, "a", Evidence.HEARD, 4)
    assert nodes.state("a") is LIVE
    nodes.observe(3.0, "a", Evidence.DRAINING, 3)
    assert nodes.state("a") is LIVE


def test_without_incarnations_an_old_notice_removes_the_successor():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.HEARD)
    nodes.observe(3.0, "a", Evidence.DRAINING)
    assert nodes.state("a") is LEAVING


def test_the_list_corrects_only_what_it_can_know():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.FAILED, 3)
    nodes.listed(1.0, [NodeState("a", 3, LIVE)])
    assert nodes.state("a") is SUSPECT
    nodes.tick(61.0)
    nodes.listed(62.0, [NodeState("a", 3, LIVE), NodeState("b", 1, LEAVING)])
    assert nodes.state("a") is SUSPECT
    assert nodes.state("b") is LEAVING
    assert "c" not in nodes.members


def test_hearsay_spreads_leaving_but_no_suspicion():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.HEARD, 3)
    nodes.heard_of(1.0, [NodeState("a", 3, SUSPECT), NodeState("x", 1, LEAVING)])
    assert nodes.state("a") is LIVE
    assert "x" not in nodes.members
    assert nodes.heard_of(1.0, [NodeState("a", 3, LEAVING)]) == ["a"]


def test_a_node_refutes_a_wrong_picture_of_itself():
    nodes = view()
    assert nodes.news(0.0) == ()
    nodes.heard_of(0.0, [NodeState("me", 5, SUSPECT)])
    assert nodes.news(0.0) == (NodeState("me", 5, LIVE),)
    nodes.leaving = True
    assert nodes.news(0.0) == (NodeState("me", 5, LEAVING),)


def test_news_is_bounded_in_size_and_time(monkeypatch):
    monkeypatch.setattr(module, "MAX_NODES", 100)
    nodes = view()
    for index in range(200):
        nodes.observe(0.0, f"n{index}", Evidence.FAILED, 1)
    assert len(nodes.members) == 100
    told = sum(len(nodes.news(1.0)) for _ in range(100))
    assert len(nodes.news(1.0)) <= MAX_NODE_STATES
    assert told <= 100 * module.NEWS_TIMES
    assert nodes.news(module.NEWS_S + 1) == ()


def test_a_woken_node_forgets_its_suspicions():
    nodes = view()
    nodes.observe(0.0, "a", Evidence.FAILED, 1)
    nodes.woken(100.0)
    nodes.tick(100.0)
    assert nodes.state("a") is LIVE


def test_healing_is_spread_over_time():
    nodes = view()
    for index in range(200):
        nodes.observe(0.0, f"n{index}", Evidence.FAILED, 1)
    due = [sum(nodes.reachable(t, f"n{i}") for i in range(200)) for t in (5, 10, 15)]
    assert due[0] == 0
    assert 60 < due[1] < 140
    assert due[2] == 200


@pytest.mark.parametrize("state", PeerState)
def test_no_evidence_but_its_own_voice_makes_a_node_live(state):
    for evidence in Evidence:
        if TRANSITIONS.get((state, evidence)) is LIVE:
            assert evidence is Evidence.HEARD
            assert state is not LEAVING
