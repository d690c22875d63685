"""The words of scenario files: actions, setup commands and their options."""

from __future__ import annotations

#: Options of a command by name.
Options = dict[str, str]


class ScenarioError(Exception):
    """The scenario is invalid; the message gives the line and the cause."""


_JOB_OPTIONS = (
    "team kind priority tasks cpus memory image gb zone one_zone spread spot run checkpoint save broken times"
)
#: Options of each action.
ACTIONS: dict[str, set[str]] = {
    action: set(words.split())
    for action, words in {
        "submit": _JOB_OPTIONS, "cancel": "", "crash": "for", "cut": "mode for", "cut-machine": "mode for",
        "cut-zone": "mode for", "hang": "for",
        "die": "", "sick": "", "slow": "factor", "notice": "for", "outage": "for", "refuse": "for",
        "cloud-outage": "for", "late": "share lose for", "forget-log": "for", "never-boot": "share for",
        "cordon": "why for lift node", "ask": "times", "deaf": "for direct count", "mute": "for",
        "copies": "share late for next", "island": "for",
        "reboot": "for", "freeze": "for", "down": "for", "late-writes": "share for at_once",
        "slow-state": "by for", "slow-watch": "by for", "held": "by for answers", "mute-machine": "for count",
        "cancel-now": "count hang", "cancel-at-end": "share for", "odd": "for", "close-looks": "for cancels",
        "quick-boots": "for", "slow-links": "by for", "request-copies": "share late for",
    }.items()
}  # fmt: skip
#: Actions that inject no fault.
HARMLESS_ACTIONS = {"submit", "cancel", "cordon", "ask", "cancel-at-end", "odd", "close-looks", "quick-boots"}
#: Options of each setup command (None: not checked here).
SETTING_OPTIONS: dict[str, set[str] | None] = {
    "nodes": set(),
    "team": {"cpus", "max"},
    "type": {"cpus", "memory", "price", "spot_price", "boot", "zones", "count", "spot"},
    "set": None,  # operator settings have their own validation
    "state": {"rps", "write_rps", "value_kb", "txn_ops"},
    "memory": set(),
    "up": {"zone", "count", "spot"},
}


#: Options of actions with the values yes and no.
FLAG_OPTIONS = {"spot", "one_zone", "spread", "broken", "direct", "lift", "answers", "at_once", "next"}
#: Options with values from 0 to 1.
FRACTION_OPTIONS = {"share", "lose", "cancels"}


def check_options(command: str, options: Options, known: set[str] | None) -> None:
    for option, value in options.items():
        if known is not None and option in known:
            if option in FLAG_OPTIONS and command not in SETTING_OPTIONS and value not in ("yes", "no"):
                raise ValueError(f"{command}: {option} is yes or no, not {value!r}")
            if option in FRACTION_OPTIONS and not 0.0 <= float(value) <= 1.0:
                raise ValueError(f"{command}: {option} is a part from 0 to 1, not {value}")
        if known is not None and option not in known:
            raise ValueError(
                f"{command} knows no {option!r}" + (f" (known: {', '.join(sorted(known))})" if known else "")
            )


def job_ids(first_id: str, options: Options) -> list[str]:
    """Return the ids of the jobs of one action; its option ``times`` gives their number."""
    return [f"{first_id}{index:03d}" if index else first_id for index in range(int(options.get("times", "1")))]


def parse_words(words: list[str]) -> tuple[list[str], Options]:
    """Separate arguments from options of the form ``name=value``."""
    args = [word for word in words if "=" not in word or word in ("<=", ">=")]
    options = dict(word.split("=", 1) for word in words if "=" in word and word not in ("<=", ">="))
    return args, options
