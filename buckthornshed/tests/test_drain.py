"""Tests of the way out of an instance."""

from buckthornshed.coordination.drain import DrainPhase, DrainState


def make_drain():
    return DrainState(deadline_s=30.0, notice_s=1.0, linger_s=5.0)


def test_planned_stop_tells_refuses_finishes_lingers_and_exits():
    drain = make_drain()
    drain.called_by(0.0, "edge-1")
    drain.began()
    assert drain.accepts and not drain.draining
    assert drain.stop(10.0) == ["edge-1"]
    assert drain.accepts and drain.draining
    assert drain.next_poll() == 11.0
    assert drain.poll(11.0) is DrainPhase.REFUSING
    assert not drain.accepts
    drain.ended(20.0)
    assert drain.phase is DrainPhase.DRAINED


def test_idle_instance_listens_until_slow_callers_have_heard():
    drain = make_drain()
    drain.stop(10.0)
    assert drain.poll(11.0) is DrainPhase.LINGERING
    assert not drain.accepts and drain.next_poll() == 15.0
    assert drain.poll(14.9) is DrainPhase.LINGERING
    assert drain.poll(15.0) is DrainPhase.DRAINED


def test_work_in_flight_keeps_the_instance_until_the_deadline():
    drain = make_drain()
    drain.began()
    drain.stop(10.0)
    assert drain.poll(39.9) is DrainPhase.REFUSING
    assert drain.next_poll() == 40.0
    assert drain.poll(40.0) is DrainPhase.DRAINED and drain.exits


def test_second_stop_and_old_callers_change_nothing():
    drain = make_drain()
    drain.called_by(0.0, "edge-1")
    drain.called_by(50.0, "edge-2")
    assert drain.stop(70.0) == ["edge-2"]
    drain.poll(71.0)
    drain.stop(80.0)
    assert drain.stopped_at == 70.0 and not drain.accepts
