"""Memory that answers take until slow clients have read them.

A client may read as slowly as it likes, and the relay holds what it has not read. The
size of an answer is not known before it arrives, so it is expected to be as large as
the largest recent one of its route.
"""

from collections.abc import Callable

__all__ = ["AnswerMemory"]

LARGE_ANSWER_BYTES = 65_536
"""Size below which answers are not counted one by one."""
ADMITTED_FRACTION = 0.25
"""Part of the memory that held and expected answers may take for a new request."""
HELD_FRACTION = 0.4
"""Part of the memory that held answers may take at all."""
SIZE_DECAY = 0.9
"""Factor by which the expected size of a route falls with each smaller answer."""


class AnswerMemory:
    """Decides whether an answer would take too much memory, before and after its run.

    Parameters
    ----------
    memory : int
        Memory of the process, in bytes.
    held_bytes : callable
        Returns the bytes of answers that clients have not read yet.

    Attributes
    ----------
    expected : dict
        Expected size of an answer by route, in bytes, if it is large.
    reserved : dict
        Expected size of the answers to requests in progress, by token.
    """

    def __init__(self, *, memory: int, held_bytes: Callable[[], int]) -> None:
        self.memory = memory
        self.held_bytes = held_bytes
        self.expected: dict[str, float] = {}
        self.reserved: dict[int, float] = {}

    def begin(self, token: int, route: str) -> bool:
        """Reserve memory for a request; return whether there is enough.

        If nothing else takes memory, there is, so that a route is not refused for ever.
        """
        size = self.expected.get(route)
        if size is None:
            return True
        taken = self.held_bytes() + sum(self.reserved.values())
        if taken and taken + size > self.memory * ADMITTED_FRACTION:
            return False
        self.reserved[token] = size
        return True

    def end(self, token: int) -> None:
        """Forget a request that has its answer, or will not get one."""
        self.reserved.pop(token, None)

    def accept(self, route: str, size: int) -> bool:
        """Record the size of an answer; return whether there is room to hold it."""
        expected = max(size, self.expected.get(route, 0.0) * SIZE_DECAY)
        if expected >= LARGE_ANSWER_BYTES:
            self.expected[route] = expected
        else:
            self.expected.pop(route, None)
        if size < LARGE_ANSWER_BYTES:
            return True
        return self.held_bytes() + size <= self.memory * HELD_FRACTION
