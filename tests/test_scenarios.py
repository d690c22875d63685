"""Runs every scenario file with two seeds: no rule may be violated and every expectation must hold."""

from pathlib import Path

import pytest

from gladecroft.lab.scenario import play

FILES = sorted(Path(__file__).parent.glob("scenarios/*.txt"))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path, seed: int) -> None:
    scenario = play(path, seed)
    assert scenario.oracle.violations == []
    assert scenario.unmet_expectations == []
