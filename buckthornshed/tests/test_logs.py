import json
import logging

import pytest

from buckthornshed.transport.logs import configure_logging, log_event

pytestmark = pytest.mark.usefixtures("restored_loggers")


def logged(capsys):
    return capsys.readouterr().err.splitlines()


def test_event_is_one_line_of_pairs(capsys):
    configure_logging()
    log_event("target_fault", exchange=7, detail='reset\nby "peer"')
    (line,) = logged(capsys)
    assert line.endswith(
        r'level=INFO event=target_fault exchange=7 detail="reset\nby \"peer\""'
    )


def test_event_as_json(capsys):
    configure_logging(form="json")
    log_event("target_fault", exchange=7)
    (line,) = logged(capsys)
    record = json.loads(line)
    assert (record["level"], record["event"]) == ("INFO", "target_fault")
    assert record["exchange"] == 7


def test_level_is_heeded(capsys):
    configure_logging(level="ERROR")
    log_event("target_fault", exchange=7)
    assert logged(capsys) == []


def test_warning_of_a_library_is_one_line_of_pairs(capsys):
    configure_logging()
    logging.getLogger("some.library").info("connected")
    logging.getLogger("some.library").warning("collector is\naway: %s", "refused")
    (line,) = logged(capsys)
    assert "level=WARNING" in line
    assert "logger=some.library" in line
    assert r'message="collector is\naway: refused"' in line
    assert "event=library_message" in line
