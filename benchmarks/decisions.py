"""CPU time of single decisions, and memory of the tables.

Run with ``python -m benchmarks.decisions``. Times are microseconds of CPU time per
call, the minimum of several repetitions; memory is in bytes per entry.
"""

from collections.abc import Callable
from itertools import count
from random import Random
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from tabulate import tabulate

from buckthornshed.coordination.entry.admission import (
    AdmissionController,
    admission_level,
)
from buckthornshed.coordination.entry.allowance import (
    AllowanceAccount,
    ClientAllowances,
)
from buckthornshed.coordination.entry.call_queue import CallQueue, QueuedCall
from buckthornshed.coordination.entry.thresholds import DownstreamThresholds
from buckthornshed.protocol.messages import CallContext
from buckthornshed.state.objects import Admission
from buckthornshed.state.table import BoundedTable

CALLS_PER_REPETITION = 20_000
REPETITIONS = 5
TABLE_SIZES = (1_000, 10_000, 100_000)
POLICY = Admission(
    queue_delay_ms=50, queue=1_000, retry_after_min_s=1, retry_after_max_s=300
)
CALLS_PER_S = 240.0


def measure_cpu_us(function: Callable[[int], object]) -> float:
    shortest_s = float("inf")
    for repetition in range(REPETITIONS):
        started_at = process_time()
        for number in range(
            repetition * CALLS_PER_REPETITION, (repetition + 1) * CALLS_PER_REPETITION
        ):
            function(number)
        shortest_s = min(shortest_s, process_time() - started_at)
    return shortest_s / CALLS_PER_REPETITION * 1e6


def create_contexts(rng: Random) -> list[CallContext]:
    return [
        CallContext(rng.randbytes(16), number, rng.randrange(9), 1e9, 3, 1, None, "a")
        for number in range(1_000)
    ]


def measure_admission(rate: float, calls: list[CallContext]) -> dict[str, float]:
    """Return the CPU time of admission steps at ``rate`` calls per second."""
    controller = AdmissionController(policy=POLICY, slots=8)
    call_counter = count()

    def decide(number: int) -> None:
        now = next(call_counter) / rate
        controller.decide(now, calls[number % 1_000], number % 40, 8)

    def run_step(number: int) -> None:
        now = next(call_counter) / rate
        controller.decide(now, calls[number % 1_000], number % 40, 8)
        controller.record_start(now, 0.06)
        controller.record_finish(now, 0.03)

    rng = Random(2)
    return {
        "decide": measure_cpu_us(decide),
        "decide, started, finished": measure_cpu_us(run_step),
        "retry_after": measure_cpu_us(
            lambda number: controller.retry_after(next(call_counter) / rate, 8, rng)
        ),
    }


def measure_queue(queue_length: int) -> float:
    """Return the CPU time of one take and one offer on a queue of a given length."""
    rng = Random(3)
    queue: CallQueue[None] = CallQueue(limit=queue_length)
    for number in range(queue_length):
        queue.offer(QueuedCall(-number - 1, rng.randrange(4096), 1e9, 0.0, None))

    def run_step(number: int) -> None:
        queue.take(0.0)
        queue.offer(QueuedCall(number, number * 37 % 4096, 1e9, 0.0, None))

    return measure_cpu_us(run_step)


def use_allowance(number: int) -> None:
    account = AllowanceAccount(granted=3)
    account.reserve(number, account.downstream_share())
    account.settle(number, 1)
    account.close()


def measure_thresholds(targets: int) -> float:
    """Return the CPU time to record a threshold and look up that of the route."""
    thresholds = DownstreamThresholds(entries=targets)
    names = [f"target-{number}" for number in range(targets)]

    def run_step(number: int) -> None:
        now = number / CALLS_PER_S
        thresholds.record(now, "stables", names[number % targets], 2_000)
        thresholds.route_threshold(now, "stables")

    return measure_cpu_us(run_step)


def measure_table(entries: int) -> list[float]:
    """Return size, microseconds of one expiry and one put, and bytes per entry."""
    start()
    table: BoundedTable[int, int] = BoundedTable(entries=entries)
    for number in range(entries):
        table.put(number, number, expires=float(number))
    held_bytes, _ = get_traced_memory()
    stop()
    keys = count(entries)

    def run_step(number: int) -> None:
        key = next(keys)
        table.expire(float(key - entries))
        table.put(key, key, expires=float(key))

    return [entries, measure_cpu_us(run_step), held_bytes / entries]


def measure_client_allowances(entries: int) -> list[float]:
    """Return size, microseconds of an attempt, and bytes per stored request."""
    start()
    allowances = ClientAllowances(entries=entries, window=float(entries))
    for number in range(entries):
        client_attempt = allowances.begin(float(number), number, 3, deadline=0.0)
        allowances.end(float(number), number, client_attempt)
    held_bytes, _ = get_traced_memory()
    stop()
    keys = count(entries)

    def run_attempt(number: int) -> None:
        key = next(keys)
        client_attempt = allowances.begin(float(key), key, 3, deadline=0.0)
        allowances.end(float(key), key, client_attempt)

    return [entries, measure_cpu_us(run_attempt), held_bytes / entries]


def main() -> None:
    calls = create_contexts(Random(1))
    rows = [
        [
            "level",
            measure_cpu_us(lambda n: admission_level(3, calls[n % 1_000].request_id)),
        ]
    ]
    for rate in (CALLS_PER_S, 10 * CALLS_PER_S):
        times = measure_admission(rate, calls)
        rows += [[f"{name} at {rate:.0f}/s", time] for name, time in times.items()]
    rows += [
        [f"queue turn, {size} waiting", measure_queue(size)]
        for size in (10, 100, 1_000)
    ]
    rows.append(["account, lend, settle, close", measure_cpu_us(use_allowance)])
    for targets in (3, 30, 300):
        name = f"learn and ask, {targets} targets"
        rows.append([name, measure_thresholds(targets)])
    print(tabulate(rows, headers=["decision", "µs"], floatfmt=".2f"))
    headers = ["entries", "µs a turn", "bytes an entry"]
    for name, row in (
        ("BoundedTable", measure_table),
        ("ClientRepeats", measure_client_allowances),
    ):
        print(f"\n{name}")
        print(tabulate(map(row, TABLE_SIZES), headers=headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
