"""Requests that arrive a second time, late, after they were carried out and answered, break no rule."""

from __future__ import annotations

from gladecroft.lab.scenario import Scenario

#: Tasks fail on two machines and are placed on others; each direct command arrives a second time within 40 s.
FAILED_TASKS_PLACED_ELSEWHERE = """
nodes 3
set machine.consolidate=false
team t cpus=64 max=96
type g16 cpus=16 memory=64 boot=8
up g16 count=2
up g16 zone=b count=2
at 2 sick 1
at 2 sick 3
at 2 request-copies machines share=1 late=40 for=100
at 5 submit wk-1 team=t kind=service tasks=10 cpus=3 spread=yes
run 150
expect wk-1 running is 10
"""


def test_late_copy_of_a_start_command_does_not_restart_a_forgotten_attempt() -> None:
    for seed in range(1, 8):
        scenario = Scenario(FAILED_TASKS_PLACED_ELSEWHERE, seed).run()
        assert scenario.sim.late_copies.count > 0
        assert scenario.oracle.violations == [], seed
        assert scenario.unmet_expectations == [], seed
