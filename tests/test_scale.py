"""What a round, a report or a change costs does not grow with the fleet where it need not.

Nothing here looks at a clock: what is counted repeats exactly.
"""

from __future__ import annotations

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.events import Answered, Asked, Call, Target, Verb
from gladecroft.coordination.scheduling.placement import HighPlacer, LowSide, Ranking
from gladecroft.coordination.state_writer import Outcome
from gladecroft.coordination.state_writer.completion import bound_teams
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import Replier, seconds
from gladecroft.protocol import peers, wire
from gladecroft.protocol.settings import Objective
from test_epochs import clock
from test_fencing import SPEC, Rig
from test_placement import LINE, need, slot

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
        return sum(controller.core.placers.floor.looked for controller in scenario.controllers if controller.core)

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
    slots = [slot("m-1"), slot("m-2"), slot("m-3")]
    wanted = need(8)
    ranking = Ranking(wanted, slots, HighPlacer.rank)
    taken = []
    while ranking:
        best = next(iter(ranking))
        taken.append(best.machine)
        ranking.take(best, LINE)
    # The busiest comes first, so a machine is filled before the next is begun.
    assert taken == ["m-1", "m-1", "m-2", "m-2", "m-3", "m-3"]
    low = Ranking(need(4, rank=2, image="x"), [slot("m-4"), slot("m-5", images=("x",))], LowSide.rank)
    assert [each.machine for each in low] == ["m-5", "m-4"]


def rig_with_a_foreign_home() -> Rig:
    rig = Rig()
    rig.core.membership.parts.homes["t"] = "n1"
    rig.place(TaskState.ACTIVE)
    rig.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "exited", "cause": "done"}
    return rig


def calls(rig: Rig, at: float) -> list[Call]:
    return [effect for effect in rig.core.step(clock(at), []) if isinstance(effect, Call)]


def test_an_owner_tells_the_home_of_an_end_and_mails_it_only_in_vain() -> None:
    rig = rig_with_a_foreign_home()
    rig.core.membership._last_renewal = clock(100_000).steady  # no renewals between the calls looked at
    rig.core.node.state_ok_at = clock(150).steady
    rig.token = 1 << 24  # the machine has heard this owner
    first = rig.core.step(clock(200), [Asked(1, Verb.REPORT, rig.report())])
    told = [effect for effect in first if isinstance(effect, Call) and effect.target is Target.PEER]
    assert len(told) == 1
    message: peers.Ended = wire.decode(peers.Ended, told[0].body or b"")
    assert message == peers.Ended(1, [peers.EndedAttempt("wk-1", 0, 1, True)])
    early = [call for call in [*first, *calls(rig, 200.5)] if isinstance(call, Call) and call.path == wire.COMMIT_PATH]
    assert not [call for call in early if b"g/p/wk-1" in (call.body or b"")]
    late = [call for call in calls(rig, 203) if call.path == wire.COMMIT_PATH]
    assert not [call for call in late if b"g/p/wk-1" in (call.body or b"")]
    mail = [call for call in late if b"g/x/n0" in (call.body or b"")]
    assert len(mail) == 1 and b'["wk-1",0,1,true' in (mail[0].body or b"")


def tell(rig: Rig, epoch: int) -> None:
    body = wire.encode(peers.Ended(epoch, [peers.EndedAttempt("wk-1", 0, 1, True)]))
    rig.core.step(clock(200), [Asked(5, Verb.ENDED, body)])


def test_a_proof_counts_under_its_epoch_only() -> None:
    for epoch, taken in ((1, True), (2, False), (0, False)):
        rig = Rig()
        rig.core.membership.parts.homes["t"] = "n0"
        rig.put("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-9")]))
        rig.put("g/m/m-9", rec.MachineRecord("g", "a", False, "10.1.0.9:9000"))
        tell(rig, epoch)
        assert bool(rig.core.ledger.exits) is taken
        # A new epoch may have given the machine, and so the attempt, to somebody else.
        rig.put(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-9": "n1"}))
        rig.core.step(clock(201), [])
        assert not rig.core.ledger.exits


def test_the_longest_message_between_controllers_fits_a_body() -> None:
    ended = peers.EndedAttempt("wk-" + "9" * 40, 99_999, 2**63, False, "x" * 24, True)
    assert len(msgspec.json.encode(peers.Ended(2**63, [ended] * peers.MOST_ENDED))) <= wire.MAX_BODY


def test_teams_are_shared_out_evenly() -> None:
    rig = Rig()
    membership = rig.core.membership
    rig.core.node.picture.limits.update(
        {f"t{index}": rig.core.node.picture.limits["t"] for index in range(9)}  # ten in all
    )
    membership.parts.share_out_teams()
    homes = [membership.home(team) for team in rig.core.node.picture.limits]
    assert sorted(map(homes.count, ("n0", "n1"))) == [5, 5]


def commits(effects: list[object]) -> list[Call]:
    return [effect for effect in effects if isinstance(effect, Call) and effect.path == wire.COMMIT_PATH]


def test_a_home_places_only_under_a_claim_that_no_late_commit_can_come_on_top_of() -> None:
    rig = Rig()
    core = rig.core
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, cpus=4.0, gpus=0.0)
    rig.revision += 1
    core.node.picture.apply("g/j/wk-1", None, rig.revision)
    rig.put("g/j/wk-1", rec.JobRecord(spec, 0))
    core.membership.parts.homes["t"] = "n0"
    core.membership._last_renewal = clock(100_000).steady
    core.node.state_ok_at = clock(100).steady
    core.placers.floor.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})

    reads: list[Call] = []

    def step(at: float, *events: object) -> dict[str, Call]:
        """The commits of a step, by whether they claim the team or place the task."""
        effects = core.step(clock(at), [*events])  # type: ignore[list-item]
        reads.extend(effect for effect in effects if isinstance(effect, Call) and effect.path.startswith("/store/"))
        calls = commits([*effects])
        return {"place" if b'"g/p/wk-1/0","data"' in (call.body or b"") else "claim": call for call in calls}

    def ok(call: Call) -> Answered:
        rig.revision += 1
        return Answered(call.number, 200, msgspec.json.encode({"ledger": rig.revision}))

    rig.token = 1 << 24  # the machine has heard this owner
    claim = step(200, Asked(1, Verb.REPORT, rig.report()))["claim"]
    assert b"g/t/" in (claim.body or b"")
    # Committed, but the watch has not brought yet what was committed before it.
    assert "place" not in {**step(201.2, ok(claim)), **step(202)}
    core.node.picture.revision = rig.revision
    place = step(203)["place"]
    # Its outcome is not known: it may be executed at any time from now on.
    again = {**step(203.2, Answered(place.number, 0)), **step(203.6)}
    assert reads
    again.update(step(204, *[Answered(read.number, 404, msgspec.json.encode({"ledger": 0})) for read in reads]))
    again.update(step(204.5))
    assert "place" not in again
    step(205, ok(again["claim"]))
    core.node.picture.revision = rig.revision
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
    rig = Rig()
    core = rig.core
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.Kind.ARRAY, tasks=3)
    rig.put(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    core.node.picture.apply("g/j/wk-1", None, rig.revision)  # nothing waits for the team's limit
    rig.put("g/j/wk-2", rec.JobRecord(spec, 0))
    rig.put("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * 3))
    core.membership.parts.homes["t"] = "n0"
    core.membership._last_renewal = clock(100_000).steady
    core.node.state_ok_at = clock(100).steady

    def committed(at: float) -> list[dict[str, object]]:
        """What is committed in a step, with changes short; each commit is answered."""
        core.node.now = clock(at).steady
        core.node.writes.look(core.node.now)
        core.node.writes.level = 0.7 * core.node.writes.burst
        core.membership.entitled_until = clock(10_000).steady
        calls = commits([*core.step(clock(at), [])])
        for call in calls:
            rig.revision += 1
            core.step(clock(at), [Answered(call.number, 200, msgspec.json.encode({"ledger": rig.revision}))])
        return [op for call in calls for op in msgspec.json.decode(call.body or b"").get("apply", [])]

    committed(200)
    core.ledger.exit("wk-2", 0, 1, Outcome(True))
    core.ledger.exit("wk-2", 1, 1, Outcome(True))
    assert [op for at in (201, 202, 203) for op in committed(at) if "wk-2" in str(op)] == []
    assert not core.ledger.busy  # nothing but the wait kept them
    core.ledger.exit("wk-2", 2, 1, Outcome(True))
    ops = [op for op in committed(203.5) if "wk-2" in str(op)]
    assert {"write": "g/f/wk-2", "data": {"done": True, "tasks": 3}} in ops
    assert {"drop": "g/j/wk-2"} in ops
    assert not [op for op in ops if op.get("write") == "g/p/wk-2/0"]


def test_an_end_has_its_own_chunk_gathered_anew_and_no_other() -> None:
    rig = Rig()
    picture, ends = rig.core.node.picture, rig.core.ledger.ends
    size = picture.size
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.Kind.ARRAY, tasks=3 * size)
    rig.put(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    rig.put("g/j/wk-2", rec.JobRecord(spec, 0))
    rig.step([])
    rig.core.membership.parts.homes["t"] = "n0"
    rows = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * size
    for index in range(3):
        rig.put(f"g/p/wk-2/{index}", rec.ChunkRecord(rows))
    for number in (0, 1, size, 2 * size):
        ends.exit("wk-2", number, 1, Outcome(True))
    before = ends.by_chunk()
    assert [len(before["wk-2", index].ends) for index in range(3)] == [2, 1, 1]
    ends.exit("wk-2", size + 1, 1, Outcome(False, "stopped"))
    after = ends.by_chunk()
    # A whole job's ends were gathered anew for each, 25,000 of the largest array's.
    assert [after["wk-2", index] is before["wk-2", index] for index in range(3)] == [True, False, True]
    assert len(after["wk-2", 1].ends) == 2 and after["wk-2", 1].done == 1
    # What the records tell is settled, and only that chunk is looked at.
    rig.put("g/p/wk-2/0", rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] + rows[1:]))
    assert len(ends.by_chunk()["wk-2", 0].ends) == 1
    rig.revision += 1
    picture.apply("g/j/wk-2", None, rig.revision)
    assert ends.by_chunk() == {} and not ends.exits


def test_ends_are_noted_at_once_only_for_teams_whose_limit_holds_their_work_up() -> None:
    rig = Rig()
    core = rig.core
    limit = core.node.picture.limits["t"].most_cpus
    rig.revision += 1
    core.node.picture.apply("g/j/wk-1", None, rig.revision)
    spec = msgspec.structs.replace(SPEC, id="wk-2", kind=wire.Kind.ARRAY, tasks=100, cpus=limit / 100, gpus=0.0)
    rig.put("g/j/wk-2", rec.JobRecord(spec, 0))
    for active, bound in ((50, set()), (89, set()), (91, {"t"}), (100, set())):
        rows = [TaskRecord(TaskState.ACTIVE, 1, "m-1")] * active + [TaskRecord()] * (100 - active)
        rig.put("g/p/wk-2/0", rec.ChunkRecord(rows))
        rig.put("g/j/wk-3", rec.JobRecord(msgspec.structs.replace(spec, id="wk-3", tasks=90), 0))
        if active == 100:
            rig.revision += 1
            core.node.picture.apply("g/j/wk-3", None, rig.revision)  # nothing waits
        assert bound_teams(core.node.picture) == bound, active


def test_a_job_past_helping_has_no_privilege_if_its_team_has_more_than_its_guarantee() -> None:
    rig = Rig()
    core = rig.core
    core.node.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 100.0, 0.9, "c")]
    guarantee = core.node.picture.limits["t"].cpus
    spec = msgspec.structs.replace(
        SPEC, kind=wire.Kind.ARRAY, tasks=4, cpus=guarantee / 8, gpus=0.0, estimate_s=20.0, job_class="c"
    )
    rig.revision += 1
    core.node.picture.apply("g/j/wk-1", None, rig.revision)
    now = core.node.wall.timestamp()

    def submit(name: str, age: float) -> None:
        record = rec.JobRecord(msgspec.structs.replace(spec, id=name), int((now - age) * 1000))
        rig.put(f"g/j/{name}", record)

    def pressing() -> set[str]:
        picture = core.node.picture
        inside = picture.guaranteed()
        return {name for name, job in picture.queued.items() if core.placers.queue.is_pressing(job, inside)}

    submit("wk-2", 120.0)
    submit("wk-3", 30.0)
    # All that the team has fits: it need not wait for others, however late.
    assert pressing() == {"wk-2", "wk-3"}
    submit("wk-4", 10.0)
    assert core.node.picture.guaranteed() == {"wk-2", "wk-3"}
    assert pressing() == {"wk-3"}
    # A service that is late is missed as long as it is not up.
    late = core.node.picture.jobs["wk-2"]
    service = rec.JobRecord(msgspec.structs.replace(spec, kind=wire.Kind.SERVICE), late.record.accepted_ms)
    assert core.placers.queue._past_helping(late) and not core.placers.queue._past_helping(Job(service, 1, 10))
    # Nor is anything left lying for ever.
    submit("wk-5", 400.0)
    assert pressing() == {"wk-5"}


def test_the_more_work_waits_the_rarer_are_rounds_unless_there_is_more_to_write() -> None:
    ledger = Rig().core.ledger
    pauses = {}
    for waiting in (0, 20, 70, 5000):
        ledger.waiting = waiting
        pauses[waiting] = round(ledger._pause().total_seconds() * 1000)
    assert pauses == {0: 100, 20: 100, 70: 200, 5000: 400}
    ledger._was_full = True
    assert ledger._pause().total_seconds() == 0.1
