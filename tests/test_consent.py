"""Consent never lets a controller renew leases of machines that another one may have taken over, whatever fails."""

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

# Setup of a scenario; tests/scenarios/README explains the commands.
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


class ReplyMonitor:
    """Checks that a controller stops replying within a member lease after another one has learned of a newer epoch."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.sim = scenario.sim
        self.known_epochs: dict[tuple[str, int], list[tuple[int, timedelta]]] = {}
        self.violations: list[str] = []
        self.recent_reply_count = 0
        self._poll()

    def _poll(self) -> None:
        cores = [(each, each.core) for each in self.scenario.controllers if each.core is not None]
        for controller, core in cores:
            epochs = self.known_epochs.setdefault((controller.name, controller.run_number), [(-1, self.sim.now)])
            newest = core.membership.newest_epoch()
            if newest > epochs[-1][0]:
                epochs.append((newest, self.sim.now))
        for controller, core in cores:
            epoch = core.membership.epoch
            if epoch is None:
                continue
            last_reply_at = max(
                (each.last_reply_at or timedelta() for each in core.machine_manager.machines.values()),
                default=timedelta(),
            )
            replied_at = last_reply_at / controller.clock_rate
            if self.sim.now - replied_at > POLL_INTERVAL:
                continue
            self.recent_reply_count += 1
            for other, _ in cores:
                for number, learned_at in self.known_epochs[(other.name, other.run_number)]:
                    if (
                        number > epoch.number
                        and replied_at - learned_at > core.context.member_ttl * CLOCK_SKEW_FACTOR + POLL_INTERVAL
                    ):
                        self.violations.append(
                            f"{controller.name} replied in {epoch.number} at {replied_at}, "
                            f"{other.name} knew {number} {learned_at}"
                        )
        self.sim.call_later(POLL_INTERVAL, self._poll)


def randomized_scenario(seed: int) -> Scenario:
    """A cluster with randomly scheduled outages, rejected requests, network cuts, crashes and cancellations."""
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
        at_s = rng.uniform(12, 50)
        scenario.sim.call_at(seconds(at_s), partial(scenario.perform, action))
    return scenario


@pytest.mark.parametrize("first_seed", range(0, 40, 10))
def test_no_report_is_replied_to_longer_than_a_member_lease_after_a_newer_epoch_is_known(first_seed: int) -> None:
    recent_reply_count = 0
    for seed in range(first_seed, first_seed + 10):
        scenario = randomized_scenario(seed)
        monitor = ReplyMonitor(scenario)
        scenario.sim.run_until(seconds(100))
        assert monitor.violations == [], f"seed {seed}"
        assert scenario.oracle.violations == [], f"seed {seed}"
        recent_reply_count += monitor.recent_reply_count
    assert recent_reply_count > 100


def fail_state_service(harness: CoreHarness, at_s: float) -> list[OutgoingCall]:
    """Mark the state service as failing, and return the calls to peers in the next step."""
    context = harness.core.context
    context.state_failing_since = clock_at(at_s).monotonic
    effects = harness.core.step(clock_at(at_s), [])
    return [effect for effect in effects if isinstance(effect, OutgoingCall) and effect.target is Target.PEER]


def report_status(harness: CoreHarness, at_s: float) -> int:
    """The status of the reply to a report of m-1."""
    effects = harness.core.step(clock_at(at_s), [IncomingRequest(9, RequestKind.REPORT, harness.report())])
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


def test_consent_extends_the_right_to_reply_but_never_restores_it() -> None:
    for consent_at_s, report_at_s, status in ((203.1, 208.0, 200), (205.5, 206.0, 503)):
        harness = active_harness()
        (call,) = fail_state_service(harness, 203)
        harness.core.step(clock_at(consent_at_s), [CallResult(call.call_id, 200, b"{}")])
        assert report_status(harness, report_at_s) == status, (consent_at_s, report_at_s)
    # The right to reply ends one member lease after the request for the consent was sent.
    harness = active_harness()
    (call,) = fail_state_service(harness, 203)
    harness.core.step(clock_at(203.1), [CallResult(call.call_id, 200, b"{}")])
    assert report_status(harness, 203 + harness.core.context.member_ttl.total_seconds() + 0.1) == 503


def test_consent_ends_before_an_unknown_cancellation_is_due() -> None:
    harness = active_harness()
    workers = harness.core.context.cluster.workers
    at_s = 203.0
    while report_status(harness, at_s) == 200:
        for call in fail_state_service(harness, at_s):
            harness.core.step(clock_at(at_s), [CallResult(call.call_id, 200, b"{}")])
        at_s += 0.5
        assert at_s < 400
    # The machine lease renewed by the last reply expires less than cancel_s after the last confirmed renewal.
    assert 199 + harness.core.context.member_ttl.total_seconds() < at_s < 199 + workers.cancel_s - workers.lease_s


def test_peer_consents_only_if_it_is_not_served_and_knows_no_newer_epoch() -> None:
    for failing, epoch, status in ((True, 2, 200), (True, 1, 409), (False, 2, 409), (True, 3, 200)):
        harness = active_harness()
        context = harness.core.context
        context.state_failing_since = clock_at(199).monotonic if failing else None
        body = wire.encode(peers.ConsentRequest(epoch))
        effects = harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.REQUEST_CONSENT, body)])
        assert [effect.status for effect in effects if isinstance(effect, Reply)] == [status], (failing, epoch)
    # Reloading the records resets the cluster state, but not the newest known epoch.
    harness = active_harness()
    harness.core.context.state_failing_since = clock_at(199).monotonic
    harness.core.context.cluster_state.reset()
    effects = harness.core.step(
        clock_at(200), [IncomingRequest(4, RequestKind.REQUEST_CONSENT, wire.encode(peers.ConsentRequest(1)))]
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


def reply_to_consent_requests(harness: CoreHarness, at_s: float, reply: peers.ConsentReply) -> None:
    """Deliver this reply to every consent request of a step."""
    for call in fail_state_service(harness, at_s):
        harness.core.step(clock_at(at_s), [CallResult(call.call_id, 200, wire.encode(reply))])


def test_consent_lasts_while_all_peers_list_all_cancellations() -> None:
    harness = active_harness()
    for at_s in range(203, 400, 1):
        reply_to_consent_requests(harness, at_s, peers.ConsentReply([], True))
    assert harness.core.consent.may_reply_to_reports()
    # From now on the peer's list is incomplete: it has restarted and not loaded its records yet.
    workers = harness.core.context.cluster.workers
    report_at_s = 399.0
    while harness.core.consent.may_reply_to_reports():
        report_at_s += 0.5
        reply_to_consent_requests(harness, report_at_s, peers.ConsentReply())
        harness.core.step(clock_at(report_at_s), [])
    assert (
        399 + harness.core.context.member_ttl.total_seconds() < report_at_s < 399 + workers.cancel_s - workers.lease_s
    )


def test_consent_lists_the_cancellations_newer_than_the_requesters_revision() -> None:
    harness = active_harness()
    context = harness.core.context
    context.state_failing_since = clock_at(199).monotonic

    def consent_for(known_revision: int | None) -> peers.ConsentReply:
        body = wire.encode(peers.ConsentRequest(2, known_revision))
        (reply,) = [
            each
            for each in harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.REQUEST_CONSENT, body)])
            if isinstance(each, Reply)
        ]
        consent: peers.ConsentReply = wire.decode(peers.ConsentReply, reply.body)
        return consent

    old_revision = harness.revision
    assert consent_for(old_revision) == peers.ConsentReply([], True)
    harness.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0, True))
    assert consent_for(old_revision) == peers.ConsentReply([peers.CancelledJob("wk-1", harness.revision)], True)
    assert consent_for(harness.revision) == peers.ConsentReply([], True)
    # A requester of an older version sends no revision. A controller that is still loading its records does not know
    # all cancellations.
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
        for each in harness.core.step(clock_at(200), [IncomingRequest(4, RequestKind.REQUEST_CONSENT, body)])
        if isinstance(each, Reply)
    ]
    assert not wire.decode(peers.ConsentReply, reply.body).complete


def test_cancellation_from_a_peer_only_stops_the_task() -> None:
    harness = active_harness()
    harness.place_task(TaskState.ACTIVE)
    harness.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "running"}
    cancelled_job = peers.CancelledJob("wk-1", harness.revision + 5)

    def commands(at_s: float) -> list[tuple[str, float]]:
        effects = harness.core.step(clock_at(at_s), [IncomingRequest(9, RequestKind.REPORT, harness.report())])
        (reply,) = [each for each in effects if isinstance(each, Reply)]
        harness.token = msgspec.json.decode(reply.body)["baton"]
        return [(each["verb"], each.get("mercyS")) for each in msgspec.json.decode(reply.body)["orders"]]

    assert commands(201) == []
    reply_to_consent_requests(harness, 203, peers.ConsentReply([cancelled_job], True))
    assert commands(204) == [("halt", 0.0)]
    harness.tasks["wk-1/0"].update(status="exited", cause="halted")
    assert commands(205) == []  # still placed there in the records: neither forgotten nor started
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
        RequestKind.REQUEST_CONSENT,
        RequestKind.ANNOUNCE_ENDED_ATTEMPTS,
        RequestKind.ANNOUNCE_MACHINES,
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
