"""Makes hypothesis deterministic, and marks the known failing tests of ``KNOWN-RED.txt`` as expected failures.

``KNOWN-RED.txt`` in the root directory lists tests that fail because of a fault that is not fixed yet. Each line has
the form ``TEST | CAUSE | ISSUE``; at most three lines are allowed. If a listed test passes, the run fails until its
line is removed. No test may be skipped or marked as
an expected failure.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")

pytest_plugins = ["pytester"]


@pytest.fixture(autouse=True)
def enabled_logging() -> Iterator[None]:
    """Enable the logs again that commands of the lab disable for their process."""
    yield
    logging.disable(logging.NOTSET)


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def parse_known_red(text: str) -> dict[str, str]:
    """Return the cause and issue of each known failing test by node id. Raise ``ValueError`` for an invalid line."""
    tests: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: line {number}: expected TEST | CAUSE | ISSUE, got {line!r}")
        if fields[0] in tests:
            raise ValueError(f"KNOWN-RED.txt: line {number}: {fields[0]} stands twice")
        if len(tests) == MAX_KNOWN_RED:
            raise ValueError(f"KNOWN-RED.txt: line {number}: more than {MAX_KNOWN_RED} tests")
        tests[fields[0]] = f"{fields[1]} (issue {fields[2].removeprefix('issue ')})"
    return tests


def _read_known_red() -> dict[str, str]:
    try:
        return parse_known_red(KNOWN_RED.read_text(encoding="utf-8")) if KNOWN_RED.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red = _read_known_red()
    by_node_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for item in items:
        for mark in ("skip", "skipif", "xfail"):
            if item.get_closest_marker(mark) is not None:
                raise pytest.UsageError(f"{item.nodeid} is marked {mark}: list a test that may fail in KNOWN-RED.txt")
    for name, reason in known_red.items():
        file = name.partition("::")[0]
        if name in by_node_id:
            by_node_id[name].add_marker(pytest.mark.xfail(strict=True, reason=reason))
        elif file in files or not (KNOWN_RED.parent / file).exists():
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {name}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, reason in _read_known_red().items():
        terminalreporter.write_line(f"known red: {name}: {reason}")


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    reporter = session.config.pluginmanager.get_plugin("terminalreporter")
    if exitstatus == 0 and reporter is not None and reporter.stats.get("skipped"):
        reporter.write_line("a test was skipped, which is not allowed")
        session.exitstatus = pytest.ExitCode.TESTS_FAILED
