"""Reader of the platform's store, which reports changes in the relay's types."""

import asyncio
import logging
from collections.abc import Awaitable
from typing import Protocol

from ..errors import PlatformError
from ..protocol.foreign_objects import UnusableEntry
from ..state.catalog import Catalog, Target
from ..state.generation import Generation
from ..transport.logs import log_event
from .documents import decode_catalog, decode_target
from .store import (
    Change,
    ChangeBatch,
    HistoryLostError,
    ReadCutError,
    StoreClient,
    StoreRestoredError,
)
from .wire import ALL_KEYS, CATALOG_KEY, TARGET_PREFIX

__all__ = ["StoreListener", "StoreReader"]

WATCH_WAIT_S = 0.8
COALESCING_DELAY_S = 0.5
"""Delay after a response with changes, so that the next one carries many changes."""
AFTER_CHANGES_WAIT_S = 0.4
"""Wait of a watch after that delay, so that others soon hear that this relay reads."""
STANDBY_INTERVAL_S = 0.1
"""Interval at which a relay that does not read checks whether it has to."""
FIRST_WATCH_WAIT_S = 0.05
"""Wait of the first watch after a time without reading, which reports soon."""
CONFIRMATION_MARGIN_S = 0.45
"""Time that a short watch may take in addition to its wait time.

The reader asks with short watches after a cut one and during an outage, to notice soon
that the store answers.
"""
PATIENT_MARGIN_S = 1.2
"""Time that some of the short watches may take, as the store may be slow."""
PATIENT_INTERVAL = 4
"""Attempts in an outage of which one has that time."""
CONFIRMED_DELAY_S = 0.05
"""Delay after the store has answered the watch after a cut one."""
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MAX_LOGGED_ENTRIES = 20
"""Unusable entries of one configuration that are logged one by one."""


class StoreListener(Protocol):
    """Handles changes of the store's contents and of its availability."""

    def reads_store(self) -> bool:
        """Return whether the store is to be read, or changes come from elsewhere."""

    def has_listeners(self) -> bool:
        """Return whether others count on the reports of this relay."""

    def handle_store_read(self, *, succeeded: bool, revision: int = 0) -> None:
        """Handle the end of each read, after its changes were reported.

        `revision` is the store's one up to which it was read, 0 after a failure.
        """

    def handle_catalog(self, catalog: Catalog) -> None:
        """Handle a configuration."""

    def handle_unusable(self, kind: str) -> None:
        """Handle an entry of the store that cannot be used, a `route` for example."""

    def handle_targets(self, targets: list[Target]) -> None:
        """Handle the complete list of registered targets."""

    def handle_target_change(self, target: Target) -> None:
        """Handle a new or changed registration."""

    def handle_target_deletion(self, name: str) -> None:
        """Handle the end of a registration."""

    def handle_store_unavailable(self, detail: str) -> None:
        """Handle the first failed read; `detail` is the error."""

    def handle_store_available(self) -> None:
        """Handle the first successful read after a failure."""

    def handle_store_restored(self) -> None:
        """Handle the return of the store from an old copy.

        Registrations that it has acknowledged since may be missing until they are
        written again.
        """


class StoreReader:
    """Reads the configuration and the registered targets, then watches both.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    listener : StoreListener
        Handles what was read.

    Attributes
    ----------
    revision : int or None
        Revision from which to watch; None if everything has to be read.
    after_changes : bool
        Whether the latest answer had changes, so that a delay came before the next.
    """

    def __init__(self, *, client: StoreClient, listener: StoreListener) -> None:
        self.client = client
        self.listener = listener
        self.unavailable = False
        self.standing_by = False
        self.revision: int | None = None
        self.confirming = False
        self.after_changes = False
        self.backoff = INITIAL_BACKOFF_S
        self.failures = 0

    async def follow(self) -> None:
        """Read the store and report its changes until cancelled.

        One watch covers the configuration and the targets. Targets change about once a
        second, so a watch that has stopped delivering changes, which would also miss a
        new configuration, is detected soon.

        After the first complete read the listener decides whether to go on.
        """
        self.revision = None
        while True:
            if self.revision is not None and not self.listener.reads_store():
                self._stand_by()
                await asyncio.sleep(STANDBY_INTERVAL_S)
                continue
            await asyncio.sleep(await self._read_once())

    async def _read_once(self) -> float:
        """Read and handle changes; return the delay before the next read."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            batch = await self._read_changes(self.revision)
        except StoreRestoredError as error:
            log_event("store_restored", revision=self.revision, error=str(error))
            self.listener.handle_store_restored()
            return self._read_all_next()
        except HistoryLostError:
            log_event("store_history_lost", revision=self.revision)
            return self._read_all_next()
        except ReadCutError as error:
            return self._handle_cut(error, loop.time() - begun)
        except PlatformError as error:
            return self._handle_failure(error, loop.time() - begun)
        return self._handle_batch(batch)

    def _read_changes(self, revision: int | None) -> Awaitable[ChangeBatch]:
        if revision is None:
            return self.client.range(ALL_KEYS)
        if self.confirming or self.unavailable:
            patient = self.failures % PATIENT_INTERVAL == PATIENT_INTERVAL - 1
            margin = PATIENT_MARGIN_S if patient else CONFIRMATION_MARGIN_S
            return self.client.watch(ALL_KEYS, revision, FIRST_WATCH_WAIT_S, margin)
        return self.client.watch(ALL_KEYS, revision, self._wait())

    def _wait(self) -> float:
        """Return how long the store may wait for changes, in seconds."""
        if self.standing_by:
            return FIRST_WATCH_WAIT_S
        if self.after_changes and self.listener.has_listeners():
            return AFTER_CHANGES_WAIT_S
        return WATCH_WAIT_S

    def _read_all_next(self) -> float:
        self.revision = None
        self.confirming = False
        return 0.0

    def _handle_cut(self, error: ReadCutError, elapsed: float) -> float:
        """Ask again at once after a cut read, which alone is no outage.

        The store may cut a watch at any time, and a connection may become silent. The
        store is unavailable only if it does not answer the next read either, which
        takes another connection. Both end before a registration can lapse.
        """
        if self.unavailable or self.confirming:
            return self._handle_failure(error, elapsed)
        log_event("store_read_cut", revision=self.revision, error=str(error))
        self.confirming = True
        return 0.0

    def _handle_failure(self, error: PlatformError, elapsed: float) -> float:
        """Handle a read that failed after `elapsed` seconds."""
        self.confirming = False
        self.failures += 1
        self._report_unavailable(str(error))
        self.listener.handle_store_read(succeeded=False)
        delay = self.backoff
        self.backoff = min(delay * 2, MAX_BACKOFF_S)
        return max(0.0, delay - elapsed)

    def _handle_batch(self, batch: ChangeBatch) -> float:
        self.backoff = INITIAL_BACKOFF_S
        self.failures = 0
        self._report_available()
        self._handle_catalog(batch.changes)
        if self.revision is None:
            self._handle_all_targets(batch.changes)
        else:
            self._handle_target_changes(batch.changes)
        self.revision = batch.revision
        self.standing_by = False
        self.listener.handle_store_read(succeeded=True, revision=batch.revision)
        self.after_changes = bool(batch.changes)
        if self.after_changes:
            delay = COALESCING_DELAY_S
        else:
            # A store that cuts each watch is asked at intervals.
            delay = CONFIRMED_DELAY_S if self.confirming else 0.0
        self.confirming = False
        return delay

    def _stand_by(self) -> None:
        """Leave reading to other relays, which can read the store."""
        if not self.standing_by:
            self.standing_by = True
            self._report_available()

    def _report_unavailable(self, detail: str) -> None:
        if not self.unavailable:
            self.unavailable = True
            self.listener.handle_store_unavailable(detail)

    def _report_available(self) -> None:
        if self.unavailable:
            self.unavailable = False
            self.listener.handle_store_available()

    def _handle_catalog(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.key != CATALOG_KEY or change.value is None:
                continue
            unusable: list[UnusableEntry] = []
            try:
                catalog = decode_catalog(change.value, unusable.append)
            except PlatformError as error:
                self.listener.handle_unusable("configuration")
                log_event(
                    "configuration_unreadable", level=logging.WARNING, error=str(error)
                )
            else:
                self._report_unusable(catalog.generation, unusable)
                self.listener.handle_catalog(catalog)

    def _report_unusable(
        self, generation: Generation, entries: list[UnusableEntry]
    ) -> None:
        """Count the entries of a configuration that are not used, and log some."""
        for entry in entries:
            self.listener.handle_unusable(entry.kind)
        for entry in entries[:MAX_LOGGED_ENTRIES]:
            log_event(
                "configuration_entry_unusable",
                level=logging.WARNING,
                generation=str(generation),
                **entry._asdict(),
            )
        if entries:
            log_event(
                "configuration_partly_used",
                level=logging.WARNING,
                generation=str(generation),
                unusable=len(entries),
            )

    def _handle_all_targets(self, changes: tuple[Change, ...]) -> None:
        decoded = [
            self._decode(change)
            for change in changes
            if change.key.startswith(TARGET_PREFIX)
        ]
        self.listener.handle_targets(
            [target for target in decoded if target is not None]
        )

    def _handle_target_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if not change.key.startswith(TARGET_PREFIX):
                continue
            # An entry that cannot be read names no target, whatever it said before.
            target = None if change.value is None else self._decode(change)
            if target is None:
                name = change.key.removeprefix(TARGET_PREFIX)
                self.listener.handle_target_deletion(name)
            else:
                self.listener.handle_target_change(target)

    def _decode(self, change: Change) -> Target | None:
        name = change.key.removeprefix(TARGET_PREFIX)
        try:
            return decode_target(name, change.value or b"")
        except PlatformError as error:
            self.listener.handle_unusable("registration")
            log_event("registration_ignored", target=name, error=str(error))
            return None
