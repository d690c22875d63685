"""What a round, a report or a change costs does not grow with the fleet where it need not.

Nothing here looks at a clock: what is counted repeats exactly.
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
from gladecroft.lab.simulation import Replier, seconds
from gladecroft.protocol import peers, wire
from gladecroft.protocol.settings import Objective
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_placement import LINE, make_candidate, make_request

FLEET = """
set machine.consolidate=false
team t cpus=2000 max=2000
type g16 cpus=16 memory=640
up g16 count={machines}
at 1 submit wk-9 team=t kind=service tasks={machines} cpus=12 memory=1
run 40
"""


def looked_at(machines: int) -> int:
    """How many machines the placers look at again to place one more task in a settled fleet."""
    scenario = Scenario(FLEET.format(machines=machines), 1).run()

    def looked() -> int:
        return sum(
            controller.core.scheduler.candidate_cache.looked for controller in scenario.controllers if controller.core
        )

    def place(job: str, at: float) -> None:
        scenario.world.at(seconds(at), lambda: scenario._do(["submit", job, "team=t", "tasks=1", "cpus=2", "run=30"]))
        scenario.world.run_until(seconds(at + 3))
        assert [start for start in scenario.oracle.starts if start[1][0] == job]

    place("wk-1", 41)  # what the fleet's own start has changed is looked at now
    before = looked()
    place("wk-2", 45)
    assert scenario.oracle.broken == []
    return looked() - before


def test_placing_a_task_looks_at_the_machines_that_changed_only() -> None:
    assert looked_at(40) <= looked_at(10) + 6


def test_a_jobs_machines_are_ranked_once_and_kept_in_order() -> None:
    slots = [make_candidate("m-1"), make_candidate("m-2"), make_candidate("m-3")]
    wanted = make_request(8)
    ranking = Ranking(wanted, slots, HighPriorityPlacer.sort_key)
    taken = []
    while ranking:
        best = next(iter(ranking))
        taken.append(best.machine)
        ranking.take(best, LINE)
    # The busiest comes first, so a machine is filled before the next is begun.
    assert taken == ["m-1", "m-1", "m-2", "m-2", "m-3", "m-3"]
    low = Ranking(
        make_request(4, rank=2, image="x"),
        [make_candidate("m-4"), make_candidate("m-5", images=("x",))],
        LowPriorityPlacer.sort_key,
    )
    assert [each.machine for each in low] == ["m-5", "m-4"]


def rig_with_a_foreign_home() -> CoreHarness:
    rig = CoreHarness()
    rig.core.membership.assignment.team_homes["t"] = "n1"
    rig.place_task(TaskState.ACTIVE)
    rig.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "exited", "cause": "done"}
    return rig


def calls(rig: CoreHarness, at: float) -> list[OutgoingCall]:
    return [effect for effect in rig.core.step(clock_at(at), []) if isinstance(effect, OutgoingCall)]


def test_an_owner_tells_the_home_of_an_end_and_mails_it_only_in_vain() -> None:
    rig = rig_with_a_foreign_home()
    rig.core.membership._last_renewal_at = clock_at(100_000).monotonic  # no renewals between the calls looked at
    rig.core.context.state_served_at = clock_at(150).monotonic
    rig.token = 1 << 24  # the machine has heard this owner
    first = rig.core.step(clock_at(200), [IncomingRequest(1, RequestKind.REPORT, rig.report())])
    told = [effect for effect in first if isinstance(effect, OutgoingCall) and effect.target is Target.PEER]
    assert len(told) == 1
    message: peers.EndedAttempts = wire.decode(peers.EndedAttempts, told[0].body or b"")
    assert message == peers.EndedAttempts(1, [peers.EndedAttempt("wk-1", 0, 1, True)])
    early = [
        call
        for call in [*first, *calls(rig, 200.5)]
        if isinstance(call, OutgoingCall) and call.path == wire.COMMIT_PATH
    ]
    assert not [call for call in early if b"g/p/wk-1" in (call.body or b"")]
    late = [call for call in calls(rig, 203) if call.path == wire.COMMIT_PATH]
    assert not [call for call in late if b"g/p/wk-1" in (call.body or b"")]
    mail = [call for call in late if b"g/x/n0" in (call.body or b"")]
    assert len(mail) == 1 and b'["wk-1",0,1,true' in (mail[0].body or b"")


def tell(rig: CoreHarness, epoch: int) -> None:
    body = wire.encode(peers.EndedAttempts(epoch, [peers.EndedAttempt("wk-1", 0, 1, True)]))
    rig.core.step(clock_at(200), [IncomingRequest(5, RequestKind.ATTEMPTS_ENDED, body)])


def test_a_proof_counts_under_its_epoch_only() -> None:
    for epoch, taken in ((1, True), (2, False), (0, False)):
        rig = CoreHarness()
        rig.core.membership.assignment.team_homes["t"] = "n0"
        rig.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-9")]))
        rig.put_record("g/m/m-9", rec.MachineRecord("g", "a", False, "10.1.0.9:9000"))
        tell(rig, epoch)
        assert bool(rig.core.state_writer.exits) is taken
        # A new epoch may have given the machine, and so the attempt, to somebody else.
        rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-9": "n1"}))
        rig.core.step(clock_at(201), [])
        assert not rig.core.state_writer.exits


def test_the_longest_message_between_controllers_fits_a_body() -> None:
    ended = peers.EndedAttempt("wk-" + "9" * 40, 99_999, 2**63, False, "x" * 24, True)
    assert (
        len(msgspec.json.encode(peers.EndedAttempts(2**63, [ended] * peers.MAX_ENDED_PER_MESSAGE)))
        <= wire.MAX_BODY_BYTES
    )


def test_teams_are_shared_out_evenly() -> None:
    rig = CoreHarness()
    membership = rig.core.membership
    rig.core.context.cluster_state.limits.update(
        {f"t{index}": rig.core.context.cluster_state.limits["t"] for index in range(9)}  # ten in all
    )
    membership.assignment.assign_teams()
    homes = [membership.home(team) for team in rig.core.context.cluster_state.limits]
    assert sorted(map(homes.count, ("n0", "n1"))) == [5, 5]


def commits(effects: list[object]) -> list[OutgoingCall]:
    return [effect for effect in effects if isinstance(effect, OutgoingCall) and effect.path == wire.COMMIT_PATH]


def test_a_home_places_only_under_a_claim_that_no_late_commit_can_come_on_top_of() -> None:
    rig = CoreHarness()
    core = rig.core
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, cpus=4.0, gpus=0.0)
    rig.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, rig.revision)
    rig.put_record("g/j/wk-1", rec.JobRecord(spec, 0))
    core.membership.assignment.team_homes["t"] = "n0"
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.context.state_served_at = clock_at(100).monotonic
    core.scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})

    reads: list[OutgoingCall] = []

    def step(at: float, *events: object) -> dict[str, OutgoingCall]:
        """The commits of a step, by whether they claim the team or place the task."""
        effects = core.step(clock_at(at), [*events])  # type: ignore[list-item]
        reads.extend(
            effect for effect in effects if isinstance(effect, OutgoingCall) and effect.path.startswith("/store/")
        )
        calls = commits([*effects])
        return {"place" if b'"g/p/wk-1/0","data"' in (call.body or b"") else "claim": call for call in calls}

    def ok(call: OutgoingCall) -> CallResult:
        rig.revision += 1
        return CallResult(call.call_id, 200, msgspec.json.encode({"ledger": rig.revision}))

    rig.token = 1 << 24  # the machine has heard this owner
    claim = step(200, IncomingRequest(1, RequestKind.REPORT, rig.report()))["claim"]
    assert b"g/t/" in (claim.body or b"")
    # Committed, but the watch has not brought yet what was committed before it.
    assert "place" not in {**step(201.2, ok(claim)), **step(202)}
    core.context.cluster_state.revision = rig.revision
    place = step(203)["place"]
    # Its outcome is not known: it may be executed at any time from now on.
    again = {**step(203.2, CallResult(place.call_id, 0)), **step(203.6)}
    assert reads
    again.update(step(204, *[CallResult(read.call_id, 404, msgspec.json.encode({"ledger": 0})) for read in reads]))
    again.update(step(204.5))
    assert "place" not in again
    step(205, ok(again["claim"]))
    core.context.cluster_state.revision = rig.revision
    assert "place" in step(206)


def test_a_start_does_not_read_the_jobs_that_are_over() -> None:
    scenario = Scenario("team t cpus=64 max=64\ntype g16 cpus=16 memory=64\nup g16 count=2\nrun 0.05", 1).run()
    for number in range(5000):
        scenario.state.revision += 1
        scenario.state.keys[f"g/f/wk-7{number:05d}"] = ({"done": True, "tasks": 3}, scenario.state.revision, None)
    pages = []
    serve = scenario.state.serve

    def counted(node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        if "?prefix=" in path:
            pages.append(path)
        serve(node, method, path, body, reply)

    scenario.state.serve = counted  # type: ignore[method-assign]
    scenario.world.at(seconds(5), lambda: scenario._do(["submit", "wk-1", "team=t", "tasks=2", "run=5"]))
    # A job that was over before all controllers started: its state is read from the store.
    scenario.world.at(seconds(5), lambda: scenario._do(["submit", "wk-700123", "team=t", "tasks=2", "run=5"]))
    scenario.world.run_until(seconds(30))
    assert len(pages) == len(scenario.controllers)
    assert scenario.oracle.told["wk-1"] == scenario.oracle.told["wk-700123"] == "done"
    assert not [start for start in scenario.oracle.starts if start[1][0] == "wk-700123"]


def test_ends_are_gathered_while_changes_are_short_and_the_last_ones_come_with_the_final_state() -> None:
    rig = CoreHarness()
    core = rig.core
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=3)
    rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    core.context.cluster_state.apply("g/j/wk-1", None, rig.revision)  # nothing waits for the team's limit
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * 3))
    core.membership.assignment.team_homes["t"] = "n0"
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.context.state_served_at = clock_at(100).monotonic

    def committed(at: float) -> list[dict[str, object]]:
        """What is committed in a step, with changes short; each commit is answered."""
        core.context.now = clock_at(at).monotonic
        core.context.state_writes.available(core.context.now)
        core.context.state_writes.tokens = 0.7 * core.context.state_writes.burst
        core.membership.active_until = clock_at(10_000).monotonic
        calls = commits([*core.step(clock_at(at), [])])
        for call in calls:
            rig.revision += 1
            core.step(clock_at(at), [CallResult(call.call_id, 200, msgspec.json.encode({"ledger": rig.revision}))])
        return [op for call in calls for op in msgspec.json.decode(call.body or b"").get("apply", [])]

    committed(200)
    core.state_writer.record_exit("wk-2", 0, 1, Outcome(True))
    core.state_writer.record_exit("wk-2", 1, 1, Outcome(True))
    assert [op for at in (201, 202, 203) for op in committed(at) if "wk-2" in str(op)] == []
    assert not core.state_writer.commit_pending  # nothing but the wait kept them
    core.state_writer.record_exit("wk-2", 2, 1, Outcome(True))
    ops = [op for op in committed(203.5) if "wk-2" in str(op)]
    assert {"write": "g/f/wk-2", "data": {"done": True, "tasks": 3}} in ops
    assert {"drop": "g/j/wk-2"} in ops
    assert not [op for op in ops if op.get("write") == "g/p/wk-2/0"]


def test_an_end_has_its_own_chunk_gathered_anew_and_no_other() -> None:
    rig = CoreHarness()
    cluster_state, exit_tracker = rig.core.context.cluster_state, rig.core.state_writer.exit_tracker
    size = cluster_state.chunk_size
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=3 * size)
    rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    rig.step([])
    rig.core.membership.assignment.team_homes["t"] = "n0"
    rows = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * size
    for index in range(3):
        rig.put_record(f"g/p/wk-2/{index}", rec.ChunkRecord(rows))
    for number in (0, 1, size, 2 * size):
        exit_tracker.record_exit("wk-2", number, 1, Outcome(True))
    before = exit_tracker.batches()
    assert [len(before["wk-2", index].exits) for index in range(3)] == [2, 1, 1]
    exit_tracker.record_exit("wk-2", size + 1, 1, Outcome(False, "stopped"))
    after = exit_tracker.batches()
    # A whole job's ends were gathered anew for each, 25,000 of the largest array's.
    assert [after["wk-2", index] is before["wk-2", index] for index in range(3)] == [True, False, True]
    assert len(after["wk-2", 1].exits) == 2 and after["wk-2", 1].completed == 1
    # What the records tell is settled, and only that chunk is looked at.
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] + rows[1:]))
    assert len(exit_tracker.batches()["wk-2", 0].exits) == 1
    rig.revision += 1
    cluster_state.apply("g/j/wk-2", None, rig.revision)
    assert exit_tracker.batches() == {} and not exit_tracker.exits


def test_ends_are_noted_at_once_only_for_teams_whose_limit_holds_their_work_up() -> None:
    rig = CoreHarness()
    core = rig.core
    limit = core.context.cluster_state.limits["t"].cpu_limit
    rig.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, rig.revision)
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.JobKind.ARRAY, tasks=100, cpus=limit / 100, gpus=0.0)
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    for active, bound in ((50, set()), (89, set()), (91, {"t"}), (100, set())):
        rows = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * active + [TaskRecord()] * (100 - active)
        rig.put_record("g/p/wk-2/0", rec.ChunkRecord(rows))
        rig.put_record("g/j/wk-3", rec.JobRecord(msgspec.structs.replace(spec, id="wk-3", tasks=90), 0))
        if active == 100:
            rig.revision += 1
            core.context.cluster_state.apply("g/j/wk-3", None, rig.revision)  # nothing waits
        assert teams_held_by_limit(core.context.cluster_state) == bound, active


def test_a_job_past_helping_has_no_privilege_if_its_team_has_more_than_its_guarantee() -> None:
    rig = CoreHarness()
    core = rig.core
    core.context.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 100.0, 0.9, "c")]
    guarantee = core.context.cluster_state.limits["t"].cpus
    spec = msgspec.structs.replace(
        SPEC, kind=wire.JobKind.ARRAY, tasks=4, cpus=guarantee / 8, gpus=0.0, estimate_s=20.0, job_class="c"
    )
    rig.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, rig.revision)
    now = core.context.wall_time.timestamp()

    def submit(name: str, age: float) -> None:
        record = rec.JobRecord(msgspec.structs.replace(spec, id=name), int((now - age) * 1000))
        rig.put_record(f"g/j/{name}", record)

    def pressing() -> set[str]:
        cluster_state = core.context.cluster_state
        inside = cluster_state.guaranteed_jobs()
        return {
            name for name, job in cluster_state.queued_jobs.items() if core.scheduler.ordering.is_pressing(job, inside)
        }

    submit("wk-2", 120.0)
    submit("wk-3", 30.0)
    # All that the team has fits: it need not wait for others, however late.
    assert pressing() == {"wk-2", "wk-3"}
    submit("wk-4", 10.0)
    assert core.context.cluster_state.guaranteed_jobs() == {"wk-2", "wk-3"}
    assert pressing() == {"wk-3"}
    # A service that is late is missed as long as it is not up.
    late = core.context.cluster_state.jobs["wk-2"]
    service = rec.JobRecord(msgspec.structs.replace(spec, kind=wire.JobKind.SERVICE), late.record.accepted_ms)
    assert core.scheduler.ordering._past_helping(late) and not core.scheduler.ordering._past_helping(
        Job(service, 1, 10)
    )
    # Nor is anything left lying for ever.
    submit("wk-5", 400.0)
    assert pressing() == {"wk-5"}


def test_the_more_work_waits_the_rarer_are_rounds_unless_there_is_more_to_write() -> None:
    state_writer = CoreHarness().core.state_writer
    pauses = {}
    for waiting in (0, 20, 70, 5000):
        state_writer.waiting_jobs = waiting
        pauses[waiting] = round(state_writer._flush_delay().total_seconds() * 1000)
    assert pauses == {0: 100, 20: 100, 70: 200, 5000: 400}
    state_writer._was_full = True
    assert state_writer._flush_delay().total_seconds() == 0.1
