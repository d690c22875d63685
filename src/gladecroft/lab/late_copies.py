"""Delivers requests a second time after they were carried out and answered.

The copy arrives seconds to minutes after the answer, and nobody waits for a response to it (PROTOCOL, "Delayed
messages"). It is delivered whether or not its sender still runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

#: Shortest time from the answer to the arrival of the copy.
MIN_COPY_DELAY_S = 1.0
#: Statuses of requests that were carried out.
EXECUTED_STATUSES = (200, 201)


class CopiedRequests(Enum):
    """Which requests are copied: the controllers' requests to each kind of host, or the requests of users."""

    MACHINES = "machines"
    STATE = "state"
    CLOUD = "cloud"
    PEERS = "peers"
    USERS = "users"


class CopyRate(msgspec.Struct, frozen=True):
    """The share of the requests that is copied, and the longest delay of a copy in seconds."""

    share: float
    max_delay_s: float


class LateCopies:
    """Schedules the copies. ``call_later`` runs a callback after a delay in virtual time."""

    def __init__(self, rng: random.Random, call_later: Callable[[timedelta, Callable[[], None]], None]) -> None:
        self._rng = rng
        self._call_later = call_later
        self._rates: dict[CopiedRequests, CopyRate] = {}
        #: Number of copies scheduled so far.
        self.count = 0

    def begin(self, requests: CopiedRequests, rate: CopyRate, duration: timedelta) -> None:
        """Copy requests for the duration. A rate set later for the same requests replaces this one."""
        self._rates[requests] = rate

        def end() -> None:
            if self._rates.get(requests) is rate:
                del self._rates[requests]

        self._call_later(duration, end)

    def request_answered(self, requests: CopiedRequests, status: int, deliver: Callable[[], None]) -> None:
        """Schedule a copy of a request that was answered with this status, or none; ``deliver`` sends it again."""
        rate = self._rates.get(requests)
        if rate is None or status not in EXECUTED_STATUSES or self._rng.random() >= rate.share:
            return
        self.count += 1
        delay_s = self._rng.uniform(MIN_COPY_DELAY_S, max(MIN_COPY_DELAY_S, rate.max_delay_s))
        self._call_later(timedelta(seconds=delay_s), deliver)
