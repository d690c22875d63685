"""Decoding and encoding of messages, and validation of settings.

The ``rename`` maps in ``gladecroft.protocol`` explain the names on the wire and in the settings file.
"""

import contextlib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladecroft.protocol import wire
from gladecroft.protocol.settings import SettingsError, load_operator, load_platform, member_ttl

JOB: dict[str, Any] = {
    "nameId": "wk-000412", "cohort": "train", "owner": "vision", "shape": "batch", "urgency": "urgent", "portions": 16,
    "cores": 8.0, "cards": 1.0, "memoryGb": 64.0, "recipe": "img-07", "imageGb": 6.2, "flavors": ["g8"],
    "district": None, "oneZone": True, "apart": False, "leftovers": True, "expectedS": 240.0, "snapshotS": 30.0,
    "stashS": 4.0, "dueS": 900.0,
}  # fmt: skip
NULLABLE = {"flavors", "district", "dueS"}


def parse(job: Any) -> wire.JobSpec:
    return wire.parse_job(msgspec.json.encode(job))


def test_job_is_decoded() -> None:
    spec = parse(JOB)
    assert (spec.id, spec.tasks, spec.priority, spec.types) == ("wk-000412", 16, wire.Priority.HIGH, ["g8"])


@pytest.mark.parametrize("field", sorted(JOB))
def test_missing_field_is_rejected_unless_nullable(field: str) -> None:
    job = {key: value for key, value in JOB.items() if key != field}
    if field in NULLABLE:
        parse(job)
        parse({**job, field: None})
    else:
        with pytest.raises(ValueError, match=field):
            parse(job)


@pytest.mark.parametrize(
    "change",
    [
        {"portions": 0}, {"portions": 100_001}, {"portions": 1.5}, {"portions": "3"}, {"portions": True},
        {"cores": -1.0}, {"cores": "1"}, {"nameId": "job-1"}, {"nameId": "wk-"}, {"nameId": "wk-1/../x"},
        {"shape": "gang"}, {"urgency": "high"}, {"oneZone": 1}, {"flavors": "g8"}, {"dueS": -1.0}, {"owner": None},
    ],
)  # fmt: skip
def test_invalid_field_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        parse({**JOB, **change})


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"3", b"null", b'"x"', b"\xff\xfe", b"[" * 60_000])
def test_body_that_is_not_an_object_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError):
        wire.parse_job(body)


def test_unknown_fields_are_ignored() -> None:
    assert parse({**JOB, "later": {"x": 1}}).id == "wk-000412"


@given(st.binary(max_size=200))
def test_arbitrary_body_raises_only_value_error(body: bytes) -> None:
    with contextlib.suppress(ValueError):
        wire.parse_job(body)


@given(st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1))
def test_64_bit_counters_round_trip(session: int, seq: int, token: int) -> None:
    report = {"hearth": "m-1", "endpoint": "a:1", "flavor": "g", "district": "a", "leftovers": True, "shift": session,
              "tally": seq, "baton": token, "warningS": None, "portions": []}  # fmt: skip
    read: wire.Report = wire.decode(wire.Report, msgspec.json.encode(report))
    assert (read.session, read.seq, read.token) == (session, seq, token)
    # Of the encoded numbers only the session is checked.
    assert msgspec.json.decode(wire.encode(read))["shift"] == session


def test_commands_are_encoded_with_wire_names() -> None:
    commands = wire.Commands(
        41, [wire.Command(wire.CommandOp.STOP, "wk-1/1", 1, 10.0), wire.Command(wire.CommandOp.START, "wk-1/2", 2)]
    )
    assert msgspec.json.decode(wire.encode(commands)) == {
        "baton": 41,
        "orders": [
            {"verb": "halt", "portion": "wk-1/1", "try": 1, "mercyS": 10.0},
            {"verb": "start", "portion": "wk-1/2", "try": 2},
        ],
    }


def test_put_without_lease_omits_lease_field() -> None:
    put = wire.Put("a/b", msgspec.Raw(b"{}"))
    assert msgspec.json.decode(wire.encode(put)) == {"write": "a/b", "data": {}}


SETTINGS = """
label = "n0"
bind = "127.0.0.1:8080"
something_new = 3
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
zones = ["a"]
teams = [{ name = "t", cpus = 1.0, cpus_max = 2.0 }]
workers = { report_s = 3.0, lease_s = 18.0, cancel_s = 43.0 }
state = { rps = 150.0, write_rps = 60.0, value_kb = 16.0, txn_ops = 12 }
cloud = { rps = 3.0, list_lag_s = 4.0 }
"""


def write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


def test_member_ttl_plus_machine_lease_is_well_below_cancel_s(tmp_path: Path) -> None:
    platform = load_platform(write(tmp_path / "s.toml", SETTINGS))
    ttl = member_ttl(load_operator(None), platform).total_seconds()
    assert ttl + platform.cluster.workers.lease_s < 0.75 * platform.cluster.workers.cancel_s


@pytest.mark.parametrize(
    ("old", "new", "expected_in_message"),
    [
        ('label = "n0"', "", "label"),
        ('bind = "127.0.0.1:8080"', 'bind = "nowhere"', "bind"),
        ("lease_s = 18.0, ", "", "lease_s"),
        ("rps = 150.0", 'rps = "many"', "rps"),
        ("txn_ops = 12", "txn_ops = 0", "txn_ops"),
        ("cancel_s = 43.0", "cancel_s = 10.0", "cancel_s"),
        ("zones = [", "zones = [[", "TOML"),
    ],
)
def test_invalid_settings_error_names_field_or_fault(
    tmp_path: Path, old: str, new: str, expected_in_message: str
) -> None:
    with pytest.raises(SettingsError, match=expected_in_message):
        load_platform(write(tmp_path / "s.toml", SETTINGS.replace(old, new)))


def test_operator_settings_are_loaded(tmp_path: Path) -> None:
    # "priority.line" is the lowest priority that the high-priority placer handles. Both "=" and ":" separate keys.
    operator_settings = load_operator(
        write(tmp_path / "o.properties", "# ours\npriority.line = normal\noffer.top: 7\n")
    )
    assert (operator_settings.priority_line, operator_settings.offer_top) == (wire.Priority.NORMAL, 7)


@pytest.mark.parametrize(
    ("text", "expected_in_message"),
    [("offer.topp=4", "offer.topp"), ("offer.top=many", "offer.top"), ("priority.line=high", "priority.line"),
     ("offer.top=0", "offer.top"), ("spot.avoiding=\\u00zz", "properties")],
)  # fmt: skip
def test_invalid_operator_settings_error_names_file_and_key_or_fault(
    tmp_path: Path, text: str, expected_in_message: str
) -> None:
    with pytest.raises(SettingsError, match=expected_in_message) as error:
        load_operator(write(tmp_path / "o.properties", text))
    assert "o.properties" in str(error.value)
