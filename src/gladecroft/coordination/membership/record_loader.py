"""Loads the records from the state service into the cluster state, at startup and after missed changes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY, ControllerContext
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

#: Records per page of the listing.
PAGE_SIZE = 400
#: Sorts after the keys of all final records, since job ids begin with a letter.
AFTER_FINALS = rec.FINALS + "~"
#: Page position after the last page of the listing; only the epoch is left to read.
END_OF_LISTING = "~"


class RecordLoader:
    """Loads all records but the final records page by page, then calls ``on_loaded``."""

    def __init__(self, context: ControllerContext, on_loaded: Callable[[], None]) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self._on_loaded = on_loaded
        self._page_after: str | None = None
        self._next_request_at = timedelta(days=-1)

    def restart(self) -> None:
        """Start again with the first page."""
        self._page_after = None

    def _may_request(self) -> bool:
        """Whether to request the next page now; if so, the next attempt is delayed."""
        if self.context.now < self._next_request_at:
            return False
        self._next_request_at = self.context.now + 3 * RETRY_DELAY
        return True

    def load(self) -> None:
        """Request the next page of records, or the epoch after the last page.

        The watch later continues from the revision of the first page. Final records are kept forever, and reading them
        would make each startup slower than the one before, so the listing starts after them; they are read on demand.
        The key of the epoch sorts before them, so the epoch is read separately at the end. If it is changed after the
        first page was read, the watch delivers the change as well.
        """
        if not self._may_request():
            return
        after = self._page_after or AFTER_FINALS

        def on_page(status: int, body: bytes) -> None:
            self._next_request_at = timedelta(days=-1)
            if status != 200:
                self._next_request_at = self.context.now + RETRY_DELAY
                return
            page: wire.RangeReply = wire.decode(wire.RangeReply, body)
            if self._page_after is None:
                self.cluster_state.revision = page.revision
            for item in page.items:
                self.cluster_state.apply(item.key, item.value, item.version)
            if page.more and page.items:
                self._page_after = page.items[-1].key
            else:
                self._page_after = END_OF_LISTING
            self.load()

        def on_epoch(status: int, body: bytes) -> None:
            self._next_request_at = timedelta(days=-1)
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                self.cluster_state.apply(item.key, item.value, item.version)
            elif status != 404:
                self._next_request_at = self.context.now + RETRY_DELAY
                return
            self._page_after = None
            self.context.records_loaded = True
            log.info("records loaded at revision %d: %d jobs, %d machines",
                     self.cluster_state.revision, len(self.cluster_state.jobs),
                     len(self.cluster_state.machines))  # fmt: skip
            self._on_loaded()

        if after == END_OF_LISTING:
            sent = self.context.call_state("GET", wire.key_path(rec.EPOCH), None, on_epoch, urgent=True)
        else:
            sent = self.context.call_state(
                "GET", wire.range_path(rec.ROOT, after, PAGE_SIZE), None, on_page, urgent=True
            )
        if not sent:
            self._next_request_at = timedelta(days=-1)
