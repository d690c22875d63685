"""How the commands speak to controllers: the first that takes it, again for a while, then a clear line and a code."""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from datetime import timedelta
from typing import NoReturn

import anyio
import click
import msgspec

from gladecroft.protocol.settings import SettingsError, parse_address
from gladecroft.protocol.wire import ErrorReply
from gladecroft.transport.client import Client, ClientResponse

REFUSED = 1
EXIT_BAD_INPUT = 2
UNREACHABLE = 3
#: Between two rounds through all the controllers.
PAUSE = 0.5


def exit_with_error(code: int, why: str) -> NoReturn:
    """End with one clear line and this exit code."""
    click.echo(f"gladecroft: {why}", err=True)
    sys.exit(code)


def said(answer: ClientResponse) -> str:
    """What a refusal says, in words."""
    try:
        return msgspec.json.decode(answer.body, type=ErrorReply).error
    except msgspec.DecodeError:
        return answer.body.decode(errors="replace")[:200]


def ask(nodes: Sequence[str], method: str, path: str, body: bytes | None, wait: timedelta) -> bytes:
    """The body of the first 200. Who can't take it now, or does not answer, is passed over and tried again within
    ``wait``; any other answer ends the command."""
    try:
        addrs = [(node, parse_address(node, "--node")) for node in nodes]
    except SettingsError as error:
        exit_with_error(EXIT_BAD_INPUT, str(error))
    until = time.monotonic() + wait.total_seconds()

    async def once(addr: tuple[str, int]) -> ClientResponse:
        return await Client(1, timedelta(seconds=3)).request(addr, method, path, body, timedelta(seconds=6))

    last = ""
    code = UNREACHABLE
    while True:
        for node, addr in addrs:
            answer = anyio.run(once, addr)
            if answer.status == 200:
                return answer.body
            if answer.status <= 0:
                last = f"{node} does not answer"
            elif answer.status in (429, 503):
                last, code = f"{node} can't take it now: {said(answer)}", REFUSED
            else:
                exit_with_error(REFUSED, f"{node} refuses: {said(answer)}")
        if time.monotonic() >= until:
            exit_with_error(code, last)
        time.sleep(PAUSE)
