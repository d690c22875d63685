"""The cost of scheduling rounds, reports and record changes grows with the fleet no more than necessary.

Costs are counted, not timed, so that the results are reproducible. ``tests/scenarios/README`` describes the commands of
scenarios. Keys in the state service: ``g/m/`` machines, ``g/j/`` jobs, ``g/p/`` chunks of task records, ``g/f/`` final
records, ``g/t/`` teams, ``g/x/`` outboxes.
"""

from __future__ import annotations

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.events import CallResult, IncomingRequest, OutgoingCall, RequestKind, Target
from gladecroft.coordination.scheduling.placement import HighPriorityPlacer, LowPriorityPlacer, Ranking
from gladecroft.coordination.state_writer import Outcome
from gladecroft.coordination.state_writer.completion import teams_held_by_limit
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import ReplyCallback, seconds
from gladecroft.protocol import peers, wire
from gladecroft.protocol.settings import Objective
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_placement import MAX_HIGH_PRIORITY_RANK, make_candidate, make_request

FLEET = """
set machine.consolidate=false
team t cpus=2000 max=2000
type g16 cpus=16 memory=640
up g16 count={machines}
at 1 submit wk-9 team=t kind=service tasks={machines} cpus=12 memory=1
run 40
"""


def recomputed_for_one_task(machines: int) -> int:
    """Return how many candidates are recomputed to place one more task in a fleet where nothing else happens."""
    scenario = Scenario(FLEET.format(machines=machines), 1).run()

    def recomputed() -> int:
        return sum(
            controller.core.scheduler.candidate_cache.recomputed_count
            for controller in scenario.controllers
            if controller.core
        )

    def place(job_id: str, at_s: float) -> None:
        scenario.sim.call_at(
            seconds(at_s), lambda: scenario.perform(["submit", job_id, "team=t", "tasks=1", "cpus=2", "run=30"])
        )
        scenario.sim.run_until(seconds(at_s + 3))
        # An element of ``starts`` consists of time, (job id, task number), machine and attempt.
        assert [start for start in scenario.oracle.starts if start[1][0] == job_id]

    place("wk-1", 41)  # recomputes the machines that changed at the start of the fleet
    before = recomputed()
    place("wk-2", 45)
    assert scenario.oracle.violations == []
    return recomputed() - before


def test_placing_a_task_recomputes_only_machines_that_changed() -> None:
    assert recomputed_for_one_task(40) <= recomputed_for_one_task(10) + 6


def test_a_ranking_stays_sorted_as_its_machines_are_allocated() -> None:
    candidates = [make_candidate("m-1"), make_candidate("m-2"), make_candidate("m-3")]
    request = make_request(8)
    ranking = Ranking(request, candidates, HighPriorityPlacer.sort_key)
    allocated = []
    while ranking:
        best = next(iter(ranking))
        allocated.append(best.machine_id)
        ranking.allocate(best, MAX_HIGH_PRIORITY_RANK)
    # The machine with the most high-priority cores comes first, so a machine is filled before the next one is used.
    assert allocated == ["m-1", "m-1", "m-2", "m-2", "m-3", "m-3"]
    low = Ranking(
        make_request(4, rank=2, image="x"),
        [make_candidate("m-4"), make_candidate("m-5", images=("x",))],
        LowPriorityPlacer.sort_key,
    )
    assert [each.machine_id for each in low] == ["m-5", "m-4"]


def harness_with_task_of_peer() -> CoreHarness:
    """A controller that owns a machine on which a task has exited; n1 is the home controller, which places the task."""
    harness = CoreHarness()
    harness.core.membership.assignment.team_homes["t"] = "n1"
    harness.place_task(TaskState.ACTIVE)
    # In reports ``portion`` is the task, ``try`` the attempt and ``cause`` the reason of its exit.
    harness.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "exited", "cause": "done"}
    return harness


def calls(harness: CoreHarness, at: float) -> list[OutgoingCall]:
    return [effect for effect in harness.core.step(clock_at(at), []) if isinstance(effect, OutgoingCall)]


def test_an_owner_reports_an_exit_to_the_home_controller_and_uses_the_outbox_only_without_acknowledgement() -> None:
    harness = harness_with_task_of_peer()
    harness.core.membership._last_renewal_at = clock_at(100_000).monotonic  # no renewals among the calls under test
    harness.core.context.state_served_at = clock_at(150).monotonic
    harness.token = 1 << 24  # the machine has acknowledged the fencing token of this owner
    first = harness.core.step(clock_at(200), [IncomingRequest(1, RequestKind.REPORT, harness.report())])
    reported = [effect for effect in first if isinstance(effect, OutgoingCall) and effect.target is Target.PEER]
    assert len(reported) == 1
    message: peers.EndedAttempts = wire.decode(peers.EndedAttempts, reported[0].body or b"")
    assert message == peers.EndedAttempts(1, [peers.EndedAttempt("wk-1", 0, 1, True)])
    early = [
        call
        for call in [*first, *calls(harness, 200.5)]
        if isinstance(call, OutgoingCall) and call.path == wire.COMMIT_PATH
    ]
    assert not [call for call in early if b"g/p/wk-1" in (call.body or b"")]
    late = [call for call in calls(harness, 203) if call.path == wire.COMMIT_PATH]
    assert not [call for call in late if b"g/p/wk-1" in (call.body or b"")]
    outbox = [call for call in late if b"g/x/n0" in (call.body or b"")]
    assert len(outbox) == 1 and b'["wk-1",0,1,true' in (outbox[0].body or b"")


def report_exit(harness: CoreHarness, epoch: int) -> None:
    body = wire.encode(peers.EndedAttempts(epoch, [peers.EndedAttempt("wk-1", 0, 1, True)]))
    harness.core.step(clock_at(200), [IncomingRequest(5, RequestKind.ANNOUNCE_ENDED_ATTEMPTS, body)])


def test_a_peers_message_about_an_exit_counts_only_in_its_epoch() -> None:
    for epoch, accepted in ((1, True), (2, False), (0, False)):
        harness = CoreHarness()
        harness.core.membership.assignment.team_homes["t"] = "n0"
        harness.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-9")]))
        harness.put_record("g/m/m-9", rec.MachineRecord("g", "a", False, "10.1.0.9:9000"))
        report_exit(harness, epoch)
        assert bool(harness.core.state_writer.exits) is accepted
        # In a new epoch the machine, and with it the attempt, may have another owner.
        harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-9": "n1"}))
        harness.core.step(clock_at(201), [])
        assert not harness.core.state_writer.exits


def test_the_longest_message_about_exits_fits_a_body() -> None:
    ended = peers.EndedAttempt("wk-" + "9" * 40, 99_999, 2**63, False, "x" * 24, True)
    assert (
        len(msgspec.json.encode(peers.EndedAttempts(2**63, [ended] * peers.MAX_ENDED_PER_MESSAGE)))
        <= wire.MAX_BODY_BYTES
    )


def test_teams_are_distributed_evenly() -> None:
    harness = CoreHarness()
    membership = harness.core.membership
    harness.core.context.cluster_state.team_settings.update(
        {f"t{index}": harness.core.context.cluster_state.team_settings["t"] for index in range(9)}  # ten in all
    )
    membership.assignment.assign_teams()
    homes = [membership.home(team) for team in harness.core.context.cluster_state.team_settings]
    assert sorted(map(homes.count, ("n0", "n1"))) == [5, 5]


def commits(effects: list[object]) -> list[OutgoingCall]:
    return [effect for effect in effects if isinstance(effect, OutgoingCall) and effect.path == wire.COMMIT_PATH]


def test_a_home_controller_places_tasks_only_after_a_claim_that_excludes_delayed_commits() -> None:
    harness = CoreHarness()
    core = harness.core
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, cpus=4.0, gpus=0.0)
    harness.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, harness.revision)
    harness.put_record("g/j/wk-1", rec.JobRecord(spec, 0))
    core.membership.assignment.team_homes["t"] = "n0"
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.context.state_served_at = clock_at(100).monotonic
    core.scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})

    reads: list[OutgoingCall] = []

    def step(at: float, *events: object) -> dict[str, OutgoingCall]:
        """Return the commits of a step, by whether they claim the team or place the task."""
        effects = core.step(clock_at(at), [*events])  # type: ignore[list-item]
        reads.extend(
            effect for effect in effects if isinstance(effect, OutgoingCall) and effect.path.startswith("/store/")
        )
        calls = commits([*effects])
        return {"place" if b'"g/p/wk-1/0","data"' in (call.body or b"") else "claim": call for call in calls}

    def ok(call: OutgoingCall) -> CallResult:
        harness.revision += 1
        # ``ledger`` is the revision of the state service.
        return CallResult(call.call_id, 200, msgspec.json.encode({"ledger": harness.revision}))

    harness.token = 1 << 24  # the machine has acknowledged the fencing token of this owner
    claim = step(200, IncomingRequest(1, RequestKind.REPORT, harness.report()))["claim"]
    assert b"g/t/" in (claim.body or b"")
    # The claim is committed, but the watch has not yet delivered all earlier commits.
    assert "place" not in {**step(201.2, ok(claim)), **step(202)}
    core.context.cluster_state.revision = harness.revision
    place = step(203)["place"]
    # The outcome of the placement is unknown: its commit may still be executed at any later time.
    again = {**step(203.2, CallResult(place.call_id, 0)), **step(203.6)}
    assert reads
    again.update(step(204, *[CallResult(read.call_id, 404, msgspec.json.encode({"ledger": 0})) for read in reads]))
    again.update(step(204.5))
    assert "place" not in again
    step(205, ok(again["claim"]))
    core.context.cluster_state.revision = harness.revision
    assert "place" in step(206)


def test_a_starting_controller_does_not_read_finished_jobs() -> None:
    scenario = Scenario("team t cpus=64 max=64\ntype g16 cpus=16 memory=64\nup g16 count=2\nrun 0.05", 1).run()
    for number in range(5000):
        scenario.state.revision += 1
        scenario.state.entries[f"g/f/wk-7{number:05d}"] = ({"done": True, "tasks": 3}, scenario.state.revision, None)
    pages = []
    serve = scenario.state.serve

    def counted(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        if "?prefix=" in path:
            pages.append(path)
        serve(node, method, path, body, reply)

    scenario.state.serve = counted  # type: ignore[method-assign]
    scenario.sim.call_at(seconds(5), lambda: scenario.perform(["submit", "wk-1", "team=t", "tasks=2", "run=5"]))
    # This job was finished before any controller started; its final record is read on demand.
    scenario.sim.call_at(seconds(5), lambda: scenario.perform(["submit", "wk-700123", "team=t", "tasks=2", "run=5"]))
    scenario.sim.run_until(seconds(30))
    assert len(pages) == len(scenario.controllers)
    assert scenario.oracle.reported_state["wk-1"] == scenario.oracle.reported_state["wk-700123"] == "done"
    assert not [start for start in scenario.oracle.starts if start[1][0] == "wk-700123"]


def test_exits_are_batched_while_writes_are_scarce_and_the_last_ones_come_with_the_final_record() -> None:
    harness = CoreHarness()
    core = harness.core
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=3)
    harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    core.context.cluster_state.apply("g/j/wk-1", None, harness.revision)  # so that no job waits for the team's limit
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * 3))
    core.membership.assignment.team_homes["t"] = "n0"
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.context.state_served_at = clock_at(100).monotonic

    def committed(at: float) -> list[dict[str, object]]:
        """Return the operations that a step commits while the write budget is low; every commit succeeds."""
        core.context.now = clock_at(at).monotonic
        core.context.state_writes.available(core.context.now)
        core.context.state_writes.tokens = 0.7 * core.context.state_writes.burst
        core.membership.active_until = clock_at(10_000).monotonic
        calls = commits([*core.step(clock_at(at), [])])
        for call in calls:
            harness.revision += 1
            core.step(clock_at(at), [CallResult(call.call_id, 200, msgspec.json.encode({"ledger": harness.revision}))])
        return [op for call in calls for op in msgspec.json.decode(call.body or b"").get("apply", [])]

    committed(200)
    core.state_writer.record_exit("wk-2", 0, 1, Outcome(True))
    core.state_writer.record_exit("wk-2", 1, 1, Outcome(True))
    assert [op for at in (201, 202, 203) for op in committed(at) if "wk-2" in str(op)] == []
    assert not core.state_writer.commit_pending  # nothing but the batching delayed the exits
    core.state_writer.record_exit("wk-2", 2, 1, Outcome(True))
    ops = [op for op in committed(203.5) if "wk-2" in str(op)]
    assert {"write": "g/f/wk-2", "data": {"done": True, "tasks": 3}} in ops
    assert {"drop": "g/j/wk-2"} in ops  # ``drop`` deletes a key
    assert not [op for op in ops if op.get("write") == "g/p/wk-2/0"]


def test_an_exit_rebuilds_only_the_batch_of_its_own_chunk() -> None:
    harness = CoreHarness()
    cluster_state, exit_tracker = harness.core.context.cluster_state, harness.core.state_writer.exit_tracker
    chunk_size = cluster_state.chunk_size
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=3 * chunk_size)
    harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    harness.step([])
    harness.core.membership.assignment.team_homes["t"] = "n0"
    tasks = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * chunk_size
    for index in range(3):
        harness.put_record(f"g/p/wk-2/{index}", rec.ChunkRecord(tasks))
    for number in (0, 1, chunk_size, 2 * chunk_size):
        exit_tracker.record_exit("wk-2", number, 1, Outcome(True))
    before = exit_tracker.batches()
    assert [len(before["wk-2", index].exits) for index in range(3)] == [2, 1, 1]
    exit_tracker.record_exit("wk-2", chunk_size + 1, 1, Outcome(False, "stopped"))
    after = exit_tracker.batches()
    # Each exit used to rebuild the batches of all chunks of its job, which hold 25,000 exits for the largest array.
    assert [after["wk-2", index] is before["wk-2", index] for index in range(3)] == [True, False, True]
    assert len(after["wk-2", 1].exits) == 2 and after["wk-2", 1].completed == 1
    # Exits that are in the records now are removed, and only the batch of that chunk is rebuilt.
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] + tasks[1:]))
    assert len(exit_tracker.batches()["wk-2", 0].exits) == 1
    harness.revision += 1
    cluster_state.apply("g/j/wk-2", None, harness.revision)
    assert exit_tracker.batches() == {} and not exit_tracker.exits


def test_only_teams_whose_limit_delays_their_jobs_are_held_by_it() -> None:
    harness = CoreHarness()
    core = harness.core
    cpu_limit = core.context.cluster_state.team_settings["t"].cpu_limit
    harness.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, harness.revision)
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=100, cpus=cpu_limit / 100, gpus=0.0)
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    for active, expected in ((50, set()), (89, set()), (91, {"t"}), (100, set())):
        tasks = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * active + [TaskRecord()] * (100 - active)
        harness.put_record("g/p/wk-2/0", rec.ChunkRecord(tasks))
        harness.put_record("g/j/wk-3", rec.JobRecord(msgspec.structs.replace(spec, id="wk-3", tasks=90), 0))
        if active == 100:
            harness.revision += 1
            core.context.cluster_state.apply("g/j/wk-3", None, harness.revision)  # no task is queued
        assert teams_held_by_limit(core.context.cluster_state) == expected, active


def test_an_array_that_missed_its_objectives_loses_the_guarantee_if_its_team_exceeds_it() -> None:
    harness = CoreHarness()
    core = harness.core
    core.context.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 100.0, 0.9, "c")]
    guaranteed_cpus = core.context.cluster_state.team_settings["t"].cpus
    spec = msgspec.structs.replace(
        SPEC, kind=wire.JobKind.ARRAY, tasks=4, cpus=guaranteed_cpus / 8, gpus=0.0, estimate_s=20.0, job_class="c"
    )
    harness.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, harness.revision)
    now_wall_s = core.context.wall_time.timestamp()

    def submit(job_id: str, age_s: float) -> None:
        record = rec.JobRecord(msgspec.structs.replace(spec, id=job_id), int((now_wall_s - age_s) * 1000))
        harness.put_record(f"g/j/{job_id}", record)

    def using_guarantee() -> set[str]:
        cluster_state = core.context.cluster_state
        guaranteed_job_ids = cluster_state.guaranteed_job_ids()
        return {
            job_id
            for job_id, job in cluster_state.queued_jobs.items()
            if core.scheduler.ordering.uses_guarantee(job, guaranteed_job_ids)
        }

    submit("wk-2", 120.0)
    submit("wk-3", 30.0)
    # All of the team's jobs fit into its guarantee, so even a late one need not wait for jobs of other teams.
    assert using_guarantee() == {"wk-2", "wk-3"}
    submit("wk-4", 10.0)
    assert core.context.cluster_state.guaranteed_job_ids() == {"wk-2", "wk-3"}
    assert using_guarantee() == {"wk-3"}
    # A late service is needed as much as one in time, so it keeps the guarantee.
    late = core.context.cluster_state.jobs["wk-2"]
    service = rec.JobRecord(msgspec.structs.replace(spec, kind=wire.JobKind.SERVICE), late.record.accepted_ms)
    assert core.scheduler.ordering._missed_all_objectives(late) and not core.scheduler.ordering._missed_all_objectives(
        Job(service, 1, 10)
    )
    # A starved array uses the guarantee again.
    submit("wk-5", 400.0)
    assert using_guarantee() == {"wk-5"}


def test_rounds_are_rarer_with_a_larger_backlog_unless_the_last_transaction_was_full() -> None:
    state_writer = CoreHarness().core.state_writer
    delays_ms = {}
    for queued_jobs in (0, 20, 70, 5000):
        state_writer.queued_job_count = queued_jobs
        delays_ms[queued_jobs] = round(state_writer._flush_delay().total_seconds() * 1000)
    assert delays_ms == {0: 100, 20: 100, 70: 200, 5000: 400}
    state_writer._last_txn_full = True
    assert state_writer._flush_delay().total_seconds() == 0.1
