"""Epoch changes: a new epoch applies from the next event of the same batch on, and its record fits into one value."""

from datetime import UTC, datetime, timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.core import Core
from gladecroft.coordination.events import ClockReading, IncomingRequest, RequestKind, WatchResult
from gladecroft.coordination.membership import fit_to_size
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings

# Names in the settings file: "label" is the controller's name, "siblings" are its peers, "outside" other services.
PLATFORM = {
    "label": "n0",
    "bind": "10.0.0.1:8080",
    "siblings": [{"label": "n1", "peer_addr": "10.0.0.2:8081"}],
    "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
    "settings": {
        "zones": ["a"],
        "teams": [{"name": "t", "cpus": 8.0, "cpus_max": 16.0}],
        "workers": {"report_s": 3.0, "lease_s": 18.0, "cancel_s": 43.0},
        "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    },
}  # fmt: skip


def clock_at(at_s: float) -> ClockReading:
    """A clock reading this many seconds after the start of the test."""
    return ClockReading(timedelta(seconds=at_s), datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=at_s))


def epoch_record(number: int, owner: str) -> bytes:
    """An encoded epoch with two members, in which m-1 is moved to this owner."""
    return msgspec.json.encode(rec.EpochRecord(number, "n1", {"n0": 7, "n1": 8}, {"m-1": owner}))


def test_ownership_of_machine_reporting_in_same_batch_as_new_epoch_starts_with_that_epoch() -> None:
    core = Core(msgspec.convert(PLATFORM, PlatformSettings), OperatorSettings())
    core.context.records_loaded = True
    core.membership.lease_id = core.membership.incarnation = 7
    core.context.cluster_state.apply(rec.EPOCH, epoch_record(1, "n1"), 10)
    core.context.cluster_state.revision = 10
    core.step(clock_at(100), [])
    core.membership.active_until = timedelta(seconds=1000)
    watch_reply = wire.WatchReply(11, [wire.WatchEvent(11, rec.EPOCH, None, msgspec.Raw(epoch_record(2, "n0")))])
    # Names on the wire: "hearth" is the machine, "shift" the session, "tally" the sequence number, "baton" the token.
    report = {"hearth": "m-1", "endpoint": "a:1", "flavor": "g", "district": "a", "leftovers": False, "shift": 1,
              "tally": 1, "baton": 0, "warningS": None, "portions": []}  # fmt: skip
    core.step(
        clock_at(200), [WatchResult(watch_reply), IncomingRequest(1, RequestKind.REPORT, msgspec.json.encode(report))]
    )
    machine = core.machine_manager.machines["m-1"]
    # The former owner may have renewed the machine's lease until its own member lease expired. That time counts from
    # this epoch, not from the one before.
    assert machine.owner_since == timedelta(seconds=200)
    assert core.machine_manager.lease_expiry(machine) > timedelta(seconds=200 + 6 + 18)


def test_epoch_record_keeps_as_many_moved_machines_as_fit() -> None:
    members = {"n0": 7, "n1": 8}
    moved = {f"m-{number:06d}": "n0" for number in range(1000)}
    small = rec.EpochRecord(3, "n1", members, dict(list(moved.items())[:600]))
    # Guards against a fixed limit of 200 moved machines: in a large cluster, a third of the machines is more.
    assert fit_to_size(small, 16 * 1024) == small
    exact = len(msgspec.json.encode(small))
    assert fit_to_size(small, exact) == small
    assert list(fit_to_size(small, exact - 1).moved) == list(small.moved)[1:]
    truncated = fit_to_size(rec.EpochRecord(3, "n1", members, moved), 8 * 1024)
    assert len(msgspec.json.encode(truncated)) <= 8 * 1024
    assert 0 < len(truncated.moved) < 1000 and list(truncated.moved) == list(moved)[-len(truncated.moved) :]
