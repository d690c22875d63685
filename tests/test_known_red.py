"""Tests that are known to fail are passed over, named, and few; nothing else is."""

from __future__ import annotations

from pathlib import Path

import pytest

from conftest import known_red

TESTS = """
import pytest

def test_good():
    pass

def test_bad():
    assert False
"""


def play(pytester: pytest.Pytester, red: str, tests: str = TESTS) -> pytest.RunResult:
    source = (Path(__file__).parent / "conftest.py").read_text(encoding="utf-8")
    (pytester.mkdir("tests") / "conftest.py").write_text(source, encoding="utf-8")
    (pytester.path / "tests" / "test_it.py").write_text(tests, encoding="utf-8")
    (pytester.path / "KNOWN-RED.txt").write_text(red, encoding="utf-8")
    return pytester.runpytest_subprocess("tests", "-p", "no:cacheprovider")


def test_a_known_red_test_is_passed_over_and_named(pytester: pytest.Pytester) -> None:
    result = play(pytester, "tests/test_it.py::test_bad | a fault | 34\n")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*known red: tests/test_it.py::test_bad: a fault (issue 34)"])


@pytest.mark.parametrize(
    ("red", "says"),
    [
        ("", "*1 failed*"),
        ("tests/test_it.py::test_bad | a fault | 34\ntests/test_it.py::test_good | none | 34\n", "*XPASS(strict)*"),
        ("tests/test_it.py::test_other | a fault | 34\n", "*there is no test tests/test_it.py::test_other*"),
        ("tests/test_no.py::test_bad | a fault | 34\n", "*there is no test tests/test_no.py::test_bad*"),
        ("tests/test_it.py::test_bad | a fault\n", "*expected TEST | CAUSE | ISSUE*"),
    ],
)
def test_all_else_fails_the_run(pytester: pytest.Pytester, red: str, says: str) -> None:
    result = play(pytester, red)
    assert result.ret != 0
    assert any(word in line for line in result.outlines + result.errlines for word in [says.strip("*")]), (
        result.outlines
    )


@pytest.mark.parametrize("mark", ["@pytest.mark.skip", "@pytest.mark.xfail", "@pytest.mark.skipif(True, reason='')"])
def test_nothing_else_is_skipped_or_expected_to_fail(pytester: pytest.Pytester, mark: str) -> None:
    assert play(pytester, "", TESTS.replace("def test_bad", f"{mark}\ndef test_bad")).ret != 0


def test_nothing_is_skipped_on_the_way_either(pytester: pytest.Pytester) -> None:
    assert play(pytester, "", TESTS.replace("assert False", "pytest.skip()")).ret != 0


def test_a_fourth_line_is_refused() -> None:
    lines = [f"tests/test_it.py::test_{number} | a fault | 34" for number in range(4)]
    assert len(known_red("\n".join(lines[:3]))) == 3
    with pytest.raises(ValueError, match="line 4: more than 3"):
        known_red("\n".join(lines))
    with pytest.raises(ValueError, match="line 2: .* stands twice"):
        known_red("\n".join([lines[0], lines[0]]))
