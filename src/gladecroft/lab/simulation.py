"""Virtual time, the network, and the controllers that run in it."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Protocol

import msgspec

from gladecroft.coordination.core import Core
from gladecroft.coordination.events import (
    CallResult,
    ClockReading,
    Event,
    IncomingRequest,
    OutgoingCall,
    Reply,
    RequestKind,
    StartWatch,
    Target,
    WatchResult,
)
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from gladecroft.service import PEER_REQUESTS

START = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(milliseconds=100)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


class World:
    """A heap of things to do, and the cuts between hosts."""

    def __init__(self, seed: int) -> None:
        self.now = timedelta(seconds=1000)
        self.origin = self.now
        self.random = random.Random(seed)
        self._heap: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = itertools.count()
        #: What each message takes more than usual, at the most.
        self.slow_links = timedelta()
        self._cuts: list[tuple[Callable[[str, str], bool], str, list[Callable[[], None]]]] = []

    def elapsed(self) -> float:
        return (self.now - self.origin).total_seconds()

    def later(self, delay: timedelta, do: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay, next(self._order), do))

    def at(self, offset: timedelta, do: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (max(self.now, self.origin + offset), next(self._order), do))

    def run_until(self, offset: timedelta) -> None:
        end = self.origin + offset
        while self._heap and self._heap[0][0] <= end:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = end

    def latency(self) -> timedelta:
        usual = seconds(self.random.uniform(0.0005, 0.004))
        return usual + self.slow_links * self.random.random() if self.slow_links else usual

    def cut(self, matches: Callable[[str, str], bool], mode: str, span: timedelta) -> None:
        """Between the hosts that match, packets are lost or held back until the cut is over."""
        entry = (matches, mode, list[Callable[[], None]]())
        self._cuts.append(entry)

        def heal() -> None:
            self._cuts.remove(entry)
            for do in entry[2]:
                self.later(self.latency(), do)

        self.later(span, heal)

    def reachable(self, one: str, other: str) -> bool:
        return not any(matches(one, other) for matches, _, _ in self._cuts)

    def send(self, source: str, target: str, do: Callable[[], None]) -> None:
        for matches, mode, held in self._cuts:
            if matches(source, target):
                if mode == "hold":
                    held.append(do)
                return
        self.later(self.latency(), do)


class Controller:
    """One controller: a core, its calls and their time-outs. Dead between a crash and its restart."""

    def __init__(self, world: World, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.world = world
        self.platform = platform
        self.operator_settings = operator_settings
        self.name = platform.name
        self.state: StateLike | None = None
        self.cloud: CloudLike | None = None
        self.workers: dict[str, WorkerLike] = {}
        self.peers: dict[str, Controller] = {}
        self.core: Core | None = None
        self.life = 0
        self._numbers = 0
        self._waiting: dict[int, Callable[[Reply], None]] = {}
        self._events: list[Event] = []
        self._stepping = False
        self._frozen = False
        self.drift = 1 + world.random.uniform(0, 0.0005)

    @property
    def alive(self) -> bool:
        return self.core is not None

    def start(self) -> None:
        self.life += 1
        self.core = Core(self.platform, self.operator_settings)
        self._waiting.clear()
        self._events.clear()
        self._stepping = False
        self._tick(self.life)

    def crash(self) -> None:
        self.core = None
        self.life += 1
        self._frozen = False

    def freeze(self, span: timedelta) -> None:
        """It stands still while its clocks run on; what comes meanwhile waits for it."""
        life = self.life
        self._frozen = True

        def wake() -> None:
            if life == self.life:
                self._frozen = False
                if self._stepping:
                    self._step(life)

        self.world.later(span, wake)

    def _tick(self, life: int) -> None:
        if life == self.life and self.core is not None:
            self._schedule()
            self.world.later(TICK, lambda: self._tick(life))

    def ask(self, verb: RequestKind, body: bytes, job: str, then: Callable[[Reply], None]) -> None:
        if self.core is None:
            return
        self._numbers += 1
        self._waiting[self._numbers] = then
        self._put(self.life, IncomingRequest(self._numbers, verb, body, job))

    def _put(self, life: int, event: Event) -> None:
        if life == self.life and self.core is not None:
            self._events.append(event)
            self._schedule()

    def _schedule(self) -> None:
        if not self._stepping:
            self._stepping = True
            life = self.life
            self.world.later(timedelta(milliseconds=1), lambda: self._step(life))

    def _step(self, life: int) -> None:
        if life != self.life or self.core is None or self._frozen:
            return
        self._stepping = False
        events, self._events = self._events, []
        steady = self.world.now * self.drift
        clock = ClockReading(steady, START + self.world.now)
        for effect in self.core.step(clock, events):
            if isinstance(effect, Reply):
                then = self._waiting.pop(effect.request_id, None)
                if then is not None:
                    then(effect)
            elif isinstance(effect, StartWatch):
                self._watch(effect)
            else:
                self._call(effect)

    def _call(self, call: OutgoingCall) -> None:
        life = self.life
        open_calls = {"open": True}

        def answer(status: int, body: bytes) -> None:
            if open_calls["open"]:
                open_calls["open"] = False
                self._put(life, CallResult(call.call_id, status, body))

        self.world.later(call.timeout, lambda: answer(0, b""))
        assert self.state is not None and self.cloud is not None
        if call.target is Target.PEER:
            peer = self.peers[call.addr]
            verb = PEER_REQUESTS[call.path]

            def back(result: Reply) -> None:
                self.world.send(peer.name, self.name, lambda: answer(result.status, result.body))

            self.world.send(self.name, peer.name, lambda: peer.ask(verb, call.body or b"", "", back))
            return
        if call.target is Target.WORKER:
            worker = self.workers.get(call.addr)
            if worker is None:
                self.world.later(seconds(0.001), lambda: answer(-1, b""))
                return
            target: str = worker.name
            run = worker.direct
        elif call.target is Target.STATE:
            target, run = "state", self.state.serve
        else:
            target, run = "cloud", self.cloud.serve

        def reply(status: int, body: bytes) -> None:
            self.world.send(target, self.name, lambda: answer(status, body))

        self.world.send(self.name, target, lambda: run(self.name, call.method, call.path, call.body or b"", reply))

    def _watch(self, watch: StartWatch) -> None:
        life = self.life
        state = self.state
        assert state is not None

        def answer(status: int, body: bytes) -> None:
            event = WatchResult(failed=True)
            if status == 200:
                event = WatchResult(wire.decode(wire.WatchReply, body))
            elif status == 410:
                event = WatchResult(gap=True)
            self._put(life, event)

        done = {"open": True}

        def once(status: int, body: bytes) -> None:
            if done["open"]:
                done["open"] = False
                answer(status, body)

        def reply(status: int, body: bytes) -> None:
            self.world.send("state", self.name, lambda: once(status, body))

        self.world.later(seconds(13), lambda: once(0, b""))
        self.world.send(self.name, "state", lambda: state.watch(self.name, watch.after, seconds(10), reply))


Replier = Callable[[int, bytes], None]


class Front(Protocol):
    """A controller as its users and workers see it."""

    @property
    def name(self) -> str: ...

    @property
    def alive(self) -> bool: ...

    def ask(self, verb: RequestKind, body: bytes, job: str, then: Callable[[Reply], None]) -> None: ...


class StateLike:
    def serve(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None: ...

    def watch(self, node: str, after: int, wait: timedelta, reply: Replier) -> None: ...


class CloudLike:
    def serve(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None: ...


class WorkerLike:
    name: str

    def direct(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None: ...


def raw(value: object) -> bytes:
    return msgspec.json.encode(value)
