"""The command line."""

from __future__ import annotations

import gc
import logging
import os
import sys
from datetime import timedelta
from importlib import import_module

import anyio
import click
import msgspec

from gladecroft import __version__
from gladecroft.protocol import wire
from gladecroft.protocol.operators import VIEW_PATH
from gladecroft.protocol.settings import (
    OperatorSettings,
    PlatformSettings,
    SettingsError,
    load_operator,
    load_platform,
    parse_address,
)

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
BAD_SETTINGS = 2
UNREACHABLE = 3


def _load(config: str, properties: str | None) -> tuple[PlatformSettings, OperatorSettings]:
    try:
        return load_platform(config), load_operator(properties)
    except SettingsError as error:
        click.echo(f"gladecroft: {error}", err=True)
        sys.exit(BAD_SETTINGS)


def _log_to_stderr() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LEVELS:
        click.echo(f"gladecroft: LOG_LEVEL: expected error, info or debug, got {name!r}", err=True)
        sys.exit(BAD_SETTINGS)
    logging.basicConfig(level=LEVELS[name], stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s")


class _LazyGroup(click.Group):
    """A group whose further commands are imported only when called: the daemon needs none of them."""

    further = {
        "admission": ("gladecroft.toolbox.admission", "admission"),
        "cordon": ("gladecroft.toolbox.cordon", "cordon"),
        "lab": ("gladecroft.lab.commands", "lab"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.further])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        where = self.further.get(cmd_name)
        if where is None:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(import_module(where[0]), where[1])
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name="gladecroft")
def main() -> None:
    """A cluster scheduler in which a high-priority and a low-priority placer cooperate."""


_config = click.option("--config", required=True, type=str, help="The platform's settings file (TOML).")
_properties = click.option(
    "--properties",
    type=str,
    envvar="GLADECROFT_PROPERTIES",
    help="The operators' own settings (Java-style properties). Default: GLADECROFT_PROPERTIES, else none.",
)


@main.command()
@_config
@_properties
def serve(config: str, properties: str | None) -> None:
    """Run a controller until it is ended."""
    platform, operator = _load(config, properties)
    _log_to_stderr()
    from gladecroft.service import ControllerService  # the other commands need no sockets

    # Records make no cycles, and there are many of them: looking through them often takes much processor time.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        # asyncio's own loop asks the kernel for news at every turn and takes sockets off its list between reads; in a
        # large fleet that costs much of the processor time.
        anyio.run(ControllerService(platform, operator).run, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        click.echo(f"gladecroft: can't serve: {error}", err=True)
        sys.exit(1)


@main.command("check-config")
@_config
@_properties
def check_config(config: str, properties: str | None) -> None:
    """Check the settings files and say what is wrong with them."""
    platform, _ = _load(config, properties)
    click.echo(f"{config}: good: controller {platform.name} and {len(platform.peers)} siblings")


@main.command()
@click.option("--node", required=True, help="A controller's address, HOST:PORT (for --view: its peer address).")
@click.option("--view", is_flag=True, help="Show the controller's own view instead of a job.")
@click.argument("job", required=False)
def status(node: str, view: bool, job: str | None) -> None:
    """Show a JOB's state, with the reason it waits or stopped, or a controller's view."""
    if view == (job is not None):
        raise click.UsageError("name a JOB, or give --view")
    if job is not None and not wire.JOB_ID.match(job):
        click.echo(f"gladecroft: {job}: not a job's name", err=True)
        sys.exit(BAD_SETTINGS)
    try:
        addr = parse_address(node, "--node")
    except SettingsError as error:
        click.echo(f"gladecroft: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    from gladecroft.transport.client import Client, ClientResponse

    async def ask() -> ClientResponse:
        path = VIEW_PATH if view else f"{wire.SUBMIT_PATH}/{job}"
        return await Client(1, timedelta(seconds=3)).request(addr, "GET", path, None, timedelta(seconds=5))

    answer = anyio.run(ask)
    if answer.status <= 0:
        click.echo(f"gladecroft: {node} does not answer", err=True)
        sys.exit(UNREACHABLE)
    if answer.status != 200:
        click.echo(f"gladecroft: {node} answers {answer.status}: {answer.body.decode(errors='replace')}", err=True)
        sys.exit(1)
    click.echo(msgspec.json.format(answer.body, indent=2).decode())
