"""Consent never lets a controller answer machines that another one may have taken over, whatever fails."""

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
POLL_INTERVAL = timedelta(milliseconds=50)


class AnswerMonitor:
    """Checks that no controller answers machines in an old epoch a lease after another has learned of a newer one."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.sim = scenario.sim
        self.epochs_learned: dict[tuple[str, int], list[tuple[int, timedelta]]] = {}
        self.violations: list[str] = []
        self.answer_count = 0
        self._poll()

    def _poll(self) -> None:
        cores = [(each, each.core) for each in self.scenario.controllers if each.core is not None]
        for controller, core in cores:
            known = self.epochs_learned.setdefault((controller.name, controller.run_number), [(-1, self.sim.now)])
            newest = core.membership.newest_epoch()
            if newest > known[-1][0]:
                known.append((newest, self.sim.now))
        for controller, core in cores:
            epoch = core.membership.epoch
            if epoch is None:
                continue
            last = max(
                (each.answered_at or timedelta() for each in core.machine_manager.machines.values()),
                default=timedelta(),
            )
            at = last / controller.clock_rate
            if self.sim.now - at > POLL_INTERVAL:
                continue
            self.answer_count += 1
            for other, _ in cores:
                for number, since in self.epochs_learned[(other.name, other.run_number)]:
                    if (
                        number > epoch.number
                        and at - since > core.context.member_ttl * CLOCK_SKEW_FACTOR + POLL_INTERVAL
                    ):
                        self.violations.append(
                            f"{controller.name} answers in {epoch.number} at {at}, {other.name} knew {number} {since}"
                        )
        self.sim.call_later(POLL_INTERVAL, self._poll)


def randomized_scenario(seed: int) -> Scenario:
    """A fleet during a minute of random outages, refusals, network cuts and crashes."""
    rng = random.Random(seed)
    scenario = Scenario(FLEET, seed).run()
    names = [controller.name for controller in scenario.controllers]
    for _ in range(rng.randint(3, 7)):
        controller, duration = rng.choice(names), f"for={rng.uniform(1, 25):.1f}"
        action = rng.choice((
            ["outage", duration],
            ["refuse", controller, duration],
            ["crash", controller, f"for={rng.uniform(0.2, 8):.1f}"],
            ["crash", "all", f"for={rng.uniform(0.2, 8):.1f}"],
            ["cut", controller, "state", duration, f"mode={rng.choice(('hold', 'lose'))}"],
            ["cut", controller, *rng.sample(names, 2), duration, f"mode={rng.choice(('hold', 'lose'))}"],
            ["cut", controller, "workers", duration],
            ["cancel", "wk-2"],
        ))  # fmt: skip
        at = rng.uniform(12, 50)
        scenario.sim.call_at(seconds(at), partial(scenario._perform, action))
    return scenario


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_machine_is_answered_longer_than_a_lease_after_a_newer_epoch_is_known(first: int) -> None:
    answered = 0
    for seed in range(first, first + 10):
        scenario = randomized_scenario(seed)
        monitor = AnswerMonitor(scenario)
        scenario.sim.run_until(seconds(100))
        assert monitor.violations == [], f"seed {seed}"
        assert scenario.oracle.violations == [], f"seed {seed}"
        answered += monitor.answer_count
    assert answered > 100


def fail_state_service(harness: CoreHarness, at: float) -> list[OutgoingCall]:
    """Mark the state service as failing, and return the calls to peers that follow."""
    context = harness.core.context
    context.state_failing_since = clock_at(at).monotonic
    effects = harness.core.step(clock_at(at), [])
    return [effect for effect in effects if isinstance(effect, OutgoingCall) and effect.target is Target.PEER]


def report_status(harness: CoreHarness, at: float) -> int:
    """Status of the reply to a report of m-1."""
    effects = harness.core.step(clock_at(at), [IncomingRequest(9, RequestKind.REPORT, harness.report())])
    return next(effect.status for effect in effects if isinstance(effect, Reply) and effect.request_id == 9)


def active_harness() -> CoreHarness:
    """A core in epoch 2 that owns m-1 and is active until 205 s, with its renewals stopped."""
    harness = CoreHarness()
    harness.put_record("g/epoch", {"number": 2, "leader": "n0", "members": {"n0": 7, "n1": 8}, "moved": {"m-1": "n0"}})
    core = harness.core
    core.step(clock_at(199), [])
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    core.membership.renewed_at = clock_at(199).monotonic
    core.membership.active_until = clock_at(205).monotonic
    core.context.cluster_state.revision = harness.revision
    return harness


def test_consent_is_requested_only_while_the_state_service_fails() -> None:
    harness = active_harness()
    harness.core.context.state_served_at = clock_at(199).monotonic
    calls = [
        call for at in (200, 201, 202) for call in harness.core.step(clock_at(at), []) if isinstance(call, OutgoingCall)
    ]
    assert [call for call in calls if call.path == peers.CONSENT_PATH] == []
    assert [call.path for call in fail_state_service(harness, 203)] == [peers.CONSENT_PATH]


def test_consent_extends_the_right_to_answer_but_never_restores_it() -> None:
    for reply_at, then_at, status in ((203.1, 208.0, 200), (205.5, 206.0, 503)):
        harness = active_harness()
        (call,) = fail_state_service(harness, 203)
        harness.core.step(clock_at(reply_at), [CallResult(call.call_id, 200, b"{}")])
        assert report_status(harness, then_at) == status, (reply_at, then_at)
    # The right to answer ends one member lease after the request that was consented to.
    harness = active_harness()
    (call,) = fail_state_service(harness, 203)
    harness.core.step(clock_at(203.1), [CallResult(call.call_id, 200, b"{}")])
    assert report_status(harness, 203 + harness.core.context.member_ttl.total_seconds() + 0.1) == 503


def test_consent_ends_before_an_unknown_cancellation_is_due() -> None:
    harness = active_harness()
    workers = harness.core.context.cluster.workers
    at = 203.0
    while report_status(harness, at) == 200:
        for call in fail_state_service(harness, at):
            harness.core.step(clock_at(at), [CallResult(call.call_id, 200, b"{}")])
        at += 0.5
        assert at < 400
    # The last reply and the machine lease after it end within the cancellation limit of the last confirmed renewal.
    assert 199 + harness.core.context.member_ttl.total_seconds() < at < 199 + workers.cancel_s - workers.lease_s


def test_peer_consents_only_if_it_is_not_served_and_knows_no_newer_epoch() -> None:
    for failing, epoch, status in ((True, 2, 200), (True, 1, 409), (False, 2, 409), (True, 3, 200)):
        harness = active_harness()
        context = harness.core.context
        context.state_failing_since = clock_at(199).monotonic if failing else None
        body = wire.encode(peers.ConsentRequest(epoch))
        effects = harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
        assert [effect.status for effect in effects if isinstance(effect, Reply)] == [status], (failing, epoch)
    # Reloading the records resets the cluster state, but not the newest epoch ever known.
    harness = active_harness()
    harness.core.context.state_failing_since = clock_at(199).monotonic
    harness.core.context.cluster_state.reset()
    effects = harness.core.step(
        clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, wire.encode(peers.ConsentRequest(1)))]
    )
    assert [effect.status for effect in effects if isinstance(effect, Reply)] == [409]


def test_controller_stays_healthy_while_all_peers_confirm_the_outage() -> None:
    harness = active_harness()
    core = harness.core
    core.scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})
    core.context.state_served_at = clock_at(199).monotonic
    core.context.state_failing_since = clock_at(200).monotonic
    core.context.now = clock_at(203).monotonic
    assert not core.healthy()
    (call,) = fail_state_service(harness, 203)
    core.step(clock_at(203.1), [CallResult(call.call_id, 200, b"{}")])
    core.context.state_failing_since = clock_at(200).monotonic
    assert core.healthy()
    core.context.now = clock_at(203 + core.context.member_ttl.total_seconds()).monotonic
    assert not core.healthy()


def reply_to_consent_requests(harness: CoreHarness, at: float, reply: peers.ConsentReply) -> None:
    """Send this reply to every consent request of the step."""
    for call in fail_state_service(harness, at):
        harness.core.step(clock_at(at), [CallResult(call.call_id, 200, wire.encode(reply))])


def test_consent_lasts_while_all_peers_list_all_cancellations() -> None:
    harness = active_harness()
    for at in range(203, 400, 1):
        reply_to_consent_requests(harness, at, peers.ConsentReply([], True))
    assert harness.core.consent.may_answer_machines()
    # From now on one peer lists nothing: it has restarted and not read its records yet.
    workers = harness.core.context.cluster.workers
    last = 399.0
    while harness.core.consent.may_answer_machines():
        last += 0.5
        reply_to_consent_requests(harness, last, peers.ConsentReply())
        harness.core.step(clock_at(last), [])
    assert 399 + harness.core.context.member_ttl.total_seconds() < last < 399 + workers.cancel_s - workers.lease_s


def test_consent_lists_the_cancellations_newer_than_the_requesters_revision() -> None:
    harness = active_harness()
    context = harness.core.context
    context.state_failing_since = clock_at(199).monotonic

    def consent_for(known_revision: int | None) -> peers.ConsentReply:
        body = wire.encode(peers.ConsentRequest(2, known_revision))
        (reply,) = [
            each
            for each in harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
            if isinstance(each, Reply)
        ]
        consent: peers.ConsentReply = wire.decode(peers.ConsentReply, reply.body)
        return consent

    old_revision = harness.revision
    assert consent_for(old_revision) == peers.ConsentReply([], True)
    harness.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0, True))
    assert consent_for(old_revision) == peers.ConsentReply([peers.CancelledJob("wk-1", harness.revision)], True)
    assert consent_for(harness.revision) == peers.ConsentReply([], True)
    # A requester of an older version sends no revision, and a controller still loading its records does not know all
    # cancellations.
    assert not consent_for(None).complete
    context.records_loaded = False
    assert not consent_for(old_revision).complete


def test_consent_is_incomplete_if_the_cancellations_exceed_the_message_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers, "MAX_CANCELLED_PER_MESSAGE", 0)
    harness = active_harness()
    harness.core.context.state_failing_since = clock_at(199).monotonic
    harness.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0, True))
    body = wire.encode(peers.ConsentRequest(2, harness.revision - 1))
    (reply,) = [
        each
        for each in harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.CONSENT, body)])
        if isinstance(each, Reply)
    ]
    assert not wire.decode(peers.ConsentReply, reply.body).complete


def test_cancellation_from_a_peer_only_stops_the_task() -> None:
    harness = active_harness()
    harness.place_task(TaskState.ACTIVE)
    harness.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "running"}
    cancelled_job = peers.CancelledJob("wk-1", harness.revision + 5)

    def commands(at: float) -> list[tuple[str, float]]:
        effects = harness.core.step(clock_at(at), [IncomingRequest(9, RequestKind.REPORT, harness.report())])
        (reply,) = [each for each in effects if isinstance(each, Reply)]
        harness.token = msgspec.json.decode(reply.body)["baton"]
        return [(each["verb"], each.get("mercyS")) for each in msgspec.json.decode(reply.body)["orders"]]

    assert commands(201) == []
    reply_to_consent_requests(harness, 203, peers.ConsentReply([cancelled_job], True))
    assert commands(204) == [("halt", 0.0)]
    harness.tasks["wk-1/0"].update(status="exited", cause="halted")
    assert commands(205) == []  # it is still placed there in the records: neither reaped nor started
    del harness.tasks["wk-1/0"]
    assert commands(206) == []
    # The watch delivers the same record later, without further effect.
    job = harness.core.context.cluster_state.jobs["wk-1"]
    assert job.cancelled and job.version == cancelled_job.version


@pytest.mark.parametrize("body", [b"[]", b"no JSON", b'{"complete":1}', b'{"cancelled":[["wk-1"]],"complete":true}'])
def test_malformed_reply_is_no_consent(body: bytes) -> None:
    harness = active_harness()
    for call in fail_state_service(harness, 203):
        harness.core.step(clock_at(203.1), [CallResult(call.call_id, 200, body)])
    assert report_status(harness, 208) == 503


def test_consent_is_disabled_if_cancel_s_leaves_too_little_margin() -> None:
    for cancel_s, enabled in ((43.0, True), (22.0, False)):
        platform = msgspec.convert(PLATFORM, PlatformSettings)
        platform.cluster.workers.cancel_s = cancel_s
        assert Core(platform, OperatorSettings()).consent._enabled is enabled, cancel_s


@pytest.mark.parametrize(
    "kind",
    [
        RequestKind.CONSENT,
        RequestKind.ATTEMPTS_ENDED,
        RequestKind.MACHINES_REPORTED,
        RequestKind.QUERY_REPORTING,
        RequestKind.REPORT,
    ],
)
@pytest.mark.parametrize("body", [b"", b"[]", b'{"epoch":"2","attempts":7,"machines":{}}', b'{"epoch":-1.5}', b"\xff"])
def test_undecodable_request_is_rejected_and_logged(
    kind: RequestKind, body: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    harness = active_harness()
    harness.place_task(TaskState.ACTIVE)
    effects = harness.core.step(clock_at(200), [IncomingRequest(4, kind, body)])
    assert [effect.status for effect in effects if isinstance(effect, Reply)] == [400]
    assert any("can't be read" in record.message for record in caplog.records)
    assert not harness.core.state_writer.exits and report_status(harness, 201) == 200
