"""HTTP/1.1 server on anyio and h11."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import lru_cache
from http import HTTPStatus

import anyio
import anyio.abc
import h11
import msgspec

log = logging.getLogger(__name__)

#: Time within which the head of the next request has to arrive on an open connection.
IDLE_TIMEOUT = timedelta(seconds=120)
#: Time within which a request's body has to arrive after its head.
BODY_TIMEOUT = timedelta(seconds=10)


class Request(msgspec.Struct):
    """A received request; ``target`` is its path and query."""

    method: str
    target: str
    body: bytes


class Response(msgspec.Struct):
    """A response to send; a body that is not empty has to be encoded JSON."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response]]


class BodyTooLargeError(Exception):
    """The request's body exceeds the size limit."""


class Server:
    """Serves one listening address; new connections beyond ``max_connections`` are closed."""

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self.open_connections = 0

    async def serve(
        self, host: str, port: int, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts connections until cancelled; reports the bound port once it listens."""
        async with await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=256) as listener:
            task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
            await listener.serve(self._handle_connection)

    async def _handle_connection(self, stream: anyio.abc.SocketStream) -> None:
        if self.open_connections >= self._max_connections:
            log.debug("connection rejected: %d connections are open", self.open_connections)
            await stream.aclose()
            return
        self.open_connections += 1
        try:
            async with stream:
                await self._serve_connection(stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError, TimeoutError):
            pass
        except h11.ProtocolError as error:
            log.debug("connection closed after a protocol error: %s", error)
        finally:
            self.open_connections -= 1

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        # One scope per connection, whose deadline is moved for each request: creating a scope per request is a notable
        # part of a request's cost.
        with anyio.CancelScope() as scope:
            await self._serve_requests(h11.Connection(h11.SERVER), stream, scope)

    async def _serve_requests(
        self, conn: h11.Connection, stream: anyio.abc.SocketStream, scope: anyio.CancelScope
    ) -> None:
        while True:
            try:
                scope.deadline = anyio.current_time() + IDLE_TIMEOUT.total_seconds()
                request = await _next_event(conn, stream)
                if not isinstance(request, h11.Request):
                    return
                if conn.their_state is h11.SEND_BODY:
                    scope.deadline = anyio.current_time() + BODY_TIMEOUT.total_seconds()
                body = await self._read_body(conn, stream, request)
            except BodyTooLargeError:
                response = _error_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
                await _send_response(conn, stream, response, close=True)
                return
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await _send_response(
                        conn, stream, _error_response(error.error_status_hint, "malformed request"), close=True
                    )
                return
            scope.deadline = math.inf
            response = await self._handler(
                Request(request.method.decode("ascii"), request.target.decode("latin-1"), body)
            )
            await _send_response(conn, stream, response, close=False)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_body(self, conn: h11.Connection, stream: anyio.abc.SocketStream, request: h11.Request) -> bytes:
        for name, value in request.headers:
            if name == b"content-length" and int(value) > self._max_body_bytes:
                raise BodyTooLargeError
        if conn.they_are_waiting_for_100_continue:
            await stream.send(conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await _next_event(conn, stream)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body_bytes:
                    raise BodyTooLargeError
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise anyio.EndOfStream


def _error_response(status: int, text: str) -> Response:
    return Response(status, msgspec.json.encode({"error": text}))


_Event = h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]


async def _next_event(conn: h11.Connection, stream: anyio.abc.SocketStream) -> _Event:
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            data = await stream.receive(65536)
        except anyio.EndOfStream:
            data = b""
        conn.receive_data(data)


@lru_cache(maxsize=2048)
def _response_head(status: int, length: int, extra: tuple[tuple[str, str], ...], close: bool) -> h11.Response:
    """Returns the head of a response. Cached, since most responses are replies to machines' reports with equal heads,
    and validating the headers took a fifth of a request's processing time."""
    headers = [("Content-Length", str(length)), *extra]
    if length:
        headers.append(("Content-Type", "application/json"))
    if close:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers)


async def _send_response(
    conn: h11.Connection, stream: anyio.abc.SocketStream, response: Response, *, close: bool
) -> None:
    data = conn.send(_response_head(response.status, len(response.body), response.headers, close)) or b""
    if response.body:
        data += conn.send(h11.Data(data=response.body)) or b""
    data += conn.send(h11.EndOfMessage()) or b""
    await stream.send(data)
