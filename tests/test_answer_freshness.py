"""No answer is older than its question: whoever asks at any controller may have been told something newer before."""

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

KEY = "g/j/wk-9"


class Desk:
    """A controller that knows no job wk-9, its questions to the state service and its answers to users."""

    def __init__(self) -> None:
        rig = CoreHarness()
        self.core = rig.core
        self.core.context.state_served_at = clock_at(rig.now_s).monotonic
        self.at = rig.now_s
        self.replies: dict[int, Reply] = {}

    def step(self, *events: Any) -> list[OutgoingCall]:
        """The questions about the job that the state service gets."""
        self.at += 0.15
        context = self.core.context
        context.state_served_at = clock_at(self.at).monotonic
        context.state_requests.tokens = context.state_requests.burst
        effects: list[Effect] = self.core.step(clock_at(self.at), list(events))
        self.replies |= {effect.request_id: effect for effect in effects if isinstance(effect, Reply)}
        return [
            effect
            for effect in effects
            if isinstance(effect, OutgoingCall)
            and effect.target is Target.STATE
            and (KEY.encode() in (effect.body or b"") or effect.path.endswith("wk-9"))
        ]

    def asked_after(self, *events: Any) -> OutgoingCall:
        """The one question that follows within a moment."""
        calls = self.step(*events)
        for _ in range(5):
            calls += [] if calls else self.step()
        (call,) = calls
        return call

    def ask(self, number: int, verb: RequestKind = RequestKind.POLL, body: bytes = b"") -> list[OutgoingCall]:
        return self.step(IncomingRequest(number, verb, body, "wk-9"))


def missing(call: OutgoingCall) -> CallResult:
    return CallResult(call.call_id, 200, b'{"ledger":20}')


def there(call: OutgoingCall, *, cancelled: bool = False, version: int = 25) -> CallResult:
    if call.method == "POST":
        return CallResult(call.call_id, 409, msgspec.json.encode({"failed": [KEY], "ledger": version}))
    record = rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0, cancelled)
    return CallResult(call.call_id, 200, msgspec.json.encode({"key": KEY, "data": record, "stamp": version}))


def test_who_asks_while_a_look_is_under_way_is_answered_by_a_later_one() -> None:
    pending = Desk()
    (look,) = pending.ask(1)
    # Meanwhile another controller accepts the job and says so; its user asks here.
    assert pending.ask(2) == []
    later = pending.asked_after(missing(look))
    assert pending.replies[1].status == 404 and 2 not in pending.replies
    read = pending.asked_after(there(later))
    # The same while its record is read: it is cancelled elsewhere meanwhile, and the user asks again.
    assert pending.ask(3) == []
    later = pending.asked_after(there(read))
    assert b"queued" in pending.replies[2].body and 3 not in pending.replies
    read = pending.asked_after(there(later))
    pending.step(there(read, cancelled=True, version=26))
    assert b"aborted" in pending.replies[3].body


def test_whose_look_failed_waits_on_with_those_who_came_since() -> None:
    pending = Desk()
    (look,) = pending.ask(1)
    pending.ask(2)
    later = pending.asked_after(CallResult(look.call_id, 0))
    pending.step(missing(later))
    assert {number: reply.status for number, reply in pending.replies.items()} == {1: 404, 2: 404}


def test_a_final_state_answers_everybody() -> None:
    pending = Desk()
    (look,) = pending.ask(1)
    (read,) = pending.step(CallResult(look.call_id, 409, b'{"failed":["g/f/wk-9"],"ledger":20}'))
    pending.ask(2)
    final = msgspec.json.encode({"key": "g/f/wk-9", "data": rec.FinalRecord(True, 1, ""), "stamp": 20})
    pending.step(CallResult(read.call_id, 200, final))
    assert all(b"done" in pending.replies[number].body for number in (1, 2))


def news(record: rec.JobRecord, version: int) -> WatchResult:
    value = msgspec.Raw(msgspec.json.encode(record))
    return WatchResult(wire.WatchReply(version, [wire.WatchEvent(version, KEY, None, value)]))


def test_a_job_that_has_changed_is_read_without_asking_first_whether_it_is_there() -> None:
    pending = Desk()
    pending.step(news(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirm = pending.asked_after(IncomingRequest(1, RequestKind.POLL, b"", "wk-9"))
    # The watch lags: the record is another one now. One request more tells, where it took two.
    read = pending.asked_after(CallResult(confirm.call_id, 409, msgspec.json.encode({"failed": [KEY], "ledger": 40})))
    assert (read.method, read.path) == ("GET", wire.key_path(KEY))
    pending.step(there(read, cancelled=True, version=40))
    assert b"aborted" in pending.replies[1].body
    # Its final state has come by the watch meanwhile: nothing more is asked.
    pending = Desk()
    pending.step(news(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirm = pending.asked_after(IncomingRequest(1, RequestKind.POLL, b"", "wk-9"))
    final = msgspec.Raw(msgspec.json.encode(rec.FinalRecord(True, 1, "")))
    pending.step(
        WatchResult(wire.WatchReply(40, [wire.WatchEvent(40, None, KEY), wire.WatchEvent(40, "g/f/wk-9", None, final)]))
    )
    assert pending.step(CallResult(confirm.call_id, 409, msgspec.json.encode({"failed": [KEY], "ledger": 40}))) == []
    assert b"done" in pending.replies[1].body


CLOSE = """
nodes 3
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
up g16 count=4
at 2 close-looks for=60 cancels=0.3
at 2 slow-state by=0.4 for=60
at 2 slow-watch by=1.5 for=60
"""


def close(seed: int) -> str:
    """Close looks while the state service and its watches are slow, and a controller ends."""
    drawn = random.Random(seed)
    lines = [CLOSE]
    for number in range(1, 4):
        at = drawn.uniform(4, 40)
        lines += [f"at {at - 1:.1f} ask wk-{number} times=25", f"at {at:.1f} submit wk-{number} team=t run=4 times=25"]
    lines.append(f"at {drawn.uniform(10, 50):.1f} crash {drawn.choice(['leader', 'follower'])} for=1")
    return "\n".join([*lines, "run 75"])


@pytest.mark.parametrize("seed", range(8))
def test_close_looks_find_nothing_older(seed: int) -> None:
    scenario = Scenario(close(seed), seed).run()
    assert scenario.oracle.broken == [], close(seed)
    asked = sum(len(user.answers) for user in scenario.users.values())
    assert asked > 1000 and len(scenario.oracle.accepted) == 75


def test_answered_by_looks_that_were_under_way_close_looks_find_it(monkeypatch: pytest.MonkeyPatch) -> None:
    finish = Lookups._finish

    def everybody(self: Lookups, group: list[Any], known: bool) -> None:
        names = {waiting.request.job for waiting in group}
        finish(self, group + [late for name in names for late in self._waiting.pop(name, [])], known)

    monkeypatch.setattr(Lookups, "_finish", everybody)
    broken = [text for seed in range(8) for text in Scenario(close(seed), seed).run().oracle.broken]
    assert any(text.startswith(("went_back", "forgotten")) for text in broken)


ODD: list[dict[str, Any]] = [{"cores": None}, {"cores": "1"}, {"portions": 0}, {"owner": None}, {"shape": "gang"}]


@pytest.mark.parametrize("change", ODD)
def test_a_malformed_submission_is_refused_unless_it_names_a_known_job(change: dict[str, Any]) -> None:
    body = msgspec.json.encode({**JOB, "nameId": "wk-9", "owner": "t", **change})
    pending = Desk()
    (look,) = pending.ask(1, RequestKind.SUBMIT, body)
    pending.step(missing(look))
    assert pending.replies[1].status == 400
    pending = Desk()
    (look,) = pending.ask(1, RequestKind.SUBMIT, body)
    (read,) = pending.step(there(look))
    pending.step(there(read))
    # 400 or 422 for a repeated submission counts as forgotten.
    assert pending.replies[1].status == 200 and b"queued" in pending.replies[1].body


def test_what_can_never_run_is_refused_and_its_repeat_where_it_is_known_is_not() -> None:
    body = msgspec.json.encode({**JOB, "nameId": "wk-9", "owner": "nobody"})
    pending = Desk()
    (look,) = pending.ask(1, RequestKind.SUBMIT, body)
    pending.step(missing(look))
    assert pending.replies[1].status == 422
    pending.step(news(rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-9"), 0), 30))
    confirm = pending.asked_after(IncomingRequest(2, RequestKind.SUBMIT, body, "wk-9"))
    pending.step(CallResult(confirm.call_id, 200, b'{"ledger":31}'))
    assert pending.replies[2].status == 200


ODD_DAY = """
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


def test_odd_requests_are_refused_for_good_at_every_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = Scenario(ODD_DAY, 1).run()
    assert scenario.oracle.broken == [] and scenario.failures == [] and len(scenario.oracle.impossible) > 50
    # What fits no machine is taken, if nobody judges it.
    monkeypatch.setattr(
        UserRequestHandler, "_judge", lambda self, spec: None if spec.team == "t" else (422, "unknown team")
    )
    assert any(text.startswith("took_impossible") for text in Scenario(ODD_DAY, 1).run().oracle.broken)
