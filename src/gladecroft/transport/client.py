"""HTTP/1.1 client on anyio and h11 that reuses connections and limits their number per address."""

from __future__ import annotations

import logging
import select
from collections import deque
from datetime import timedelta
from functools import lru_cache

import anyio
import anyio.abc
import h11
import msgspec

log = logging.getLogger(__name__)

#: When the client knows this many addresses, it closes the idle connections to those without requests in flight before
#: it adds another one.
MAX_POOLED_ADDRESSES = 256


class ClientResponse(msgspec.Struct):
    """Outcome of a request: the HTTP status, or ``NOT_SENT`` or ``OUTCOME_UNKNOWN`` if no valid response arrived."""

    status: int
    body: bytes = b""


#: The request was certainly not sent.
NOT_SENT = -1
#: No valid response arrived; the server may have executed the request.
OUTCOME_UNKNOWN = 0


class _Connection:
    """An open connection and its protocol state."""

    __slots__ = ("stream", "protocol")

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)


class _AddressPool:
    """Idle connections to one address, and the limiter of requests in flight."""

    __slots__ = ("idle", "limiter")

    def __init__(self, size: int) -> None:
        self.idle: deque[_Connection] = deque()
        self.limiter = anyio.CapacityLimiter(size)


class Client:
    """Sends requests to any number of addresses.

    Network failures and invalid responses raise no exceptions; the status of the response reports them.
    """

    def __init__(self, max_per_address: int, connect_timeout: timedelta) -> None:
        self._max_per_address = max_per_address
        self._connect_timeout_s = connect_timeout.total_seconds()
        self._pools: dict[tuple[str, int], _AddressPool] = {}

    async def request(
        self, addr: tuple[str, int], method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> ClientResponse:
        """Sends a request and waits for its response, for no longer than ``timeout``."""
        pool = self._pools.get(addr)
        if pool is None:
            await self._close_idle()
            pool = self._pools.setdefault(addr, _AddressPool(self._max_per_address))
        sent = False
        with anyio.move_on_after(timeout.total_seconds()):
            async with pool.limiter:
                connection: _Connection | None = None
                try:
                    connection = await self._acquire(pool, addr)
                    if connection is None:
                        return ClientResponse(NOT_SENT)
                    sent = True
                    response = await _exchange(connection, addr, method, path, body)
                    if connection.protocol.our_state is h11.DONE and connection.protocol.their_state is h11.DONE:
                        connection.protocol.start_next_cycle()
                        pool.idle.append(connection)
                        connection = None
                    return response
                except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                    return ClientResponse(OUTCOME_UNKNOWN if sent else NOT_SENT)
                except h11.ProtocolError as error:
                    log.debug("bad response from %s: %s", addr, error)
                    return ClientResponse(OUTCOME_UNKNOWN)
                finally:
                    if connection is not None:
                        with anyio.CancelScope(shield=True):
                            await anyio.aclose_forcefully(connection.stream)
        return ClientResponse(OUTCOME_UNKNOWN if sent else NOT_SENT)

    async def _acquire(self, pool: _AddressPool, addr: tuple[str, int]) -> _Connection | None:
        """Returns an idle or a new connection, or None if connecting fails."""
        while pool.idle:
            connection = pool.idle.pop()
            # The server may have closed the idle connection.
            if _is_open(connection):
                return connection
            await anyio.aclose_forcefully(connection.stream)
        try:
            with anyio.fail_after(self._connect_timeout_s):
                return _Connection(await anyio.connect_tcp(*addr))
        except (OSError, TimeoutError):
            return None

    async def _close_idle(self) -> None:
        """Closes the idle connections to addresses without requests in flight if the client knows too many addresses.

        Machines come and go, so the number of addresses would grow without limit.
        """
        if len(self._pools) < MAX_POOLED_ADDRESSES:
            return
        stale: list[_Connection] = []
        for addr, pool in list(self._pools.items()):
            if pool.limiter.borrowed_tokens == 0:
                stale += pool.idle
                del self._pools[addr]
        for connection in stale:
            await anyio.aclose_forcefully(connection.stream)


def _is_open(connection: _Connection) -> bool:
    # Data is read only while a request is in flight, so the socket of an idle connection is readable only if the peer
    # has closed it or has sent unexpected data.
    sock = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


@lru_cache(maxsize=2048)
def _request_head(addr: tuple[str, int], method: str, path: str, length: int | None) -> h11.Request:
    """Returns the head of a request; cached, since many requests have the same one."""
    headers = [("Host", f"{addr[0]}:{addr[1]}")]
    if length is not None:
        headers += [("Content-Type", "application/json"), ("Content-Length", str(length))]
    return h11.Request(method=method, target=path, headers=headers)


async def _exchange(
    connection: _Connection, addr: tuple[str, int], method: str, path: str, body: bytes | None
) -> ClientResponse:
    """Sends a request on an open connection and reads its response."""
    conn, stream = connection.protocol, connection.stream
    data = conn.send(_request_head(addr, method, path, None if body is None else len(body))) or b""
    if body:
        data += conn.send(h11.Data(data=body)) or b""
    data += conn.send(h11.EndOfMessage()) or b""
    await stream.send(data)
    status = 0
    parts: list[bytes] = []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            try:
                received = await stream.receive(65536)
            except anyio.EndOfStream:
                received = b""
            conn.receive_data(received)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return ClientResponse(status, b"".join(parts))
        elif not isinstance(event, h11.InformationalResponse):
            return ClientResponse(OUTCOME_UNKNOWN)
