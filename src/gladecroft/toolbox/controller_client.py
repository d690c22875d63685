"""Sends the commands' requests to controllers, with retries, error messages and exit codes."""

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

EXIT_REJECTED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
#: Pause between rounds; each round tries all controllers in turn.
RETRY_INTERVAL_S = 0.5


def exit_with_error(code: int, message: str) -> NoReturn:
    """Prints an error message and exits with the code."""
    click.echo(f"gladecroft: {message}", err=True)
    sys.exit(code)


def error_text(response: ClientResponse) -> str:
    """Returns the error message of a response, or the start of its body if it has none."""
    try:
        return msgspec.json.decode(response.body, type=ErrorReply).error
    except msgspec.DecodeError:
        return response.body.decode(errors="replace")[:200]


def send_request(nodes: Sequence[str], method: str, path: str, body: bytes | None, wait: timedelta) -> bytes:
    """Sends a request to the controllers in turn and returns the body of the first response with status 200.

    ``nodes`` holds the controllers' peer addresses. If controllers do not respond or cannot serve the request now, the
    request is retried for up to ``wait``. Any other response ends the command with an error.
    """
    try:
        addrs = [(node, parse_address(node, "--node")) for node in nodes]
    except SettingsError as error:
        exit_with_error(EXIT_BAD_INPUT, str(error))
    deadline_s = time.monotonic() + wait.total_seconds()

    async def attempt(addr: tuple[str, int]) -> ClientResponse:
        return await Client(1, timedelta(seconds=3)).request(addr, method, path, body, timedelta(seconds=6))

    last_error = ""
    code = EXIT_UNREACHABLE
    while True:
        for node, addr in addrs:
            response = anyio.run(attempt, addr)
            if response.status == 200:
                return response.body
            if response.status <= 0:
                last_error = f"{node} does not respond"
            elif response.status in (429, 503):
                last_error, code = f"{node} cannot serve the request now: {error_text(response)}", EXIT_REJECTED
            else:
                exit_with_error(EXIT_REJECTED, f"{node} rejected the request: {error_text(response)}")
        if time.monotonic() >= deadline_s:
            exit_with_error(code, last_error)
        time.sleep(RETRY_INTERVAL_S)
