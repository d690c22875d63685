"""Command line of the controller and of the operator tools."""

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

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3


def _load_settings(config: str, properties: str | None) -> tuple[PlatformSettings, OperatorSettings]:
    try:
        return load_platform(config), load_operator(properties)
    except SettingsError as error:
        click.echo(f"gladecroft: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def _log_to_stderr() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LOG_LEVELS:
        click.echo(f"gladecroft: LOG_LEVEL: expected error, info or debug, got {name!r}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    logging.basicConfig(
        level=LOG_LEVELS[name], stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )


class _LazyGroup(click.Group):
    """A group that imports some commands only when they are used, since the controller does not need them."""

    #: Module and attribute of each such command.
    lazy_commands = {
        "admission": ("gladecroft.toolbox.admission", "admission"),
        "cordon": ("gladecroft.toolbox.cordon", "cordon"),
        "lab": ("gladecroft.lab.commands", "lab"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        location = self.lazy_commands.get(cmd_name)
        if location is None:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(import_module(location[0]), location[1])
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name="gladecroft")
def main() -> None:
    """A cluster scheduler in which a high-priority and a low-priority placer cooperate."""


_config = click.option("--config", required=True, type=str, help="Settings file of the platform (TOML).")
_properties = click.option(
    "--properties",
    type=str,
    envvar="GLADECROFT_PROPERTIES",
    help="Settings file of the operators (Java-style properties). Default: GLADECROFT_PROPERTIES, else none.",
)


@main.command()
@_config
@_properties
def serve(config: str, properties: str | None) -> None:
    """Run a controller until interrupted."""
    platform, operator = _load_settings(config, properties)
    _log_to_stderr()
    from gladecroft.service import ControllerService  # imported here because the other commands need no sockets

    # The records contain no reference cycles, and frequent scans of so many objects take much processor time.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        # The event loop of asyncio polls the kernel in every iteration and unregisters sockets between reads. With many
        # machines this takes much of the processor time.
        anyio.run(ControllerService(platform, operator).run, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        click.echo(f"gladecroft: cannot serve: {error}", err=True)
        sys.exit(1)


@main.command("check-config")
@_config
@_properties
def check_config(config: str, properties: str | None) -> None:
    """Check the settings files and report the first error."""
    platform, _ = _load_settings(config, properties)
    click.echo(f"{config}: valid: controller {platform.name} with {len(platform.peers)} peers")


@main.command()
@click.option("--node", required=True, help="A controller's address, HOST:PORT (for --view: its peer address).")
@click.option("--view", is_flag=True, help="Show the state of the controller instead of a job.")
@click.argument("job", required=False)
def status(node: str, view: bool, job: str | None) -> None:
    """Show the state of a JOB and the reason why it is queued or stopped, or the state of a controller."""
    if view == (job is not None):
        raise click.UsageError("give either a JOB or --view")
    if job is not None and not wire.JOB_ID.match(job):
        click.echo(f"gladecroft: {job}: not a valid job id", err=True)
        sys.exit(EXIT_BAD_INPUT)
    try:
        addr = parse_address(node, "--node")
    except SettingsError as error:
        click.echo(f"gladecroft: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    from gladecroft.transport.client import Client, ClientResponse

    async def send_request() -> ClientResponse:
        path = VIEW_PATH if view else f"{wire.SUBMIT_PATH}/{job}"
        return await Client(1, timedelta(seconds=3)).request(addr, "GET", path, None, timedelta(seconds=5))

    response = anyio.run(send_request)
    if response.status <= 0:
        click.echo(f"gladecroft: {node} does not respond", err=True)
        sys.exit(EXIT_UNREACHABLE)
    if response.status != 200:
        click.echo(
            f"gladecroft: {node} replied with status {response.status}: {response.body.decode(errors='replace')}",
            err=True,
        )
        sys.exit(1)
    click.echo(msgspec.json.format(response.body, indent=2).decode())
