"""A reply must reflect all state that was committed before its request arrived.

The user may already have seen this state at another controller. A lookup of a job that is missing from the cluster
state consists of an existence check (a commit with conditions and no writes) and, if the job exists, a read of its
record. A confirmation is such a commit with the version of a record that is in the cluster state.

Wire names in this file: "ledger" is the revision and "stamp" the version of a record, "data" a value, "aborted" the
state of a cancelled job. Fields of a submission: "nameId" is the job id, "owner" the team, "shape" the job kind,
"portions" the number of tasks, "cores" the CPUs per task. Rules of the oracle (the checker of the simulation):
"went_back" is a reported state that is older than one reported before, "forgotten" a lost job or one without replies,
"took_impossible" an accepted job that is invalid.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.events import (
    CallResult,
    Effect,
    IncomingRequest,
    OutgoingCall,
    Reply,
    RequestKind,
    Target,
    WatchResult,
)
from gladecroft.coordination.users.handler import UserRequestHandler
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.lab.scenario import Scenario
from gladecroft.protocol import wire
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_protocol import JOB

#: Key of the job record; the key of the final record of the job is "g/f/wk-9".
JOB_KEY = "g/j/wk-9"


class LookupHarness:
    """A controller that does not know job wk-9, with its calls to the state service and its replies to users."""

    def __init__(self) -> None:
        core_harness = CoreHarness()
        self.core = core_harness.core
        self.core.context.state_served_at = clock_at(core_harness.now_s).monotonic
        self.now_s = core_harness.now_s
        self.replies: dict[int, Reply] = {}

    def step(self, *events: Any) -> list[OutgoingCall]:
        """Run a step and return the calls to the state service that concern the job."""
        self.now_s += 0.15
        context = self.core.context
        context.state_served_at = clock_at(self.now_s).monotonic
        context.state_requests.tokens = context.state_requests.burst
        effects: list[Effect] = self.core.step(clock_at(self.now_s), list(events))
        self.replies |= {effect.request_id: effect for effect in effects if isinstance(effect, Reply)}
        return [
            effect
            for effect in effects
            if isinstance(effect, OutgoingCall)
            and effect.target is Target.STATE
            and (JOB_KEY.encode() in (effect.body or b"") or effect.path.endswith("wk-9"))
        ]

    def next_call(self, *events: Any) -> OutgoingCall:
        """Return the only call to the state service in this step and, if there is none, in the next five steps."""
        calls = self.step(*events)
        for _ in range(5):
            calls += [] if calls else self.step()
        (call,) = calls
        return call

    def request(self, request_id: int, kind: RequestKind = RequestKind.POLL, body: bytes = b"") -> list[OutgoingCall]:
        return self.step(IncomingRequest(request_id, kind, body, "wk-9"))


def job_absent(call: OutgoingCall) -> CallResult:
    """Return the result of an existence check for a job that does not exist: the condition holds, so status 200."""
    return CallResult(call.call_id, 200, b'{"ledger":20}')


def job_present(call: OutgoingCall, *, cancelled: bool = False, version: int = 25) -> CallResult:
    """Return the result of an existence check (409: the condition that the key is absent failed) or read of a job."""
    if call.method == "POST":
        return CallResult(call.call_id, 409, msgspec.json.encode({"failed": [JOB_KEY], "ledger": version}))
    record = rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0, cancelled)
    return CallResult(call.call_id, 200, msgspec.json.encode({"key": JOB_KEY, "data": record, "stamp": version}))


def test_a_request_that_arrives_during_a_lookup_is_answered_by_a_later_lookup() -> None:
    harness = LookupHarness()
    (check,) = harness.request(1)
    # Meanwhile another controller accepts the job and confirms it to the user, who then polls this controller.
    assert harness.request(2) == []
    second_check = harness.next_call(job_absent(check))
    assert harness.replies[1].status == 404 and 2 not in harness.replies
    read = harness.next_call(job_present(second_check))
    # Likewise, a request that arrives during a read is not answered by it: the job is cancelled at another controller,
    # and its user polls this controller again.
    assert harness.request(3) == []
    second_check = harness.next_call(job_present(read))
    assert b"queued" in harness.replies[2].body and 3 not in harness.replies
    read = harness.next_call(job_present(second_check))
    harness.step(job_present(read, cancelled=True, version=26))
    assert b"aborted" in harness.replies[3].body


def test_requests_of_a_failed_lookup_are_retried_with_newer_ones() -> None:
    harness = LookupHarness()
    (check,) = harness.request(1)
    harness.request(2)
    second_check = harness.next_call(CallResult(check.call_id, 0))
    harness.step(job_absent(second_check))
    assert {number: reply.status for number, reply in harness.replies.items()} == {1: 404, 2: 404}


def test_a_final_record_answers_all_requests() -> None:
    harness = LookupHarness()
    (check,) = harness.request(1)
    (read,) = harness.step(CallResult(check.call_id, 409, b'{"failed":["g/f/wk-9"],"ledger":20}'))
    harness.request(2)
    final = msgspec.json.encode({"key": "g/f/wk-9", "data": rec.FinalRecord(True, 1, ""), "stamp": 20})
    harness.step(CallResult(read.call_id, 200, final))
    assert all(b"done" in harness.replies[number].body for number in (1, 2))


def watch_update(record: rec.JobRecord, version: int) -> WatchResult:
    value = msgspec.Raw(msgspec.json.encode(record))
    return WatchResult(wire.WatchReply(version, [wire.WatchEvent(version, JOB_KEY, None, value)]))


def test_a_changed_job_is_read_without_an_existence_check() -> None:
    harness = LookupHarness()
    harness.step(watch_update(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirmation = harness.next_call(IncomingRequest(1, RequestKind.POLL, b"", "wk-9"))
    # The watch lags behind, and the record has changed. One more call suffices; an existence check would need a second.
    read = harness.next_call(
        CallResult(confirmation.call_id, 409, msgspec.json.encode({"failed": [JOB_KEY], "ledger": 40}))
    )
    assert (read.method, read.path) == ("GET", wire.key_path(JOB_KEY))
    harness.step(job_present(read, cancelled=True, version=40))
    assert b"aborted" in harness.replies[1].body
    # If the watch has delivered the final record in the meantime, no further call is made.
    harness = LookupHarness()
    harness.step(watch_update(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirmation = harness.next_call(IncomingRequest(1, RequestKind.POLL, b"", "wk-9"))
    final = msgspec.Raw(msgspec.json.encode(rec.FinalRecord(True, 1, "")))
    harness.step(
        WatchResult(
            wire.WatchReply(40, [wire.WatchEvent(40, None, JOB_KEY), wire.WatchEvent(40, "g/f/wk-9", None, final)])
        )
    )
    assert (
        harness.step(CallResult(confirmation.call_id, 409, msgspec.json.encode({"failed": [JOB_KEY], "ledger": 40})))
        == []
    )
    assert b"done" in harness.replies[1].body


# Scenario words: "nodes" are controllers; "close-looks": whenever a job is reported as accepted, done or cancelled, its
# user polls all controllers within milliseconds, and the fraction "cancels" of the users cancels accepted jobs;
# "slow-state" and "slow-watch" delay the responses of the state service and its watches; "ask" polls for jobs that have
# not been submitted; "times" is a number of jobs. All times ("at", "for", "by", "boot", "run") are in seconds.
CONCURRENT_POLLS_SCENARIO = """
nodes 3
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
up g16 count=4
at 2 close-looks for=60 cancels=0.3
at 2 slow-state by=0.4 for=60
at 2 slow-watch by=1.5 for=60
"""


def concurrent_polls_scenario(seed: int) -> str:
    """Return a scenario with concurrent polls, a slow state service, slow watches and a controller that crashes."""
    rng = random.Random(seed)
    lines = [CONCURRENT_POLLS_SCENARIO]
    for number in range(1, 4):
        at = rng.uniform(4, 40)
        lines += [f"at {at - 1:.1f} ask wk-{number} times=25", f"at {at:.1f} submit wk-{number} team=t run=4 times=25"]
    lines.append(f"at {rng.uniform(10, 50):.1f} crash {rng.choice(['leader', 'follower'])} for=1")
    return "\n".join([*lines, "run 75"])


@pytest.mark.parametrize("seed", range(8))
def test_concurrent_polls_never_return_an_older_state(seed: int) -> None:
    scenario = Scenario(concurrent_polls_scenario(seed), seed).run()
    assert scenario.oracle.violations == [], concurrent_polls_scenario(seed)
    reply_count = sum(len(user.responses) for user in scenario.users.values())
    assert reply_count > 1000 and len(scenario.oracle.accepted_at) == 75


def test_the_oracle_detects_replies_from_lookups_that_were_sent_before_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_finish = Lookups._finish

    def respond_to_all(self: Lookups, entries: list[Any], exists: bool) -> None:
        job_ids = {entry.request.job_id for entry in entries}
        original_finish(self, entries + [late for job_id in job_ids for late in self._entries.pop(job_id, [])], exists)

    monkeypatch.setattr(Lookups, "_finish", respond_to_all)
    violations = [
        text for seed in range(8) for text in Scenario(concurrent_polls_scenario(seed), seed).run().oracle.violations
    ]
    assert any(text.startswith(("went_back", "forgotten")) for text in violations)


MALFORMED_FIELDS: list[dict[str, Any]] = [
    {"cores": None},
    {"cores": "1"},
    {"portions": 0},
    {"owner": None},
    {"shape": "gang"},
]


@pytest.mark.parametrize("change", MALFORMED_FIELDS)
def test_a_malformed_submission_is_rejected_unless_it_names_a_known_job(change: dict[str, Any]) -> None:
    body = msgspec.json.encode({**JOB, "nameId": "wk-9", "owner": "t", **change})
    harness = LookupHarness()
    (check,) = harness.request(1, RequestKind.SUBMIT, body)
    harness.step(job_absent(check))
    assert harness.replies[1].status == 400
    harness = LookupHarness()
    (check,) = harness.request(1, RequestKind.SUBMIT, body)
    (read,) = harness.step(job_present(check))
    harness.step(job_present(read))
    # Replying 400 or 422 to a repeated submission would mean that the accepted job has been lost.
    assert harness.replies[1].status == 200 and b"queued" in harness.replies[1].body


def test_a_job_of_an_unknown_team_is_rejected_but_the_resubmission_of_a_known_job_is_not() -> None:
    body = msgspec.json.encode({**JOB, "nameId": "wk-9", "owner": "nobody"})
    harness = LookupHarness()
    (check,) = harness.request(1, RequestKind.SUBMIT, body)
    harness.step(job_absent(check))
    assert harness.replies[1].status == 422
    harness.step(watch_update(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirmation = harness.next_call(IncomingRequest(2, RequestKind.SUBMIT, body, "wk-9"))
    harness.step(CallResult(confirmation.call_id, 200, b'{"ledger":31}'))
    assert harness.replies[2].status == 200


# Scenario words: "odd": users submit infeasible or malformed jobs, repeat submissions and cancel finished jobs;
# "outage": the state service is unavailable.
INVALID_REQUESTS_SCENARIO = """
nodes 3
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
up g16 count=2
at 4 submit wk-1 team=t kind=service tasks=2 cpus=1
at 4 submit wk-2 team=t tasks=3 run=4
at 6 odd for=60
at 20 crash leader for=1
at 30 outage for=5
run 80
expect wk-2 done
"""


def test_invalid_jobs_are_not_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = Scenario(INVALID_REQUESTS_SCENARIO, 1).run()
    assert (
        scenario.oracle.violations == []
        and scenario.unmet_expectations == []
        and len(scenario.oracle.invalid_job_ids) > 50
    )
    # Without the check, jobs that fit no machine are accepted.
    monkeypatch.setattr(
        UserRequestHandler, "_rejection", lambda self, spec: None if spec.team == "t" else (422, "unknown team")
    )
    assert any(
        text.startswith("took_impossible") for text in Scenario(INVALID_REQUESTS_SCENARIO, 1).run().oracle.violations
    )
