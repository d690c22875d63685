"""The same verdict each time: no random examples, no deadlines; and the one place that reads ``KNOWN-RED.txt``.

That file, at the root, names tests that fail for a real fault which is not mended yet: ``TEST | CAUSE | ISSUE``, a line
each, at most three. They are expected to fail: one that passes again fails the run until its line goes. Nothing else is
skipped or expected to fail.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")

pytest_plugins = ["pytester"]

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_RED = 3


def known_red(text: str) -> dict[str, str]:
    """Each test that is known to fail, by its whole name, and why. Raises ``ValueError`` that names the line."""
    red: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: line {number}: expected TEST | CAUSE | ISSUE, got {line!r}")
        if parts[0] in red:
            raise ValueError(f"KNOWN-RED.txt: line {number}: {parts[0]} stands twice")
        if len(red) == MOST_RED:
            raise ValueError(f"KNOWN-RED.txt: line {number}: more than {MOST_RED} tests")
        red[parts[0]] = f"{parts[1]} (issue {parts[2].removeprefix('issue ')})"
    return red


def _read() -> dict[str, str]:
    try:
        return known_red(KNOWN_RED.read_text(encoding="utf-8")) if KNOWN_RED.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    red = _read()
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for item in items:
        for mark in ("skip", "skipif", "xfail"):
            if item.get_closest_marker(mark) is not None:
                raise pytest.UsageError(f"{item.nodeid} is marked {mark}: a test that may fail stands in KNOWN-RED.txt")
    for name, why in red.items():
        file = name.partition("::")[0]
        if name in by_name:
            by_name[name].add_marker(pytest.mark.xfail(strict=True, reason=why))
        elif file in files or not (KNOWN_RED.parent / file).exists():
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {name}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, why in _read().items():
        terminalreporter.write_line(f"known red: {name}: {why}")


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    reporter = session.config.pluginmanager.get_plugin("terminalreporter")
    if exitstatus == 0 and reporter is not None and reporter.stats.get("skipped"):
        reporter.write_line("a test was skipped: none may be")
        session.exitstatus = pytest.ExitCode.TESTS_FAILED
