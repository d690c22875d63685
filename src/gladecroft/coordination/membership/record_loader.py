"""Reads all records at a start, page by page, into the picture."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY, ControllerContext
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

PAGE = 400
#: No key of a final state sorts after this: jobs' names end in digits.
AFTER_FINALS = rec.FINALS + "~"
#: Stands for the end of the listing.
LISTED = "~"


class RecordLoader:
    """``loaded`` is called once the picture holds all records."""

    def __init__(self, context: ControllerContext, loaded: Callable[[], None]) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self._loaded = loaded
        self._page_after: str | None = None
        self._ask_at = timedelta(days=-1)

    def start_again(self) -> None:
        self._page_after = None

    def _may_ask(self) -> bool:
        """Whether to ask for the next page (again) now."""
        if self.context.now < self._ask_at:
            return False
        self._ask_at = self.context.now + 3 * RETRY_DELAY
        return True

    def load(self) -> None:
        """List the records, page by page; the watch then goes on from the first page's revision.

        The states of jobs that are over are kept for ever and would make every start longer than the last; they are
        left out and read when somebody asks. The epoch's key sorts before them, so it is read by itself, last: a
        change to it after the first page's revision also comes by the watch.
        """
        if not self._may_ask():
            return
        after = self._page_after or AFTER_FINALS

        def then(status: int, body: bytes) -> None:
            self._ask_at = timedelta(days=-1)
            if status != 200:
                self._ask_at = self.context.now + RETRY_DELAY
                return
            page: wire.RangeReply = wire.decode(wire.RangeReply, body)
            if self._page_after is None:
                self.cluster_state.revision = page.revision
            for item in page.items:
                self.cluster_state.apply(item.key, item.value, item.version)
            if page.more and page.items:
                self._page_after = page.items[-1].key
            else:
                self._page_after = LISTED
            self.load()

        def epoch(status: int, body: bytes) -> None:
            self._ask_at = timedelta(days=-1)
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                self.cluster_state.apply(item.key, item.value, item.version)
            elif status != 404:
                self._ask_at = self.context.now + RETRY_DELAY
                return
            self._page_after = None
            self.context.records_loaded = True
            log.info("picture loaded at revision %d: %d jobs, %d machines",
                     self.cluster_state.revision, len(self.cluster_state.jobs),
                     len(self.cluster_state.machines))  # fmt: skip
            self._loaded()

        if after == LISTED:
            sent = self.context.call_state("GET", wire.key_path(rec.EPOCH), None, epoch, urgent=True)
        else:
            sent = self.context.call_state("GET", wire.range_path(rec.ROOT, after, PAGE), None, then, urgent=True)
        if not sent:
            self._ask_at = timedelta(days=-1)
