"""What controllers say to each other."""

from __future__ import annotations

import msgspec

ENDED_PATH = "/ended"
#: How many ends go into one message at the most; with the longest names it stays under the limit of a body.
MOST_ENDED = 300


class EndedAttempt(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """An attempt that is proven gone, and how it ended."""

    job: str
    number: int
    attempt: int
    done: bool
    note: str = ""
    failed: bool = False


class Ended(msgspec.Struct, frozen=True):
    """From the owner of the machines to the home of the jobs. The proofs hold under this epoch only."""

    epoch: int
    attempts: list[EndedAttempt]
