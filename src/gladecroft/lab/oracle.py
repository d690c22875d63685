"""Checks PROTOCOL's rules as things happen."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from gladecroft.coordination.events import RequestKind

Json = dict[str, Any]
Key = tuple[str, int]


EVENTS_KEPT = 200
#: Once all troubles are over, a job about which no question is answered for so many seconds is forgotten.
FORGOTTEN_S = 75.0
#: As long may work wait then where there is room, looked at so often.
LEFT_WAITING_S = 90.0
LOOK_EVERY_S = 2.0
#: The states in which a job remains.
FINAL = ("done", "aborted")


class Oracle:
    def __init__(self, jobs: dict[str, Json], limits: dict[str, float], cancel_s: float, now: Callable[[], float]):
        self.jobs = jobs
        self.limits = limits
        self.cancel_s = cancel_s
        self.now = now
        self.broken: list[str] = []
        #: What has happened lately, in words, for whoever looks for the cause of a broken rule.
        self.events: deque[str] = deque(maxlen=EVENTS_KEPT)
        self.where: dict[Key, dict[str, tuple[str, str, bool]]] = {}
        self.zones: dict[str, str] = {}
        self.starts: list[tuple[float, Key, str, int]] = []
        #: Those of them that came after their user had been told that the job is cancelled.
        self.starts_after_cancel: list[tuple[float, Key, str, int]] = []
        #: Jobs that can't run, or lack a field: nobody may accept them. What is called with each job's end.
        self.impossible: set[str] = set()
        self.on_done: list[Callable[[str], None]] = []
        #: Called with each good answer about a job: its verb and the state it told.
        self.on_answer: list[Callable[[str, RequestKind, str], None]] = []
        #: Which waiting jobs a machine has room for, and since when.
        self.waiting_with_room: Callable[[], set[str]] = set
        self._waits_since: dict[str, float] = {}
        self._looked_at = 0.0
        self.done: dict[str, set[int]] = {}
        self.told: dict[str, str] = {}
        #: When each user was first told that the job is accepted; its final state and when that was first told.
        self.accepted: dict[str, float] = {}
        self.final: dict[str, tuple[str, float]] = {}
        self.submitted: set[str] = set()
        self.cancel_wanted: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        #: When the last trouble ends; for each job since when its questions go unanswered, and the longest such time.
        self.calm_from = 0.0
        self.silent_since: dict[str, float] = {}
        self.longest_silence: dict[str, float] = {}

    def trouble(self, until: float) -> None:
        """Something goes wrong, until then."""
        self.calm_from = max(self.calm_from, until)

    def note(self, text: str) -> None:
        self.events.append(f"{self.now():8.1f} {text}")

    def _break(self, rule: str, text: str) -> None:
        self.broken.append(f"{rule} at {self.now():.1f}: {text}")

    # Machines

    def on(self, key: Key, machine: str, attempt: int, kind: str, zone: str, spot: bool) -> None:
        """A task has started on a machine."""
        spec = self.jobs[key[0]]
        self.starts.append((self.now(), key, machine, attempt))
        self.zones[machine] = zone
        self.note(f"{key[0]}/{key[1]}#{attempt} starts on {machine}")
        others = self.where.setdefault(key, {})
        if any(name != machine for name in others):
            self._break("ran_twice", f"{key} starts on {machine} while on {sorted(others)}")
        others[machine] = (kind, zone, spot)
        self._check_quota(spec["owner"])
        self._check_place(key[0], spec, kind, zone, spot)
        self._check_cancelled(key)

    def off(self, key: Key, machine: str) -> None:
        self.note(f"{key[0]}/{key[1]} ends on {machine}")
        self.where.get(key, {}).pop(machine, None)

    def completed(self, key: Key) -> None:
        done = self.done.setdefault(key[0], set())
        done.add(key[1])
        if len(done) == self.jobs[key[0]]["portions"]:
            self.done_at.setdefault(key[0], self.now())
            for do in self.on_done:
                do(key[0])

    def _check_quota(self, team: str) -> None:
        used = sum(
            self.jobs[job]["cores"] * len(places)
            for (job, _), places in self.where.items()
            if self.jobs[job]["owner"] == team
        )
        if used > self.limits[team] + 1e-6:
            self._break("quota", f"{team} uses {used} of {self.limits[team]}")

    def _check_place(self, job: str, spec: Json, kind: str, zone: str, spot: bool) -> None:
        if spec["flavors"] is not None and kind not in spec["flavors"]:
            self._break("wrong_place", f"{job} on type {kind}")
        if spec["district"] is not None and zone != spec["district"]:
            self._break("wrong_place", f"{job} in zone {zone}")
        if spot and not spec["leftovers"]:
            self._break("wrong_place", f"{job} on a spot machine")
        zones = [place[1] for (name, _), places in self.where.items() if name == job for place in places.values()]
        if spec["oneZone"] and len(set(zones)) > 1:
            self._break("wrong_place", f"{job} in zones {sorted(set(zones))}")
        if spec["apart"] and zones.count(zone) > (spec["portions"] + 1) // 2:
            self._break("wrong_place", f"{job} has {zones.count(zone)} tasks in {zone}")

    def _check_cancelled(self, key: Key) -> None:
        told = self.cancelled_at.get(key[0])
        if told is None:
            return
        self.starts_after_cancel.append(self.starts[-1])
        if self.now() - told > self.cancel_s:
            self._break("ran_cancelled", f"{key} starts")

    def sweep(self) -> None:
        """Looked at every second: nothing of a cancelled job may be left after its time."""
        for key, places in self.where.items():
            told = self.cancelled_at.get(key[0])
            if places and told is not None and self.now() - told > self.cancel_s:
                self._break("ran_cancelled", f"{key} is still on {sorted(places)}")
        for job in list(self.silent_since):
            silence = self._silence(job)
            if silence > FORGOTTEN_S and job in self.accepted and job not in self.cancel_wanted:
                self._break("forgotten", f"no question about {job} has been answered for {silence:.0f} s")
                del self.silent_since[job]
        self._sweep_waiting()

    def _sweep_waiting(self) -> None:
        """Once all troubles are over, nothing waits for long while a machine that fits has room."""
        now = self.now()
        if now < self.calm_from:
            self._waits_since.clear()
        elif now - self._looked_at >= LOOK_EVERY_S:
            self._looked_at = now
            waiting = {
                job for job in self.waiting_with_room() if job in self.accepted and job not in self.cancel_wanted
            }
            for job in [job for job in self._waits_since if job not in waiting]:
                del self._waits_since[job]
            for job in waiting:
                if now - self._waits_since.setdefault(job, now) > LEFT_WAITING_S:
                    self._break("left_waiting", f"{job} has waited for {LEFT_WAITING_S:g} s where there is room")
                    self._waits_since[job] = now

    def _silence(self, job: str) -> float:
        """For how long, since all troubles are over, no question about a job has been answered."""
        return self.now() - max(self.silent_since[job], self.calm_from)

    # Users

    def submit_sent(self, job: str) -> None:
        self.submitted.add(job)

    def cancel_asked(self, job: str) -> None:
        self.cancel_wanted.add(job)

    def asks(self, job: str) -> None:
        """A question about a job is sent."""
        if job in self.accepted:
            self.silent_since.setdefault(job, self.now())

    def answered(self, job: str, verb: RequestKind, status: int, body: bytes, sent: float | None = None) -> None:
        """An answer has arrived. ``sent``: when its question left (None: after all that has been told). It may be older
        than another one only if its question had left before that arrived."""
        now = self.now()
        sent = now if sent is None else sent
        if status in (400, 404, 422) and sent >= self.accepted.get(job, math.inf):
            self._break("forgotten", f"{verb.value} of {job} answered with {status}")
        if status not in (200, 201):
            return
        if job in self.impossible:
            self._break("took_impossible", f"{job} can't run or lacks a field, and {verb.value} is answered {status}")
            return
        if job not in self.submitted:
            self._break("invented", f"{job} was never submitted")
            return
        self.accepted.setdefault(job, now)
        if job in self.silent_since:
            self.longest_silence[job] = max(self.longest_silence.get(job, 0.0), self._silence(job))
            del self.silent_since[job]
        state = msgspec.json.decode(body)["status"]
        before, told_at = self.final.get(job, ("", math.inf))
        if before and state != before and (sent >= told_at or state in FINAL):
            self._break("went_back", f"{job} was {before}, is called {state}")
        if state == "aborted" and job not in self.cancel_wanted:
            self._break("went_back", f"{job} is called cancelled")
        if state == "done" and len(self.done.get(job, ())) < self.jobs[job]["portions"]:
            self._break("not_done", f"{job} is called done")
        if state == "aborted":
            self.cancelled_at.setdefault(job, now)
        if state in FINAL:
            self.final.setdefault(job, (state, now))
        if state in FINAL or not before:
            self.told[job] = state
        for do in self.on_answer:
            do(job, verb, state)
