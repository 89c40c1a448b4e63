"""Tests of the log buffer of a relay: bounds, blocking and precedence of levels."""

import logging
import os

import pytest

from buckthornshed.transport.relay.logs.log_buffer import (
    BURST_BYTES,
    MAX_BUFFER_BYTES,
    LogBuffer,
    LogBufferHandler,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_logger(buffer):
    logger = logging.Logger("test")
    logger.addHandler(LogBufferHandler(buffer=buffer))
    return logger


def test_a_full_pipe_neither_blocks_the_logger_nor_grows_the_buffer(pipe):
    _, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = make_logger(buffer)
    now = 0.0
    for _ in range(200):
        now += 1.0
        for _ in range(100):
            logger.warning("x" * 1_000)
        buffer.flush(now)
    assert buffer.buffered_bytes <= MAX_BUFFER_BYTES + 1_001
    assert buffer.take_dropped() > 0
    assert buffer.take_dropped() == 0


def test_excess_debug_lines_do_not_displace_higher_levels(pipe):
    _, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = make_logger(buffer)
    logger.setLevel(logging.DEBUG)
    for _ in range(2 * BURST_BYTES // 1_001):
        logger.debug("s" * 1_000)
    dropped = buffer.take_dropped()
    assert dropped > 0
    logger.info("refused")
    logger.warning("configuration changed")
    assert buffer.take_dropped() == 0


def test_lines_are_written_completely_and_in_order(pipe):
    reader, writer = pipe
    buffer = LogBuffer(descriptor=writer)
    logger = make_logger(buffer)
    for number in range(100):
        logger.info("line %d", number)
    buffer.flush(0.0)
    lines = os.read(reader, 65_536).decode().splitlines()
    assert lines == [f"line {number}" for number in range(100)]
    assert buffer.buffered_bytes == 0


def test_a_closed_pipe_drops_lines_without_raising():
    reader, writer = os.pipe()
    buffer = LogBuffer(descriptor=writer)
    logger = make_logger(buffer)
    os.close(reader)
    logger.info("lost")
    buffer.flush(0.0)
    os.close(writer)
    assert buffer.buffered_bytes == 0
    assert buffer.take_dropped() > 0
