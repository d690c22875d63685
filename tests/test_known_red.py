"""Tests listed in ``KNOWN-RED.txt`` may fail and are printed; their number is limited.

No other test may fail or be skipped.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from conftest import parse_known_red

TESTS = """
import pytest

def test_good():
    pass

def test_bad():
    assert False
"""


def run_pytest(pytester: pytest.Pytester, known_red: str, tests: str = TESTS) -> pytest.RunResult:
    source = (Path(__file__).parent / "conftest.py").read_text(encoding="utf-8")
    (pytester.mkdir("tests") / "conftest.py").write_text(source, encoding="utf-8")
    (pytester.path / "tests" / "test_it.py").write_text(tests, encoding="utf-8")
    (pytester.path / "KNOWN-RED.txt").write_text(known_red, encoding="utf-8")
    return pytester.runpytest_subprocess("tests", "-p", "no:cacheprovider")


def test_known_failure_does_not_fail_the_run_and_is_printed(pytester: pytest.Pytester) -> None:
    result = run_pytest(pytester, "tests/test_it.py::test_bad | a fault | 34\n")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*known red: tests/test_it.py::test_bad: a fault (issue 34)"])


@pytest.mark.parametrize(
    ("known_red", "expected_output"),
    [
        ("", "*1 failed*"),
        ("tests/test_it.py::test_bad | a fault | 34\ntests/test_it.py::test_good | none | 34\n", "*XPASS(strict)*"),
        ("tests/test_it.py::test_other | a fault | 34\n", "*there is no test tests/test_it.py::test_other*"),
        ("tests/test_no.py::test_bad | a fault | 34\n", "*there is no test tests/test_no.py::test_bad*"),
        ("tests/test_it.py::test_bad | a fault\n", "*expected TEST | CAUSE | ISSUE*"),
    ],
)
def test_other_failures_passing_listed_tests_and_invalid_entries_fail_the_run(
    pytester: pytest.Pytester, known_red: str, expected_output: str
) -> None:
    result = run_pytest(pytester, known_red)
    assert result.ret != 0
    assert any(text in line for line in result.outlines + result.errlines for text in [expected_output.strip("*")]), (
        result.outlines
    )


@pytest.mark.parametrize("mark", ["@pytest.mark.skip", "@pytest.mark.xfail", "@pytest.mark.skipif(True, reason='')"])
def test_skip_and_xfail_marks_fail_the_run(pytester: pytest.Pytester, mark: str) -> None:
    assert run_pytest(pytester, "", TESTS.replace("def test_bad", f"{mark}\ndef test_bad")).ret != 0


def test_skip_during_a_test_fails_the_run(pytester: pytest.Pytester) -> None:
    assert run_pytest(pytester, "", TESTS.replace("assert False", "pytest.skip()")).ret != 0


def test_more_than_three_entries_and_duplicates_are_rejected() -> None:
    lines = [f"tests/test_it.py::test_{number} | a fault | 34" for number in range(4)]
    assert len(parse_known_red("\n".join(lines[:3]))) == 3
    with pytest.raises(ValueError, match="line 4: more than 3"):
        parse_known_red("\n".join(lines))
    with pytest.raises(ValueError, match="line 2: .* stands twice"):
        parse_known_red("\n".join([lines[0], lines[0]]))
