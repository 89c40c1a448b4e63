"""Follows the platform's store and reports what it says in the product's types."""

import asyncio
import logging
from collections.abc import Awaitable
from typing import Protocol

from ..errors import PlatformError
from ..state.catalog import Catalog, Target
from ..transport.logs import log_event
from .documents import decode_catalog, decode_target
from .store import Change, Changes, HistoryLostError, StoreClient
from .wire import ALL_KEYS, CATALOG_KEY, TARGET_PREFIX

__all__ = ["StoreListener", "StoreReader"]

WATCH_WAIT_S = 2.0
GAP_S = 0.5
"""Pause between two watches, so that one answer carries many changes."""
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 0.5


class StoreListener(Protocol):
    """Takes what the store says."""

    def catalog_read(self, catalog: Catalog) -> None:
        """Take a configuration."""

    def targets_read(self, targets: list[Target]) -> None:
        """Take all registered targets."""

    def target_changed(self, target: Target) -> None:
        """Take a new registration."""

    def target_deleted(self, name: str) -> None:
        """Take the end of a registration."""

    def store_lost(self, detail: str) -> None:
        """Take the news that the store cannot be read."""

    def store_found(self) -> None:
        """Take the news that the store answers again."""


class StoreReader:
    """Reads the configuration and the targets, then watches both.

    Parameters
    ----------
    client : StoreClient
        The client of the store.
    listener : StoreListener
        Takes what was read.
    """

    def __init__(self, *, client: StoreClient, listener: StoreListener) -> None:
        self.client = client
        self.listener = listener
        self.failing = False

    async def follow(self) -> None:
        """Keep the configuration and the targets current, without end.

        One watch covers both: targets change every second or so, so a watch that has
        gone silent is noticed soon, for the configuration as well.
        """
        revision: int | None = None
        delay = FIRST_RETRY_S
        while True:
            try:
                found = await self._next(revision)
            except HistoryLostError:
                log_event("store_history_lost", revision=revision)
                revision = None
                continue
            except PlatformError as error:
                self._lost(str(error))
                await asyncio.sleep(delay)
                delay = min(delay * 2, LAST_RETRY_S)
                continue
            delay = FIRST_RETRY_S
            self._found()
            self._take_catalog(found.changes)
            if revision is None:
                self._take_targets(found.changes)
            else:
                self._take_target(found.changes)
            revision = found.revision
            if found.changes:
                await asyncio.sleep(GAP_S)

    def _next(self, revision: int | None) -> Awaitable[Changes]:
        if revision is None:
            return self.client.range(ALL_KEYS)
        return self.client.watch(ALL_KEYS, revision, WATCH_WAIT_S)

    def _lost(self, detail: str) -> None:
        if not self.failing:
            self.failing = True
            self.listener.store_lost(detail)

    def _found(self) -> None:
        if self.failing:
            self.failing = False
            self.listener.store_found()

    def _take_catalog(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.key != CATALOG_KEY or change.value is None:
                continue
            try:
                catalog = decode_catalog(change.value)
            except PlatformError as error:
                log_event(
                    "configuration_unreadable", level=logging.WARNING, error=str(error)
                )
            else:
                self.listener.catalog_read(catalog)

    def _take_targets(self, changes: tuple[Change, ...]) -> None:
        found = [
            self._decoded(change)
            for change in changes
            if change.key.startswith(TARGET_PREFIX)
        ]
        self.listener.targets_read([target for target in found if target is not None])

    def _take_target(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if not change.key.startswith(TARGET_PREFIX):
                continue
            if change.value is None:
                self.listener.target_deleted(change.key.removeprefix(TARGET_PREFIX))
                continue
            target = self._decoded(change)
            if target is not None:
                self.listener.target_changed(target)

    def _decoded(self, change: Change) -> Target | None:
        name = change.key.removeprefix(TARGET_PREFIX)
        try:
            return decode_target(name, change.value or b"")
        except PlatformError as error:
            log_event("registration_ignored", target=name, error=str(error))
            return None
