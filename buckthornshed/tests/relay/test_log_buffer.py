"""The log of a relay: bounded, never blocking, and what is kept longest."""

import logging
import os

import pytest

from buckthornshed.transport.relay.log_buffer import (
    BUFFER_BYTES,
    BURST_BYTES,
    LogBuffer,
    LogBufferHandler,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def logger_to(buffer):
    logger = logging.Logger("test")
    logger.addHandler(LogBufferHandler(buffer=buffer))
    return logger


def test_a_reader_that_stops_reading_does_not_delay_and_memory_is_bounded(pipe):
    _, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = logger_to(buffer)
    now = 0.0
    for _ in range(200):
        now += 1.0
        for _ in range(100):
            logger.warning("x" * 1_000)
        buffer.drain(now)
    assert buffer.held <= BUFFER_BYTES + 1_001
    assert buffer.take_dropped() > 0
    assert buffer.take_dropped() == 0


def test_a_flood_of_successes_leaves_room_for_failures(pipe):
    _, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = logger_to(buffer)
    logger.setLevel(logging.DEBUG)
    for _ in range(2 * BURST_BYTES // 1_001):
        logger.debug("s" * 1_000)
    dropped = buffer.take_dropped()
    assert dropped > 0
    logger.info("refused")
    logger.warning("belief changed")
    assert buffer.take_dropped() == 0


def test_what_was_written_comes_out_whole_and_in_order(pipe):
    reader, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = logger_to(buffer)
    for number in range(100):
        logger.info("line %d", number)
    buffer.drain(0.0)
    lines = os.read(reader, 65_536).decode().splitlines()
    assert lines == [f"line {number}" for number in range(100)]
    assert buffer.held == 0


def test_a_log_that_nobody_can_read_any_more_does_not_end_the_process():
    reader, writer = os.pipe()
    buffer = LogBuffer(descriptor=writer)
    logger = logger_to(buffer)
    os.close(reader)
    logger.info("lost")
    buffer.drain(0.0)
    os.close(writer)
    assert buffer.held == 0
    assert buffer.take_dropped() > 0
