"""Tests of the detection of pauses."""

from buckthornshed.coordination.pause import Pause, PauseDetector


def test_gap_is_a_pause_until_an_answer_to_a_later_question():
    detector = PauseDetector(now=0.0, pause_s=1.0)
    assert detector.observe(0.9) is None and detector.fresh
    assert detector.observe(5.0) == Pause(0.9, 5.0)
    assert not detector.fresh
    detector.refreshed(asked=0.9)
    assert not detector.fresh
    detector.refreshed(asked=5.0)
    assert detector.fresh and detector.pauses == 1


def test_clock_that_goes_back_is_no_pause():
    detector = PauseDetector(now=5.0, pause_s=1.0)
    assert detector.observe(4.0) is None
    assert detector.observe(5.9) is None
