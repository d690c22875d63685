"""The running controller: sockets and timers round the core."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from urllib.parse import urlsplit

import anyio
import anyio.abc
import msgspec
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.core import Core
from gladecroft.coordination.events import (
    CallResult,
    ClockReading,
    Effect,
    Event,
    IncomingRequest,
    OutgoingCall,
    Reply,
    RequestKind,
    StartWatch,
    Target,
    WatchResult,
)
from gladecroft.protocol import operators, peers, wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings, parse_address
from gladecroft.transport.client import Client
from gladecroft.transport.server import Request, Response, Server

log = logging.getLogger(__name__)

TICK = timedelta(milliseconds=100)
WATCH_WAIT = timedelta(seconds=10)
CONNECT_LIMIT = timedelta(seconds=1)
ANSWER_LIMIT = timedelta(seconds=4.5)
PEER_REQUESTS = {
    peers.ENDED_ATTEMPTS_PATH: RequestKind.ATTEMPTS_ENDED,
    peers.REPORTED_MACHINES_PATH: RequestKind.MACHINES_REPORTED,
    peers.REPORTING_MACHINES_PATH: RequestKind.QUERY_REPORTING,
    peers.CONSENT_PATH: RequestKind.CONSENT,
}
OPERATORS_READ = {operators.VIEW_PATH: RequestKind.VIEW, operators.ADMISSION_PATH: RequestKind.ADMISSION}
BATCH = 256


def clock() -> ClockReading:
    return ClockReading(timedelta(seconds=time.monotonic()), datetime.now(UTC))


class ControllerService:
    def __init__(self, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.platform = platform
        self.core = Core(platform, operator_settings)
        sockets = platform.cluster.limits.max_connections
        # Sockets: most for users and workers, some for what goes out, a few for siblings and operators.
        self._server = Server(self._handle, max(16, sockets * 6 // 10), wire.MAX_BODY_BYTES)
        self._peer_server = Server(self._handle_peer, max(4, sockets // 20), wire.MAX_BODY_BYTES)
        self._state = Client(max(4, min(24, sockets // 20)), CONNECT_LIMIT)
        self._watch = Client(2, CONNECT_LIMIT)
        self._cloud = Client(4, CONNECT_LIMIT)
        self._workers = Client(1, CONNECT_LIMIT)
        self._peers = Client(2, CONNECT_LIMIT)
        self._worker_limit = anyio.CapacityLimiter(max(8, sockets // 8))
        self._waiting: dict[int, tuple[Callable[[Reply], None], timedelta]] = {}
        self._numbers = 0
        self._state_addr = parse_address(platform.services.state)
        self._cloud_addr = parse_address(platform.services.cloud)
        self._send: MemoryObjectSendStream[Event]
        self._receive: MemoryObjectReceiveStream[Event]
        self._group: anyio.abc.TaskGroup

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[Event](math.inf)
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self._server.serve, *parse_address(self.platform.listen))
            if self.platform.peer_listen:
                await group.start(self._peer_server.serve, *parse_address(self.platform.peer_listen))
            log.info("%s listens on %s", self.platform.name, self.platform.listen)
            started()
            await self._own()

    # The owner -----------------------------------------------------------------------------------------------

    async def _own(self) -> None:
        """Drain the queue in batches into the core and carry out what it says."""
        due = clock().monotonic
        while True:
            events: list[Event] = []
            wait = (due - clock().monotonic).total_seconds()
            if wait > 0:
                with anyio.move_on_after(wait):
                    events.append(await self._receive.receive())
            else:
                await anyio.lowlevel.checkpoint()
            while len(events) < BATCH:
                try:
                    events.append(self._receive.receive_nowait())
                except anyio.WouldBlock:
                    break
            now = clock()
            # Every batch does what a tick does: soon after one, no other is needed.
            if now.monotonic >= due - TICK / 2:
                due = now.monotonic + TICK
                self._give_up(now.monotonic)
            for effect in self.core.step(now, events):
                self._carry_out(effect)

    def _give_up(self, now: timedelta) -> None:
        """Answer what has waited too long. Requests are few that do, so they have no timer each."""
        late = [number for number, (_, since) in self._waiting.items() if now - since > ANSWER_LIMIT]
        for number in late:
            then, _ = self._waiting.pop(number)
            then(Reply(number, 503, wire.encode(wire.ErrorReply("too slow")), 1))

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, Reply):
            waiting = self._waiting.pop(effect.request_id, None)
            if waiting is not None:
                waiting[0](effect)
        elif isinstance(effect, StartWatch):
            self._group.start_soon(self._do_watch, effect)
        else:
            self._group.start_soon(self._do_call, effect)

    async def _do_call(self, call: OutgoingCall) -> None:
        if call.target is Target.STATE:
            answer = await self._state.request(self._state_addr, call.method, call.path, call.body, call.timeout)
        elif call.target is Target.CLOUD:
            answer = await self._cloud.request(self._cloud_addr, call.method, call.path, call.body, call.timeout)
        elif call.target is Target.PEER:
            addr = parse_address(call.addr)
            answer = await self._peers.request(addr, call.method, call.path, call.body, call.timeout)
        else:
            async with self._worker_limit:
                addr = parse_address(call.addr)
                answer = await self._workers.request(addr, call.method, call.path, call.body, call.timeout)
        await self._send.send(CallResult(call.call_id, answer.status, answer.body))

    async def _do_watch(self, watch: StartWatch) -> None:
        path = wire.watch_path(rec.ROOT, watch.after, int(WATCH_WAIT.total_seconds() * 1000))
        answer = await self._watch.request(self._state_addr, "GET", path, None, WATCH_WAIT + timedelta(seconds=3))
        event = WatchResult(failed=True)
        if answer.status == 410:
            event = WatchResult(gap=True)
        elif answer.status == 200:
            try:
                event = WatchResult(wire.decode(wire.WatchReply, answer.body))
            except msgspec.DecodeError as error:
                log.error("the watch brought what can't be read: %s", error)
        await self._send.send(event)

    # Requests ------------------------------------------------------------------------------------------------

    async def _ask(self, verb: RequestKind, body: bytes = b"", job: str = "") -> Response:
        self._numbers += 1
        number = self._numbers
        done = anyio.Event()
        got: list[Reply] = []

        def then(reply: Reply) -> None:
            got.append(reply)
            done.set()

        self._waiting[number] = (then, clock().monotonic)
        self._send.send_nowait(IncomingRequest(number, verb, body, job))
        try:
            await done.wait()
        finally:
            self._waiting.pop(number, None)
        headers = (("Retry-After", str(got[0].retry_after)),) if got[0].retry_after is not None else ()
        return Response(got[0].status, got[0].body, headers)

    async def _handle(self, request: Request) -> Response:
        path = urlsplit(request.path).path
        if path == wire.REPORT_PATH:
            return (
                await self._ask(RequestKind.REPORT, request.body) if request.method == "POST" else _wrong_method("POST")
            )
        if path == wire.HEALTH_PATH:
            return await self._ask(RequestKind.HEALTH) if request.method == "GET" else _wrong_method("GET")
        if path == wire.SUBMIT_PATH:
            return (
                await self._ask(RequestKind.SUBMIT, request.body) if request.method == "POST" else _wrong_method("POST")
            )
        if path.startswith(wire.SUBMIT_PATH + "/"):
            parts = path[len(wire.SUBMIT_PATH) + 1 :].split("/")
            if len(parts) == 1 and parts[0]:
                if request.method != "GET":
                    return _wrong_method("GET")
                return await self._ask_job(RequestKind.POLL, parts[0])
            if len(parts) == 2 and parts[1] == wire.CANCEL_SUFFIX:
                if request.method != "POST":
                    return _wrong_method("POST")
                return await self._ask_job(RequestKind.CANCEL, parts[0])
        return _refusal(404, "no such path")

    async def _ask_job(self, verb: RequestKind, job: str) -> Response:
        # A name that no job can have is not looked up: it would be no key of the state service.
        return await self._ask(verb, b"", job) if wire.JOB_ID.match(job) else _refusal(404, "no such job")

    async def _handle_peer(self, request: Request) -> Response:
        path = urlsplit(request.path).path
        told = PEER_REQUESTS.get(path)
        if told is not None:
            return await self._ask(told, request.body) if request.method == "POST" else _wrong_method("POST")
        if path == operators.CORDONS_PATH:
            if request.method not in ("GET", "POST"):
                return _wrong_method("GET, POST")
            return await self._ask(
                RequestKind.LIST_CORDONS if request.method == "GET" else RequestKind.CHANGE_CORDON, request.body
            )
        shown = OPERATORS_READ.get(path)
        if shown is None:
            return _refusal(404, "no such path")
        return await self._ask(shown) if request.method == "GET" else _wrong_method("GET")


def _refusal(status: int, why: str, retry_after: int | None = None) -> Response:
    headers = (("Retry-After", str(retry_after)),) if retry_after is not None else ()
    return Response(status, wire.encode(wire.ErrorReply(why)), headers)


def _wrong_method(allowed: str) -> Response:
    return Response(405, wire.encode(wire.ErrorReply("wrong method")), (("Allow", allowed),))
