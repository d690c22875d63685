"""Reads a scenario (see tests/scenarios/README) and plays it in virtual time."""

from __future__ import annotations

import math
import shlex
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from gladecroft.coordination.events import RequestKind
from gladecroft.lab.cloud import Cloud
from gladecroft.lab.fault_injection import Troubles
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.placeable_jobs import waiting_with_room
from gladecroft.lab.simulation import START, Controller, Replier, World, seconds
from gladecroft.lab.state_service import StateService
from gladecroft.lab.user import User
from gladecroft.lab.worker import Kind, Worker
from gladecroft.protocol import operators
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings

Json = dict[str, Any]
Words = dict[str, str]

PLATFORM: Json = {
    "zones": ["a", "b"],
    "teams": [],
    "workers": {"report_s": 3.0, "lease_s": 18.0, "cancel_s": 43.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
}


class ScenarioError(Exception):
    """The scenario can't be played; the text names the line and the word."""


#: The deeds, and the words that each may carry.
_JOB = "team kind priority tasks cpus memory image gb zone one_zone spread spot run checkpoint save broken times"
DEEDS: dict[str, set[str]] = {
    deed: set(words.split())
    for deed, words in {
        "submit": _JOB, "cancel": "", "crash": "for", "cut": "mode for", "cut-machine": "mode for",
        "cut-zone": "mode for", "hang": "for",
        "die": "", "sick": "", "slow": "factor", "notice": "for", "outage": "for", "refuse": "for",
        "cloud-outage": "for", "late": "share lose for", "forget-log": "for", "never-boot": "share for",
        "cordon": "why for lift node", "ask": "times", "deaf": "for direct count", "mute": "for",
        "copies": "share late for next", "island": "for",
        "reboot": "for", "freeze": "for", "down": "for", "late-writes": "share for at_once",
        "slow-state": "by for", "slow-watch": "by for", "held": "by for answers", "mute-machine": "for count",
        "cancel-now": "count hang", "cancel-at-end": "share for", "odd": "for", "close-looks": "for cancels",
        "quick-boots": "for", "slow-links": "by for",
    }.items()
}  # fmt: skip
#: Deeds that are no troubles.
HARMLESS = {"submit", "cancel", "cordon", "ask", "cancel-at-end", "odd", "close-looks", "quick-boots"}
SETTINGS: dict[str, set[str] | None] = {
    "nodes": set(),
    "team": {"cpus", "max"},
    "type": {"cpus", "memory", "price", "spot_price", "boot", "zones", "count", "spot"},
    "set": None,  # operators' settings, which are checked by themselves
    "state": {"rps", "write_rps", "value_kb", "txn_ops"},
    "memory": set(),
    "up": {"zone", "count", "spot"},
}


#: Words that are yes or no, and those that say what part of all is meant.
FLAGS = {"spot", "one_zone", "spread", "broken", "direct", "lift", "answers", "at_once", "next"}
PARTS = {"share", "lose", "cancels"}


def _check(verb: str, named: Words, known: set[str] | None) -> None:
    for word, value in named.items():
        if known is not None and word in known:
            if word in FLAGS and verb not in SETTINGS and value not in ("yes", "no"):
                raise ValueError(f"{verb}: {word} is yes or no, not {value!r}")
            if word in PARTS and not 0.0 <= float(value) <= 1.0:
                raise ValueError(f"{verb}: {word} is a part from 0 to 1, not {value}")
        if known is not None and word not in known:
            raise ValueError(f"{verb} knows no {word!r}" + (f" (known: {', '.join(sorted(known))})" if known else ""))


def _names(first: str, named: Words) -> list[str]:
    """The names of as many jobs as the deed speaks of."""
    return [f"{first}{index:03d}" if index else first for index in range(int(named.get("times", "1")))]


def _words(parts: list[str]) -> tuple[list[str], Words]:
    plain = [part for part in parts if "=" not in part or part in ("<=", ">=")]
    named = dict(part.split("=", 1) for part in parts if "=" in part and part not in ("<=", ">="))
    return plain, named


class Scenario:
    def __init__(self, text: str, seed: int) -> None:
        self.world = World(seed)
        self.jobs: dict[str, Json] = {}
        self.users: dict[str, User] = {}
        self.limits: dict[str, float] = {}
        self.operator_settings = OperatorSettings()
        self._teams: list[Json] = []
        self._kinds: dict[str, Kind] = {}
        self._capacity: dict[tuple[str, str, bool], int] = {}
        self._nodes = 3
        self._state: Json = dict(PLATFORM["state"])
        self._memory_mb = 256.0
        self._up: list[tuple[str, str, bool, int]] = []
        self.failures: list[str] = []
        self.evictions = 0
        #: The answers to operators' orders.
        self.orders: list[int] = []
        lines = [line.split("#", 1)[0].strip() for line in text.splitlines()]
        self._line = (0, "")
        self._lines = [(number, line) for number, line in enumerate(lines, 1) if line]

    def run(self) -> Scenario:
        setup = [
            (n, line)
            for n, line in self._lines
            if line.split()[0] in ("nodes", "team", "type", "set", "state", "memory")
        ]
        rest = [(n, line) for n, line in self._lines if (n, line) not in setup]
        for number, line in setup:
            self._guard(number, line, self._setup)
        self._build()
        for number, line in rest:
            self._line = (number, line)
            self._guard(number, line, self._act)
        return self

    def _guard(self, number: int, line: str, do: Any) -> None:
        try:
            do(shlex.split(line))
        except ScenarioError:
            raise
        except (KeyError, ValueError, IndexError, StopIteration, msgspec.ValidationError) as error:
            what = f"no such {error.args[0]!r}" if isinstance(error, KeyError) else str(error) or "not enough words"
            raise ScenarioError(f"line {number}: {line!r}: {what}") from error

    # Setup

    def _setup(self, parts: list[str]) -> None:
        plain, named = _words(parts)
        _check(plain[0], named, SETTINGS[plain[0]])
        if plain[0] == "nodes":
            self._nodes = int(plain[1])
        elif plain[0] == "team":
            most = float(named["max"])
            self._teams.append({"name": plain[1], "cpus": float(named["cpus"]), "cpus_max": most})
            self.limits[plain[1]] = most or math.inf
        elif plain[0] == "type":
            kind = Kind(plain[1], float(named["cpus"]), float(named["memory"]), float(named.get("price", 1)),
                        float(named.get("spot_price", 0.4)), float(named.get("boot", 30)))  # fmt: skip
            self._kinds[kind.name] = kind
            for zone in named.get("zones", "a,b").split(","):
                self._capacity[(kind.name, zone, False)] = int(named.get("count", 10))
                self._capacity[(kind.name, zone, True)] = int(named.get("spot", 10))
        elif plain[0] == "memory":
            self._memory_mb = float(plain[1])
        elif plain[0] == "set":
            table = {key: value for key, value in named.items()}
            self.operator_settings = msgspec.convert(table, OperatorSettings, strict=False)
        else:
            self._state.update({key: msgspec.json.decode(value) for key, value in named.items()})

    def _build(self) -> None:
        world = self.world
        self.oracle = Oracle(self.jobs, self.limits, PLATFORM["workers"]["cancel_s"], world.elapsed)
        self.state = StateService(world, self._state["rps"], self._state["write_rps"])
        self.cloud = Cloud(world, self._kinds, self._capacity)
        names = [f"n{index}" for index in range(self._nodes)]
        self.controllers: list[Controller] = []
        workers: dict[str, Any] = {}
        for name in names:
            table = {
                "label": name,
                "bind": "10.0.0.1:8080",
                "siblings": [{"label": other, "peer_addr": f"{other}:8081"} for other in names if other != name],
                "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
                "settings": {
                    **PLATFORM,
                    "teams": self._teams,
                    "state": self._state,
                    "resources": {"ram_mb": self._memory_mb},
                },
            }
            controller = Controller(world, msgspec.convert(table, PlatformSettings), self.operator_settings)
            controller.state, controller.cloud, controller.workers = self.state, self.cloud, workers
            self.controllers.append(controller)
            world.at(seconds(0.1 * len(self.controllers)), controller.start)
        for controller in self.controllers:
            controller.peers = {f"{other.name}:8081": other for other in self.controllers}
        lease = PLATFORM["workers"]["lease_s"]

        def new_worker(name: str, kind: Kind, zone: str, spot: bool) -> Worker:
            worker = Worker(world, name, kind, zone, spot, self.controllers, self.oracle, self.jobs,
                            seconds(lease), seconds(PLATFORM["workers"]["report_s"]))  # fmt: skip
            workers[worker.addr] = worker
            return worker

        self.cloud.new_worker = new_worker
        self.troubles = Troubles(world, self.state, self.cloud, self.controllers, self.oracle, self.users)
        self.oracle.waiting_with_room = lambda: waiting_with_room(self.cloud.machines.values(), self.jobs, self.oracle)

        def sweep() -> None:
            self.oracle.sweep()
            world.later(seconds(1), sweep)

        sweep()

    # What happens

    def _act(self, parts: list[str]) -> None:
        verb = parts[0]
        if verb == "up":
            plain, named = _words(parts)
            _check(verb, named, SETTINGS[verb])
            for _ in range(int(named.get("count", "1"))):
                self.cloud.rent(plain[1], named.get("zone", "a"), named.get("spot") == "yes", boot=timedelta())
        elif verb == "at":
            offset, rest = seconds(float(parts[1])), parts[2:]
            number, line = self._line
            if rest[0] not in DEEDS:
                raise ValueError(f"unknown deed {rest[0]!r}")
            _check(rest[0], _words(rest)[1], DEEDS[rest[0]])
            if rest[0] == "submit" and _words(rest)[1].get("team") not in self.limits:
                raise ValueError(f"no team {_words(rest)[1].get('team')!r}")

            def do() -> None:
                self.oracle.note(" ".join(rest))
                self._guard(number, line, lambda _: self._do(rest))

            self.world.at(offset, do)
        elif verb == "run":
            self.world.run_until(seconds(float(parts[1])))
        elif verb == "expect":
            self._expect(parts[1:])
        else:
            raise ValueError(f"unknown word {verb!r}")

    def _controller(self, name: str) -> Controller:
        if name == "leader":
            epoch = self.state.keys["g/epoch"][0]
            name = epoch["leader"]
        if name == "follower":
            epoch = self.state.keys["g/epoch"][0]
            name = next(node for node in sorted(epoch["members"]) if node != epoch["leader"])
        for controller in self.controllers:
            if controller.name == name:
                return controller
        raise ValueError(f"no controller {name!r}")

    def _worker(self, name: str) -> Worker:
        if name == "busiest":
            return max(self.cloud.machines.values(), key=lambda worker: (len(worker.tasks), worker.name))
        worker = self.cloud.machines.get(f"m-{int(name):06d}")
        if worker is None:
            raise ValueError(f"no machine {name!r} at that time")
        return worker

    def _do(self, parts: list[str]) -> None:
        plain, named = _words(parts)
        verb = plain[0]
        span = seconds(float(named.get("for", "0")))
        until = self.world.elapsed() + span.total_seconds()
        if verb not in HARMLESS:
            # Copies come late, and so may what is late or held up at the state service.
            later = (
                float(named.get("late", "0"))
                + float(named.get("hang", "0"))
                + {"late": 20.0, "late-writes": 12.0}.get(verb, 0.0)
            )
            self.oracle.trouble(until + later)
        if verb == "submit":
            for name in _names(plain[1], named):
                self._submit(name, named)
        elif verb == "cancel":
            if plain[1] not in self.users:
                raise ValueError(f"no job {plain[1]!r} at that time")
            self.users[plain[1]].cancel()
        elif verb == "crash":
            for name in plain[1:]:
                for controller in self.controllers if name == "all" else [self._controller(name)]:
                    controller.crash()
                    self.world.later(span, controller.start)
        elif verb == "cut":
            node = self._controller(plain[1]).name
            others = plain[2:]
            if "siblings" in others:
                others += [controller.name for controller in self.controllers if controller.name != node]

            def matches(one: str, other: str) -> bool:
                if node not in (one, other):
                    return False
                peer = other if one == node else one
                group = "workers" if peer.startswith("m-") else "users" if peer == "user" else peer
                return group in others or "all" in others

            self.world.cut(matches, named.get("mode", "lose"), span)
        elif verb == "cut-machine":
            name = self._worker(plain[1]).name
            self.world.cut(lambda one, other: name in (one, other), named.get("mode", "lose"), span)
        elif verb == "cut-zone":
            # Its machines and the controllers named reach each other and nobody else: no state service, cloud or user.
            if plain[1] not in PLATFORM["zones"]:
                raise ValueError(f"no zone {plain[1]!r}")
            zone, inside = plain[1], {self._controller(name).name for name in plain[2:]}

            def within(name: str) -> bool:
                worker = self.cloud.machines.get(name)
                return name in inside or worker is not None and worker.zone == zone

            self.world.cut(lambda one, other: within(one) != within(other), named.get("mode", "lose"), span)
        elif verb == "island":
            self._do(["cut", plain[1], "state", "siblings", f"for={named['for']}"])
        elif verb == "deaf":
            deaf = self._several(plain[1:], named)
            names = {worker.name for worker in deaf}
            if named.get("direct") == "yes":
                for worker in deaf:
                    self._shut(worker, span)
            else:
                self.world.cut(lambda one, other: other in names, "lose", span)
        elif verb == "mute":
            # What it sends reaches no machine, though it hears them.
            mute = self._controller(plain[1]).name
            self.world.cut(lambda one, other: one == mute and other.startswith("m-"), "lose", span)
        elif verb == "mute-machine":
            # It reaches no controller; what is sent straight to it arrives, and is answered.
            for worker in self._several(plain[1:], named):
                worker.mute_until = max(worker.mute_until, self.world.now + span)
        elif verb == "cancel-now":
            self.troubles.cancel_now(int(named["count"]), float(named.get("hang", "0")))
        elif verb == "cancel-at-end":
            self.troubles.cancel_at_end(float(named["share"]), until)
        elif verb == "odd":
            self.troubles.odd_requests(until)
        elif verb == "close-looks":
            self.troubles.close_looks(until, float(named.get("cancels", "0")))
        elif verb == "slow-links":
            self.world.slow_links = seconds(float(named["by"]))
            self.world.later(span, lambda: setattr(self.world, "slow_links", timedelta()))
        elif verb == "quick-boots":
            self.cloud.quick_until = self.world.now + span
        elif verb == "copies" and named.get("next") == "yes":
            self.troubles.copies_for_next(float(named["share"]), until)
        elif verb == "copies":
            self._copy(float(named["share"]), float(named["late"]))
            self.world.later(span, lambda: self._copy(0.0, 0.0))
        elif verb == "reboot":
            for name in plain[1:]:
                self._worker(name).reboot(span)
        elif verb == "freeze":
            for name in plain[1:]:
                self._controller(name).freeze(span)
        elif verb == "down":
            # Without power: it says nothing, and nobody is told so.
            for name in plain[1:]:
                gone = self._controller(name).name
                self._do(["cut", gone, "all", f"for={named['for']}"])
                self._do(["crash", gone, f"for={named['for']}"])
        elif verb == "hang":
            self._worker(plain[1]).hang(span)
        elif verb == "die":
            self._worker(plain[1]).die(failed=True)
        elif verb == "sick":
            self._worker(plain[1]).sick = True
        elif verb == "slow":
            self._worker(plain[1]).slow = float(named["factor"])
        elif verb == "notice":
            worker = self._worker(plain[1])
            worker.notice = self.world.now + span
            worker._changed()
            self.world.later(span, lambda: self.cloud.remove(worker.name))
        elif verb == "outage":
            self.state.set_outage(True)
            self.world.later(span, lambda: self.state.set_outage(False))
        elif verb == "refuse":
            node = self._controller(plain[1]).name
            self.state.refused.add(node)
            self.world.later(span, lambda: self.state.accept(node))
        elif verb == "cloud-outage":
            self.cloud.outage = True
            self.world.later(span, lambda: setattr(self.cloud, "outage", False))
        elif verb == "late":
            self.state.be_late(float(named["share"]), float(named.get("lose", "0")))
            self.world.later(span, lambda: self.state.be_late(0.0, 0.0))
        elif verb == "late-writes":
            which = "lose_writes" if named.get("at_once") == "yes" else "late_writes"
            setattr(self.state, which, float(named["share"]))
            self.world.later(span, lambda: setattr(self.state, which, 0.0))
        elif verb == "slow-state":
            usual = self.state.delay
            self.state.delay = seconds(float(named["by"]))
            self.world.later(span, lambda: setattr(self.state, "delay", usual))
        elif verb == "slow-watch":
            self.state.watch_delay = seconds(float(named["by"]))
            self.world.later(span, lambda: setattr(self.state, "watch_delay", timedelta()))
        elif verb == "held":
            for name in plain[1:]:
                self._hold(self._worker(name), seconds(float(named["by"])), named.get("answers") == "yes", span)
        elif verb == "forget-log":
            self.state.kept = 0
            self.state.first = self.state.revision + 1
            self.state.log.clear()
            self.world.later(span, lambda: setattr(self.state, "kept", 10_000))
        elif verb == "never-boot":
            self.cloud.never_boot = float(named["share"])
            self.world.later(span, lambda: setattr(self.cloud, "never_boot", 0.0))
        elif verb == "cordon":
            until = int((START + self.world.now + span).timestamp()) if span else 0
            order = operators.CordonRequest(
                operators.CordonScope(plain[1]), plain[2], named.get("why", ""), "", until, named.get("lift") == "yes"
            )
            asked = self._controller(named.get("node", "n0"))
            asked.ask(
                RequestKind.CHANGE_CORDON,
                msgspec.json.encode(order),
                "",
                lambda reply: self.orders.append(reply.status),
            )
        elif verb == "ask":
            for name in _names(plain[1], named):
                User(self.world, self.controllers, self.oracle, {"nameId": name}).poll()
        else:
            raise ValueError(f"unknown deed {verb!r}")

    def _copy(self, share: float, late: float) -> None:
        for worker in self.cloud.machines.values():
            worker.copies = (share, late)

    def _hold(self, worker: Worker, by: timedelta, answers: bool, span: timedelta) -> None:
        """What is sent straight to its address, or the answer to it, comes so much later."""
        serve = worker.direct

        def held(node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
            if answers:
                serve(node, method, path, body, lambda *got: self.world.later(by, lambda: reply(*got)))
            else:
                self.world.later(by, lambda: serve(node, method, path, body, reply))

        self._between(worker, span, held)

    def _shut(self, worker: Worker, span: timedelta) -> None:
        """Only what is sent straight to its address does not reach it."""
        self._between(worker, span, lambda *asked: None)

    def _between(self, worker: Worker, span: timedelta, do: Callable[..., None]) -> None:
        """For a while what is sent straight to a machine goes another way. Several at a time don't undo each other: put
        back in the order in which they began, the second left the first in force for good."""
        serve, until = worker.direct, self.world.now + span

        def direct(node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
            (do if self.world.now < until else serve)(node, method, path, body, reply)

        worker.direct = direct  # type: ignore[method-assign]

    def _submit(self, name: str, named: Words) -> None:
        kind = named.get("kind", "batch")
        spec: Json = {
            "nameId": name, "cohort": "c", "owner": named["team"], "shape": kind,
            "urgency": named.get("priority", "production" if kind == "service" else "normal"),
            "portions": int(named.get("tasks", "1")), "cores": float(named.get("cpus", "1")), "cards": 0.0,
            "memoryGb": float(named.get("memory", "1")), "recipe": named.get("image", "i"),
            "imageGb": float(named.get("gb", "1")), "flavors": None, "district": named.get("zone"),
            "oneZone": named.get("one_zone") == "yes", "apart": named.get("spread") == "yes",
            "leftovers": named.get("spot") == "yes", "expectedS": float(named.get("run", "20")),
            "snapshotS": float(named.get("checkpoint", "0")), "stashS": float(named.get("save", "0")), "dueS": None,
            "runS": float(named.get("run", "20")), "broken": named.get("broken") == "yes",
        }  # fmt: skip
        user = self.users.get(name)
        if user is None:
            self.jobs[name] = spec
            user = self.users[name] = User(self.world, self.controllers, self.oracle, spec)
        self.oracle.submit_sent(name)
        user.submit()

    def _several(self, names: list[str], named: Words) -> list[Worker]:
        """The machines named, and the busiest ones if a count is named too."""
        most = sorted(self.cloud.machines.values(), key=lambda worker: (-len(worker.tasks), worker.name))
        return [self._worker(name) for name in names] + most[: int(named.get("count", "0"))]

    # What must hold

    def _expect(self, parts: list[str]) -> None:
        plain, named = _words(parts)
        what, ok = " ".join(parts), False
        if plain[0] == "rules":
            return
        if plain[0] in self.users:
            user = self.users[plain[0]]
            ok = self._expect_job(plain[0], user, plain[1:], named)
        elif plain[0] == "machines":
            up = sum(1 for worker in self.cloud.machines.values() if worker.up)
            ok = _compare(up, plain[1], float(plain[2]))
            what += f" (are {up})"
        elif plain[0] == "rentals":
            ok = _compare(self.cloud.rentals, plain[1], float(plain[2]))
            what += f" (were {self.cloud.rentals})"
        elif plain[0] == "starts":
            ok = _compare(len(self.oracle.starts), plain[1], float(plain[2]))
            what += f" (were {len(self.oracle.starts)})"
        elif plain[0] == "refusals":
            ok = _compare(self.state.refusals, plain[1], float(plain[2]))
            what += f" (were {self.state.refusals})"
        elif plain[0] == "refused":
            answers = [status for user in self.users.values() for _, _, status, _ in user.answers]
            count = answers.count(int(plain[1]))
            ok = _compare(count, plain[2], float(plain[3]))
            what += f" (were {count})"
        elif plain[0] == "ghosts":
            # Tasks that the records place on machines which are no more.
            rows = [
                row for key, entry in self.state.keys.items() if key.startswith("g/p/") for row in entry[0]["tasks"]
            ]
            ghosts = sum(1 for row in rows if len(row) > 2 and row[2] and row[2] not in self.cloud.machines)
            ok = _compare(ghosts, plain[1], float(plain[2]))
            what += f" (are {ghosts})"
        elif plain[0] == "silence":
            # The longest time in which questions about a job went unanswered, all troubles being over.
            longest = max(self.oracle.longest_silence.values(), default=0.0)
            ok = _compare(longest, plain[1], float(plain[2]))
            what += f" (was {longest:.1f})"
        elif plain[0] == "starts-after-cancel":
            count = len(self.oracle.starts_after_cancel)
            ok = _compare(count, plain[1], float(plain[2]))
            what += f" (were {count})"
        elif plain[0] == "orders":
            ok = self.orders == [int(status) for status in plain[1:]]
            what += f" (were {self.orders})"
        elif plain[0] == "epoch":
            number = self.state.keys["g/epoch"][0]["number"]
            ok = _compare(number, plain[1], float(plain[2]))
            what += f" (is {number})"
        elif plain[0] == "keys":
            count = sum(1 for key in self.state.keys if key.startswith(plain[1]))
            ok = _compare(count, plain[2], float(plain[3]))
            what += f" (are {count})"
        else:
            raise ValueError(f"unknown expectation {plain[0]}")
        if not ok:
            self.failures.append(what)

    def _expect_job(self, name: str, user: User, plain: list[str], named: Words) -> bool:
        starts = [start for start in self.oracle.starts if start[1][0] == name]
        match plain[0]:
            case "done":
                at = self.oracle.done_at.get(name)
                return self.oracle.told.get(name) == "done" and (
                    "by" not in named or (at is not None and at <= float(named["by"]))
                )
            case "aborted":
                return self.oracle.told.get(name) == "aborted"
            case "told":
                return self.oracle.told.get(name) == plain[1]
            case "status":
                return any(status == int(plain[1]) for _, _, status, _ in user.answers)
            case "starts":
                return _compare(len(starts), plain[1], float(plain[2]))
            case "running":
                here = sum(1 for key, places in self.oracle.where.items() if key[0] == name and places)
                return _compare(here, plain[1], float(plain[2]))
            case "started":
                return len(starts) >= self.jobs[name]["portions"] and starts[-1][0] <= float(named["by"])
            case "zone":
                return {self.oracle.zones[start[2]] for start in starts} == {plain[1]}
            case "reason":
                return plain[1] in user.last_reason
            case "machines":
                return _compare(len({start[2] for start in starts}), plain[1], float(plain[2]))
        raise ValueError(f"unknown expectation {plain[0]}")


def _compare(value: float, sign: str, bound: float) -> bool:
    return {"<=": value <= bound, ">=": value >= bound, "is": value == bound}[sign]


def play(path: Path, seed: int) -> Scenario:
    return Scenario(path.read_text(encoding="utf-8"), seed).run()
