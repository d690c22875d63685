"""An HTTP/1.1 client on anyio and h11 that keeps connections open, a bounded number for each address."""

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

MAX_KEPT_TARGETS = 256


class ClientResponse(msgspec.Struct):
    """``status`` 0: no response, and the request may have been executed; -1: it was certainly not sent."""

    status: int
    body: bytes = b""


NOT_SENT = -1
UNKNOWN = 0


class _Connection:
    __slots__ = ("stream", "conn")

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.conn = h11.Connection(h11.CLIENT)


class _AddressPool:
    __slots__ = ("idle", "limit")

    def __init__(self, size: int) -> None:
        self.idle: deque[_Connection] = deque()
        self.limit = anyio.CapacityLimiter(size)


class Client:
    """Requests to any number of addresses. Never raises for what the other side does."""

    def __init__(self, per_target: int, connect_limit: timedelta) -> None:
        self._per_target = per_target
        self._connect_limit = connect_limit.total_seconds()
        self._targets: dict[tuple[str, int], _AddressPool] = {}

    async def request(
        self, addr: tuple[str, int], method: str, path: str, body: bytes | None, limit: timedelta
    ) -> ClientResponse:
        target = self._targets.get(addr)
        if target is None:
            await self._trim()
            target = self._targets.setdefault(addr, _AddressPool(self._per_target))
        sent = False
        with anyio.move_on_after(limit.total_seconds()):
            async with target.limit:
                link: _Connection | None = None
                try:
                    link = await self._link(target, addr)
                    if link is None:
                        return ClientResponse(NOT_SENT)
                    sent = True
                    answer = await _exchange(link, addr, method, path, body)
                    if link.conn.our_state is h11.DONE and link.conn.their_state is h11.DONE:
                        link.conn.start_next_cycle()
                        target.idle.append(link)
                        link = None
                    return answer
                except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                    return ClientResponse(UNKNOWN if sent else NOT_SENT)
                except h11.ProtocolError as error:
                    log.debug("bad response from %s: %s", addr, error)
                    return ClientResponse(UNKNOWN)
                finally:
                    if link is not None:
                        with anyio.CancelScope(shield=True):
                            await anyio.aclose_forcefully(link.stream)
        return ClientResponse(UNKNOWN if sent else NOT_SENT)

    async def _link(self, target: _AddressPool, addr: tuple[str, int]) -> _Connection | None:
        while target.idle:
            link = target.idle.pop()
            # A server may have closed an idle connection; its end shows as readable data.
            if _still_open(link):
                return link
            await anyio.aclose_forcefully(link.stream)
        try:
            with anyio.fail_after(self._connect_limit):
                return _Connection(await anyio.connect_tcp(*addr))
        except (OSError, TimeoutError):
            return None

    async def _trim(self) -> None:
        """Close what is kept for addresses not in use (machines come and go)."""
        if len(self._targets) < MAX_KEPT_TARGETS:
            return
        stale: list[_Connection] = []
        for addr, target in list(self._targets.items()):
            if target.limit.borrowed_tokens == 0:
                stale += target.idle
                del self._targets[addr]
        for link in stale:
            await anyio.aclose_forcefully(link.stream)


def _still_open(link: _Connection) -> bool:
    # The stream reads only when asked to, so the end of the stream, or data nobody asked for, waits in the kernel.
    raw = link.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return not poll.poll(0)


@lru_cache(maxsize=2048)
def _head(addr: tuple[str, int], method: str, path: str, length: int | None) -> h11.Request:
    """The head of a request; most are alike."""
    headers = [("Host", f"{addr[0]}:{addr[1]}")]
    if length is not None:
        headers += [("Content-Type", "application/json"), ("Content-Length", str(length))]
    return h11.Request(method=method, target=path, headers=headers)


async def _exchange(
    link: _Connection, addr: tuple[str, int], method: str, path: str, body: bytes | None
) -> ClientResponse:
    conn, stream = link.conn, link.stream
    data = conn.send(_head(addr, method, path, None if body is None else len(body))) or b""
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
            return ClientResponse(UNKNOWN)
