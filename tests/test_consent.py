"""Consent never lets a controller answer machines that another may have taken, whatever fails meanwhile."""

from __future__ import annotations

import random
from datetime import timedelta
from functools import partial

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskState
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR
from gladecroft.coordination.core import Core
from gladecroft.coordination.events import CallResult, IncomingRequest, OutgoingCall, Reply, RequestKind, Target
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import seconds
from gladecroft.protocol import peers, wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from test_epochs import PLATFORM, clock_at
from test_fencing import SPEC, CoreHarness

FLEET = """
set machine.consolidate=false
team t cpus=64 max=128
type g16 cpus=16 memory=64
up g16 count=3
up g16 zone=b count=3
at 1 submit wk-1 team=t tasks=12 cpus=4 memory=2 run=40
at 1 submit wk-2 team=t kind=service tasks=4 cpus=1 spread=yes
run 12
"""
EVERY = timedelta(milliseconds=50)


class AnswerMonitor:
    """Notes when each controller, in each life, learns of an epoch, and what the others answer after that."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.world = scenario.world
        self.learned: dict[tuple[str, int], list[tuple[int, timedelta]]] = {}
        self.broken: list[str] = []
        self.answered = 0
        self._look()

    def _look(self) -> None:
        cores = [(each, each.core) for each in self.scenario.controllers if each.core is not None]
        for controller, core in cores:
            known = self.learned.setdefault((controller.name, controller.life), [(-1, self.world.now)])
            newest = core.membership.newest_epoch()
            if newest > known[-1][0]:
                known.append((newest, self.world.now))
        for controller, core in cores:
            epoch = core.membership.epoch
            if epoch is None:
                continue
            last = max(
                (each.answered_at or timedelta() for each in core.machine_manager.machines.values()),
                default=timedelta(),
            )
            at = last / controller.drift
            if self.world.now - at > EVERY:
                continue
            self.answered += 1
            for other, _ in cores:
                for number, since in self.learned[(other.name, other.life)]:
                    if number > epoch.number and at - since > core.context.member_ttl * CLOCK_SKEW_FACTOR + EVERY:
                        self.broken.append(
                            f"{controller.name} answers in {epoch.number} at {at}, {other.name} knew {number} {since}"
                        )
        self.world.later(EVERY, self._look)


def drawn(seed: int) -> Scenario:
    """A fleet through a minute of outages, refusals, cuts and ends, close together."""
    rng = random.Random(seed)
    scenario = Scenario(FLEET, seed).run()
    names = [controller.name for controller in scenario.controllers]
    for _ in range(rng.randint(3, 7)):
        one, span = rng.choice(names), f"for={rng.uniform(1, 25):.1f}"
        deed = rng.choice((
            ["outage", span],
            ["refuse", one, span],
            ["crash", one, f"for={rng.uniform(0.2, 8):.1f}"],
            ["crash", "all", f"for={rng.uniform(0.2, 8):.1f}"],
            ["cut", one, "state", span, f"mode={rng.choice(('hold', 'lose'))}"],
            ["cut", one, *rng.sample(names, 2), span, f"mode={rng.choice(('hold', 'lose'))}"],
            ["cut", one, "workers", span],
            ["cancel", "wk-2"],
        ))  # fmt: skip
        at = rng.uniform(12, 50)
        scenario.world.at(seconds(at), partial(scenario._do, deed))
    return scenario


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_nobody_answers_a_machine_for_longer_than_a_lease_after_it_may_be_anothers(first: int) -> None:
    answered = 0
    for seed in range(first, first + 10):
        scenario = drawn(seed)
        watcher = AnswerMonitor(scenario)
        scenario.world.run_until(seconds(100))
        assert watcher.broken == [], f"seed {seed}"
        assert scenario.oracle.broken == [], f"seed {seed}"
        answered += watcher.answered
    assert answered > 100


def unserved(rig: CoreHarness, at: float) -> list[OutgoingCall]:
    """The state service refuses whatever was asked; what is then asked of siblings."""
    context = rig.core.context
    context.state_bad_since = clock_at(at).monotonic
    effects = rig.core.step(clock_at(at), [])
    return [effect for effect in effects if isinstance(effect, OutgoingCall) and effect.target is Target.PEER]


def report_status(rig: CoreHarness, at: float) -> int:
    effects = rig.core.step(clock_at(at), [IncomingRequest(9, RequestKind.REPORT, rig.report())])
    return next(effect.status for effect in effects if isinstance(effect, Reply) and effect.request_id == 9)


def entitled_rig() -> CoreHarness:
    rig = CoreHarness()
    rig.put_record("g/epoch", {"number": 2, "leader": "n0", "members": {"n0": 7, "n1": 8}, "moved": {"m-1": "n0"}})
    core = rig.core
    core.step(clock_at(199), [])
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.membership.renewed_at = clock_at(199).monotonic
    core.membership.active_until = clock_at(205).monotonic
    core.context.cluster_state.revision = rig.revision
    return rig


def test_consent_is_asked_for_only_while_the_state_service_does_not_answer() -> None:
    rig = entitled_rig()
    rig.core.context.state_served_at = clock_at(199).monotonic
    quiet = [
        call for at in (200, 201, 202) for call in rig.core.step(clock_at(at), []) if isinstance(call, OutgoingCall)
    ]
    assert [call for call in quiet if call.path == peers.CONSENT_PATH] == []
    assert [call.path for call in unserved(rig, 203)] == [peers.CONSENT_PATH]


def test_consent_prolongs_a_right_but_never_revives_one() -> None:
    for answer_at, then_at, status in ((203.1, 208.0, 200), (205.5, 206.0, 503)):
        rig = entitled_rig()
        (call,) = unserved(rig, 203)
        rig.core.step(clock_at(answer_at), [CallResult(call.call_id, 200, b"{}")])
        assert report_status(rig, then_at) == status, (answer_at, then_at)
    # A lease after the request to which consent was given, the right is over.
    rig = entitled_rig()
    (call,) = unserved(rig, 203)
    rig.core.step(clock_at(203.1), [CallResult(call.call_id, 200, b"{}")])
    assert report_status(rig, 203 + rig.core.context.member_ttl.total_seconds() + 0.1) == 503


def test_consent_ends_before_a_cancellation_that_is_not_known_here_is_due() -> None:
    rig = entitled_rig()
    workers = rig.core.context.cluster.workers
    at = 203.0
    while report_status(rig, at) == 200:
        for call in unserved(rig, at):
            rig.core.step(clock_at(at), [CallResult(call.call_id, 200, b"{}")])
        at += 0.5
        assert at < 400
    # The last answer, then the machine's lease: all within the time since the last good renewal.
    assert 199 + rig.core.context.member_ttl.total_seconds() < at < 199 + workers.cancel_s - workers.lease_s


def test_a_sibling_consents_only_if_it_is_not_served_and_knows_no_newer_epoch() -> None:
    for bad, asked_epoch, status in ((True, 2, 200), (True, 1, 409), (False, 2, 409), (True, 3, 200)):
        rig = entitled_rig()
        context = rig.core.context
        context.state_bad_since = clock_at(199).monotonic if bad else None
        body = wire.encode(peers.ConsentRequest(asked_epoch))
        effects = rig.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
        assert [effect.status for effect in effects if isinstance(effect, Reply)] == [status], (bad, asked_epoch)
    # Reading all records again forgets the picture, not that an epoch was known.
    rig = entitled_rig()
    rig.core.context.state_bad_since = clock_at(199).monotonic
    rig.core.context.cluster_state.reset()
    effects = rig.core.step(
        clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, wire.encode(peers.ConsentRequest(1)))]
    )
    assert [effect.status for effect in effects if isinstance(effect, Reply)] == [409]


def test_a_controller_that_all_siblings_say_is_not_alone_stays_healthy() -> None:
    rig = entitled_rig()
    core = rig.core
    core.scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})
    core.context.state_served_at = clock_at(199).monotonic
    core.context.state_bad_since = clock_at(200).monotonic
    core.context.now = clock_at(203).monotonic
    assert not core.healthy()
    (call,) = unserved(rig, 203)
    core.step(clock_at(203.1), [CallResult(call.call_id, 200, b"{}")])
    core.context.state_bad_since = clock_at(200).monotonic
    assert core.healthy()
    core.context.now = clock_at(203 + core.context.member_ttl.total_seconds()).monotonic
    assert not core.healthy()


def consented(rig: CoreHarness, at: float, answer: peers.ConsentReply) -> None:
    for call in unserved(rig, at):
        rig.core.step(clock_at(at), [CallResult(call.call_id, 200, wire.encode(answer))])


def test_consent_lasts_while_all_siblings_tell_of_all_cancellations() -> None:
    rig = entitled_rig()
    for at in range(203, 400, 1):
        consented(rig, at, peers.ConsentReply([], True))
    assert rig.core.consent.may_answer_machines()
    # From then on one tells no more: it was started again and has read nothing since.
    workers = rig.core.context.cluster.workers
    last = 399.0
    while rig.core.consent.may_answer_machines():
        last += 0.5
        consented(rig, last, peers.ConsentReply())
        rig.core.step(clock_at(last), [])
    assert 399 + rig.core.context.member_ttl.total_seconds() < last < 399 + workers.cancel_s - workers.lease_s


def test_a_sibling_tells_of_the_cancellations_that_the_asker_may_not_know() -> None:
    rig = entitled_rig()
    context = rig.core.context
    context.state_bad_since = clock_at(199).monotonic

    def answer(revision: int | None) -> peers.ConsentReply:
        body = wire.encode(peers.ConsentRequest(2, revision))
        (reply,) = [
            each
            for each in rig.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
            if isinstance(each, Reply)
        ]
        consent: peers.ConsentReply = wire.decode(peers.ConsentReply, reply.body)
        return consent

    before = rig.revision
    assert answer(before) == peers.ConsentReply([], True)
    rig.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0, True))
    assert answer(before) == peers.ConsentReply([peers.CancelledJob("wk-1", rig.revision)], True)
    assert answer(rig.revision) == peers.ConsentReply([], True)
    # An older controller does not say how much it knows, and one that is reading its records does not know all.
    assert not answer(None).complete
    context.records_loaded = False
    assert not answer(before).complete


def test_more_cancellations_than_a_message_holds_are_not_called_all(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers, "MAX_CANCELLED_PER_MESSAGE", 0)
    rig = entitled_rig()
    rig.core.context.state_bad_since = clock_at(199).monotonic
    rig.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0, True))
    body = wire.encode(peers.ConsentRequest(2, rig.revision - 1))
    (reply,) = [
        each
        for each in rig.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
        if isinstance(each, Reply)
    ]
    assert not wire.decode(peers.ConsentReply, reply.body).complete


def test_a_cancellation_that_a_sibling_tells_of_stops_the_task_and_nothing_more() -> None:
    rig = entitled_rig()
    rig.place_task(TaskState.ACTIVE)
    rig.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "running"}
    told = peers.CancelledJob("wk-1", rig.revision + 5)

    def orders(at: float) -> list[tuple[str, float]]:
        effects = rig.core.step(clock_at(at), [IncomingRequest(9, RequestKind.REPORT, rig.report())])
        (reply,) = [each for each in effects if isinstance(each, Reply)]
        rig.token = msgspec.json.decode(reply.body)["baton"]
        return [(each["verb"], each.get("mercyS")) for each in msgspec.json.decode(reply.body)["orders"]]

    assert orders(201) == []
    consented(rig, 203, peers.ConsentReply([told], True))
    assert orders(204) == [("halt", 0.0)]
    rig.tasks["wk-1/0"].update(status="exited", cause="halted")
    assert orders(205) == []  # the records still place it there: it is neither reaped nor started
    del rig.tasks["wk-1/0"]
    assert orders(206) == []
    # The watch brings the same later, and then it is no news.
    job = rig.core.context.cluster_state.jobs["wk-1"]
    assert job.cancelled and job.version == told.version


@pytest.mark.parametrize("body", [b"[]", b"no JSON", b'{"complete":1}', b'{"cancelled":[["wk-1"]],"complete":true}'])
def test_a_malformed_answer_is_no_consent(body: bytes) -> None:
    rig = entitled_rig()
    for call in unserved(rig, 203):
        rig.core.step(clock_at(203.1), [CallResult(call.call_id, 200, body)])
    assert report_status(rig, 208) == 503


def test_settings_that_leave_no_room_switch_consent_off() -> None:
    for cancel_s, possible in ((43.0, True), (22.0, False)):
        platform = msgspec.convert(PLATFORM, PlatformSettings)
        platform.cluster.workers.cancel_s = cancel_s
        assert Core(platform, OperatorSettings()).consent._possible is possible, cancel_s


@pytest.mark.parametrize(
    "verb",
    [
        RequestKind.CONSENT,
        RequestKind.ATTEMPTS_ENDED,
        RequestKind.MACHINES_REPORTED,
        RequestKind.QUERY_REPORTING,
        RequestKind.REPORT,
    ],
)
@pytest.mark.parametrize("body", [b"", b"[]", b'{"epoch":"2","attempts":7,"machines":{}}', b'{"epoch":-1.5}', b"\xff"])
def test_what_a_sibling_says_that_cant_be_read_is_refused_and_logged(
    verb: RequestKind, body: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    rig = entitled_rig()
    rig.place_task(TaskState.ACTIVE)
    effects = rig.core.step(clock_at(200), [IncomingRequest(4, verb, body)])
    assert [effect.status for effect in effects if isinstance(effect, Reply)] == [400]
    assert any("can't be read" in record.message for record in caplog.records)
    assert not rig.core.state_writer.exits and report_status(rig, 201) == 200
