"""Runs a controller: connects the core, which does no I/O, to sockets and timers."""

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

#: Maximum time between two steps of the core.
TICK_INTERVAL = timedelta(milliseconds=100)
#: How long the state service may keep a watch open without changes.
WATCH_BLOCK_TIME = timedelta(seconds=10)
CONNECT_TIMEOUT = timedelta(seconds=1)
#: Requests without a reply from the core for this long fail with status 503.
REPLY_TIMEOUT = timedelta(seconds=4.5)
#: Requests of other controllers by path. All of them use POST.
PEER_REQUESTS = {
    peers.ENDED_ATTEMPTS_PATH: RequestKind.ANNOUNCE_ENDED_ATTEMPTS,
    peers.MACHINE_ANNOUNCEMENT_PATH: RequestKind.ANNOUNCE_MACHINES,
    peers.REPORTING_QUERY_PATH: RequestKind.QUERY_REPORTING,
    peers.CONSENT_PATH: RequestKind.REQUEST_CONSENT,
}
#: Requests of operators by path, for the paths that allow only GET.
OPERATOR_QUERIES = {
    operators.VIEW_PATH: RequestKind.GET_CONTROLLER_STATUS,
    operators.ADMISSION_PATH: RequestKind.GET_ADMISSION_STATUS,
}
#: Maximum number of events in one step of the core.
MAX_BATCH_EVENTS = 256


def read_clock() -> ClockReading:
    """Returns the monotonic and the wall-clock time."""
    return ClockReading(timedelta(seconds=time.monotonic()), datetime.now(UTC))


class ControllerService:
    """Runs one controller: passes requests to its core and executes the effects that the core returns."""

    def __init__(self, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.platform = platform
        self.core = Core(platform, operator_settings)
        max_connections = platform.cluster.limits.max_connections
        # Most of the connections are reserved for users and workers, some for outgoing calls, and a few for peers and
        # operators.
        self._server = Server(self._handle, max(16, max_connections * 6 // 10), wire.MAX_BODY_BYTES)
        self._peer_server = Server(self._handle_peer, max(4, max_connections // 20), wire.MAX_BODY_BYTES)
        self._state_client = Client(max(4, min(24, max_connections // 20)), CONNECT_TIMEOUT)
        self._watch_client = Client(2, CONNECT_TIMEOUT)
        self._cloud_client = Client(4, CONNECT_TIMEOUT)
        self._worker_client = Client(1, CONNECT_TIMEOUT)
        self._peer_client = Client(2, CONNECT_TIMEOUT)
        self._worker_limiter = anyio.CapacityLimiter(max(8, max_connections // 8))
        self._pending_requests: dict[int, tuple[Callable[[Reply], None], timedelta]] = {}
        self._last_request_id = 0
        self._state_addr = parse_address(platform.services.state)
        self._cloud_addr = parse_address(platform.services.cloud)
        self._event_sender: MemoryObjectSendStream[Event]
        self._event_receiver: MemoryObjectReceiveStream[Event]
        self._task_group: anyio.abc.TaskGroup

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Runs the controller until cancelled; calls ``started`` once it listens."""
        self._event_sender, self._event_receiver = anyio.create_memory_object_stream[Event](math.inf)
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            await task_group.start(self._server.serve, *parse_address(self.platform.listen))
            if self.platform.peer_listen:
                await task_group.start(self._peer_server.serve, *parse_address(self.platform.peer_listen))
            log.info("%s listens on %s", self.platform.name, self.platform.listen)
            started()
            await self._run_core()

    # Core loop -----------------------------------------------------------------------------------------------

    async def _run_core(self) -> None:
        """Passes queued events to the core in batches, at least once per tick, and executes the returned effects."""
        next_tick_at = read_clock().monotonic
        while True:
            events: list[Event] = []
            wait_s = (next_tick_at - read_clock().monotonic).total_seconds()
            if wait_s > 0:
                with anyio.move_on_after(wait_s):
                    events.append(await self._event_receiver.receive())
            else:
                await anyio.lowlevel.checkpoint()
            while len(events) < MAX_BATCH_EVENTS:
                try:
                    events.append(self._event_receiver.receive_nowait())
                except anyio.WouldBlock:
                    break
            now = read_clock()
            # Every step does the periodic work of a tick as well, so a step shortly before the next tick replaces it.
            if now.monotonic >= next_tick_at - TICK_INTERVAL / 2:
                next_tick_at = now.monotonic + TICK_INTERVAL
                self._expire_requests(now.monotonic)
            for effect in self.core.step(now, events):
                self._execute(effect)

    def _expire_requests(self, now: timedelta) -> None:
        """Fails requests that have waited for ``REPLY_TIMEOUT``.

        A scan per tick is cheaper than a timer per request, since few requests expire.
        """
        expired = [
            request_id
            for request_id, (_, received_at) in self._pending_requests.items()
            if now - received_at > REPLY_TIMEOUT
        ]
        for request_id in expired:
            complete, _ = self._pending_requests.pop(request_id)
            complete(Reply(request_id, 503, wire.encode(wire.ErrorReply("too slow")), 1))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Reply):
            pending = self._pending_requests.pop(effect.request_id, None)
            if pending is not None:
                pending[0](effect)
        elif isinstance(effect, StartWatch):
            self._task_group.start_soon(self._run_watch, effect)
        else:
            self._task_group.start_soon(self._run_call, effect)

    async def _run_call(self, call: OutgoingCall) -> None:
        if call.target is Target.STATE:
            response = await self._state_client.request(
                self._state_addr, call.method, call.path, call.body, call.timeout
            )
        elif call.target is Target.CLOUD:
            response = await self._cloud_client.request(
                self._cloud_addr, call.method, call.path, call.body, call.timeout
            )
        elif call.target is Target.PEER:
            addr = parse_address(call.addr)
            response = await self._peer_client.request(addr, call.method, call.path, call.body, call.timeout)
        else:
            async with self._worker_limiter:
                addr = parse_address(call.addr)
                response = await self._worker_client.request(addr, call.method, call.path, call.body, call.timeout)
        await self._event_sender.send(CallResult(call.call_id, response.status, response.body))

    async def _run_watch(self, watch: StartWatch) -> None:
        path = wire.watch_path(rec.ROOT, watch.after, int(WATCH_BLOCK_TIME.total_seconds() * 1000))
        response = await self._watch_client.request(
            self._state_addr, "GET", path, None, WATCH_BLOCK_TIME + timedelta(seconds=3)
        )
        event = WatchResult(failed=True)
        if response.status == 410:
            event = WatchResult(gap=True)
        elif response.status == 200:
            try:
                event = WatchResult(wire.decode(wire.WatchReply, response.body))
            except msgspec.DecodeError as error:
                log.error("cannot decode the response to a watch: %s", error)
        await self._event_sender.send(event)

    # Requests ------------------------------------------------------------------------------------------------

    async def _send_to_core(self, kind: RequestKind, body: bytes = b"", job_id: str = "") -> Response:
        """Passes a request to the core and waits for its reply."""
        self._last_request_id += 1
        request_id = self._last_request_id
        done = anyio.Event()
        replies: list[Reply] = []

        def complete(reply: Reply) -> None:
            replies.append(reply)
            done.set()

        self._pending_requests[request_id] = (complete, read_clock().monotonic)
        self._event_sender.send_nowait(IncomingRequest(request_id, kind, body, job_id))
        try:
            await done.wait()
        finally:
            self._pending_requests.pop(request_id, None)
        headers = (("Retry-After", str(replies[0].retry_after_s)),) if replies[0].retry_after_s is not None else ()
        return Response(replies[0].status, replies[0].body, headers)

    async def _handle(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        if path == wire.REPORT_PATH:
            return (
                await self._send_to_core(RequestKind.REPORT, request.body)
                if request.method == "POST"
                else _method_not_allowed("POST")
            )
        if path == wire.HEALTH_PATH:
            return (
                await self._send_to_core(RequestKind.HEALTH) if request.method == "GET" else _method_not_allowed("GET")
            )
        if path == wire.SUBMIT_PATH:
            return (
                await self._send_to_core(RequestKind.SUBMIT, request.body)
                if request.method == "POST"
                else _method_not_allowed("POST")
            )
        if path.startswith(wire.SUBMIT_PATH + "/"):
            parts = path[len(wire.SUBMIT_PATH) + 1 :].split("/")
            if len(parts) == 1 and parts[0]:
                if request.method != "GET":
                    return _method_not_allowed("GET")
                return await self._send_to_core_for_job(RequestKind.POLL, parts[0])
            if len(parts) == 2 and parts[1] == wire.CANCEL_SUFFIX:
                if request.method != "POST":
                    return _method_not_allowed("POST")
                return await self._send_to_core_for_job(RequestKind.CANCEL, parts[0])
        return _error_response(404, "no such path")

    async def _send_to_core_for_job(self, kind: RequestKind, job_id: str) -> Response:
        # Only valid job ids are looked up, since other ids do not form a valid key of the state service.
        return (
            await self._send_to_core(kind, b"", job_id)
            if wire.JOB_ID.match(job_id)
            else _error_response(404, "no such job")
        )

    async def _handle_peer(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        peer_request = PEER_REQUESTS.get(path)
        if peer_request is not None:
            return (
                await self._send_to_core(peer_request, request.body)
                if request.method == "POST"
                else _method_not_allowed("POST")
            )
        if path == operators.CORDONS_PATH:
            if request.method not in ("GET", "POST"):
                return _method_not_allowed("GET, POST")
            return await self._send_to_core(
                RequestKind.LIST_CORDONS if request.method == "GET" else RequestKind.CHANGE_CORDON, request.body
            )
        query = OPERATOR_QUERIES.get(path)
        if query is None:
            return _error_response(404, "no such path")
        return await self._send_to_core(query) if request.method == "GET" else _method_not_allowed("GET")


def _error_response(status: int, error: str, retry_after_s: int | None = None) -> Response:
    headers = (("Retry-After", str(retry_after_s)),) if retry_after_s is not None else ()
    return Response(status, wire.encode(wire.ErrorReply(error)), headers)


def _method_not_allowed(allowed: str) -> Response:
    return Response(405, wire.encode(wire.ErrorReply("wrong method")), (("Allow", allowed),))
