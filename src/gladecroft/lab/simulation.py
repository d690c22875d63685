"""A discrete-event simulation: virtual time, the network between hosts, and controllers that run in it."""

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
from gladecroft.lab.late_copies import CopiedRequests, LateCopies
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from gladecroft.service import PEER_REQUESTS

#: Wall-clock time at virtual time 0.
WALL_CLOCK_START = datetime(2026, 1, 1, tzinfo=UTC)
TICK_INTERVAL = timedelta(milliseconds=100)


def seconds(value: float) -> timedelta:
    """Return a duration of ``value`` seconds."""
    return timedelta(seconds=value)


class Simulation:
    """A queue of callbacks in virtual time, and a network that delays messages and can be partitioned."""

    def __init__(self, seed: int) -> None:
        self.now = timedelta(seconds=1000)
        self.start_time = self.now
        self.rng = random.Random(seed)
        self._heap: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        #: Upper bound of the latency that is added to each message.
        self.max_extra_latency = timedelta()
        self.late_copies = LateCopies(self.rng, self.call_later)
        #: For each partition: whether it separates two hosts, its mode and the messages that it holds back.
        self._partitions: list[tuple[Callable[[str, str], bool], str, list[Callable[[], None]]]] = []

    def elapsed(self) -> float:
        """Return the virtual time since the start, in seconds."""
        return (self.now - self.start_time).total_seconds()

    def call_later(self, delay: timedelta, callback: Callable[[], None]) -> None:
        """Run the callback after the delay."""
        heapq.heappush(self._heap, (self.now + delay, next(self._sequence), callback))

    def call_at(self, offset: timedelta, callback: Callable[[], None]) -> None:
        """Run the callback at this time since the start, or immediately if the time has passed."""
        heapq.heappush(self._heap, (max(self.now, self.start_time + offset), next(self._sequence), callback))

    def run_until(self, offset: timedelta) -> None:
        """Run every callback that is due up to this time since the start."""
        end = self.start_time + offset
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end

    def latency(self) -> timedelta:
        """Return a random network latency for one message."""
        base = seconds(self.rng.uniform(0.0005, 0.004))
        return base + self.max_extra_latency * self.rng.random() if self.max_extra_latency else base

    def partition(self, separates: Callable[[str, str], bool], mode: str, duration: timedelta) -> None:
        """Separate hosts for the duration; ``separates`` tells whether a message from a source to a target is affected.

        Mode ``hold`` delivers the affected messages when the partition ends, any other mode drops them.
        """
        partition = (separates, mode, list[Callable[[], None]]())
        self._partitions.append(partition)

        def heal() -> None:
            self._partitions.remove(partition)
            for deliver in partition[2]:
                self.call_later(self.latency(), deliver)

        self.call_later(duration, heal)

    def reachable(self, source: str, target: str) -> bool:
        """Return whether no partition affects messages from the source to the target."""
        return not any(separates(source, target) for separates, _, _ in self._partitions)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a message after a random latency; if a partition separates the hosts, drop it or hold it back."""
        for separates, mode, held in self._partitions:
            if separates(source, target):
                if mode == "hold":
                    held.append(deliver)
                return
        self.call_later(self.latency(), deliver)


class SimulatedController:
    """Runs a controller's core and performs its calls, including their timeouts. ``core`` is None while it is down."""

    def __init__(self, sim: Simulation, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.sim = sim
        self.platform = platform
        self.operator_settings = operator_settings
        self.name = platform.name
        self.state: StateServer | None = None
        self.cloud: CloudServer | None = None
        self.workers: dict[str, WorkerServer] = {}
        self.peers_by_addr: dict[str, SimulatedController] = {}
        self.core: Core | None = None
        self.run_number = 0
        self._last_request_id = 0
        self._reply_callbacks: dict[int, Callable[[Reply], None]] = {}
        self._pending_events: list[Event] = []
        self._step_scheduled = False
        self._frozen = False
        self.clock_rate = 1 + sim.rng.uniform(0, 0.0005)

    @property
    def alive(self) -> bool:
        return self.core is not None

    def start(self) -> None:
        """Start with an empty core, like a new process."""
        self.run_number += 1
        self.core = Core(self.platform, self.operator_settings)
        self._reply_callbacks.clear()
        self._pending_events.clear()
        self._step_scheduled = False
        self._tick(self.run_number)

    def crash(self) -> None:
        """Stop immediately. Calls that are in flight complete without effect."""
        self.core = None
        self.run_number += 1
        self._frozen = False

    def freeze(self, duration: timedelta) -> None:
        """Suspend the controller while its clocks continue to run. It processes queued events when it resumes."""
        run_number = self.run_number
        self._frozen = True

        def resume() -> None:
            if run_number == self.run_number:
                self._frozen = False
                if self._step_scheduled:
                    self._step(run_number)

        self.sim.call_later(duration, resume)

    def _tick(self, run_number: int) -> None:
        if run_number == self.run_number and self.core is not None:
            self._schedule_step()
            self.sim.call_later(TICK_INTERVAL, lambda: self._tick(run_number))

    def handle_request(self, kind: RequestKind, body: bytes, job_id: str, on_reply: Callable[[Reply], None]) -> None:
        """Pass a request to the core. ``on_reply`` is never called if the controller is down or crashes first."""
        if self.core is None:
            return
        self._last_request_id += 1
        self._reply_callbacks[self._last_request_id] = on_reply
        self._enqueue_event(self.run_number, IncomingRequest(self._last_request_id, kind, body, job_id))

    def _enqueue_event(self, run_number: int, event: Event) -> None:
        if run_number == self.run_number and self.core is not None:
            self._pending_events.append(event)
            self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._step_scheduled:
            self._step_scheduled = True
            run_number = self.run_number
            self.sim.call_later(timedelta(milliseconds=1), lambda: self._step(run_number))

    def _step(self, run_number: int) -> None:
        if run_number != self.run_number or self.core is None or self._frozen:
            return
        self._step_scheduled = False
        events, self._pending_events = self._pending_events, []
        monotonic = self.sim.now * self.clock_rate
        clock = ClockReading(monotonic, WALL_CLOCK_START + self.sim.now)
        for effect in self.core.step(clock, events):
            if isinstance(effect, Reply):
                on_reply = self._reply_callbacks.pop(effect.request_id, None)
                if on_reply is not None:
                    on_reply(effect)
            elif isinstance(effect, StartWatch):
                self._watch(effect)
            else:
                self._call(effect)

    def _call(self, call: OutgoingCall) -> None:
        run_number = self.run_number
        call_state = {"open": True}

        def complete(status: int, body: bytes) -> None:
            if call_state["open"]:
                call_state["open"] = False
                self._enqueue_event(run_number, CallResult(call.call_id, status, body))

        self.sim.call_later(call.timeout, lambda: complete(0, b""))
        assert self.state is not None and self.cloud is not None
        if call.target is Target.PEER:
            peer = self.peers_by_addr[call.addr]
            kind = PEER_REQUESTS[call.path]

            def deliver_to_peer(on_reply: Callable[[Reply], None]) -> None:
                self.sim.send(self.name, peer.name, lambda: peer.handle_request(kind, call.body or b"", "", on_reply))

            def send_back(result: Reply) -> None:
                self.sim.send(peer.name, self.name, lambda: complete(result.status, result.body))
                self.sim.late_copies.request_answered(
                    CopiedRequests.PEERS, result.status, lambda: deliver_to_peer(lambda reply: None)
                )

            deliver_to_peer(send_back)
            return
        if call.target is Target.WORKER:
            worker = self.workers.get(call.addr)
            if worker is None:
                self.sim.call_later(seconds(0.001), lambda: complete(-1, b""))
                return
            target: str = worker.name
            server: WorkerServer | StateServer | CloudServer = worker
            copied = CopiedRequests.MACHINES
        elif call.target is Target.STATE:
            target, server, copied = "state", self.state, CopiedRequests.STATE
        else:
            target, server, copied = "cloud", self.cloud, CopiedRequests.CLOUD

        def deliver(on_reply: ReplyCallback) -> None:
            self.sim.send(
                self.name,
                target,
                lambda: server.serve(self.name, call.method, call.path, call.body or b"", on_reply),
            )

        def reply(status: int, body: bytes) -> None:
            self.sim.send(target, self.name, lambda: complete(status, body))
            if call.method != "GET":
                self.sim.late_copies.request_answered(copied, status, lambda: deliver(lambda status, body: None))

        deliver(reply)

    def _watch(self, watch: StartWatch) -> None:
        run_number = self.run_number
        state = self.state
        assert state is not None

        def complete(status: int, body: bytes) -> None:
            event = WatchResult(failed=True)
            if status == 200:
                event = WatchResult(wire.decode(wire.WatchReply, body))
            elif status == 410:
                event = WatchResult(gap=True)
            self._enqueue_event(run_number, event)

        watch_state = {"open": True}

        def complete_once(status: int, body: bytes) -> None:
            if watch_state["open"]:
                watch_state["open"] = False
                complete(status, body)

        def reply(status: int, body: bytes) -> None:
            self.sim.send("state", self.name, lambda: complete_once(status, body))

        self.sim.call_later(seconds(13), lambda: complete_once(0, b""))
        self.sim.send(self.name, "state", lambda: state.watch(self.name, watch.after, seconds(10), reply))


ReplyCallback = Callable[[int, bytes], None]


class ControllerEndpoint(Protocol):
    """A controller as users and workers see it."""

    @property
    def name(self) -> str: ...

    @property
    def alive(self) -> bool: ...

    def handle_request(
        self, kind: RequestKind, body: bytes, job_id: str, on_reply: Callable[[Reply], None]
    ) -> None: ...


class StateServer:
    """The state service as controllers see it. Methods pass their result to ``reply``: immediately, later or never.

    ``node`` is the name of the controller that sends the request, here and in the classes below.
    """

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None: ...

    def watch(self, node: str, after: int, timeout: timedelta, reply: ReplyCallback) -> None: ...


class CloudServer:
    """The cloud as controllers see it."""

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None: ...


class WorkerServer:
    """A worker as controllers see it."""

    name: str

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None: ...


def encode_json(value: object) -> bytes:
    """Return the value as JSON."""
    return msgspec.json.encode(value)
