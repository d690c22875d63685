"""Performs the actions of a scenario on its simulated cluster: submissions, cancellations and injected faults.

``tests/scenarios/README`` describes the actions, ``scenario_syntax`` lists them with their options.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from gladecroft.coordination.events import RequestKind
from gladecroft.lab.cloud import SimulatedCloud
from gladecroft.lab.fault_injection import FaultInjector
from gladecroft.lab.late_copies import CopiedRequests, CopyRate
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario_syntax import HARMLESS_ACTIONS, Options, job_ids, parse_words
from gladecroft.lab.simulation import WALL_CLOCK_START, ReplyCallback, SimulatedController, Simulation, seconds
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.user import SimulatedUser
from gladecroft.lab.worker import SimulatedWorker
from gladecroft.protocol import operators

Json = dict[str, Any]

#: How long the effects of an action may last beyond its duration, in seconds.
LATEST_EFFECT_S = {"late": 20.0, "late-writes": 12.0}


class Action(msgspec.Struct, frozen=True):
    """An action: its name, its further arguments, its options, and the duration of its effect."""

    name: str
    args: list[str]
    options: Options
    duration: timedelta

    def number(self, option: str, default: str | None = None) -> float:
        """Return the value of an option as a number. Raise ``KeyError`` if it is missing and has no default."""
        value = self.options[option] if default is None else self.options.get(option, default)
        return float(value)

    def flag(self, option: str) -> bool:
        """Return whether an option has the value yes."""
        return self.options.get(option) == "yes"


class ScenarioActions:
    """Performs actions. ``jobs`` and ``users`` gain an entry with each submission of a new job."""

    def __init__(
        self, sim: Simulation, state: SimulatedStateService, cloud: SimulatedCloud,
        controllers: list[SimulatedController], oracle: Oracle, users: dict[str, SimulatedUser], jobs: dict[str, Json],
        zones: list[str],
    ) -> None:  # fmt: skip
        self.sim = sim
        self.state = state
        self.cloud = cloud
        self.controllers = controllers
        self.oracle = oracle
        self.users = users
        self.jobs = jobs
        self.zones = zones
        self.fault_injector = FaultInjector(sim, state, cloud, controllers, oracle, users)
        #: Statuses of the replies to cordon commands.
        self.cordon_statuses: list[int] = []
        self._handlers: dict[str, Callable[[Action], None]] = {
            "submit": self._submit_jobs, "cancel": self._cancel, "crash": self._crash, "cut": self._cut,
            "cut-machine": self._cut_machine, "cut-zone": self._cut_zone, "island": self._isolate, "deaf": self._deafen,
            "mute": self._mute_controller, "mute-machine": self._mute_machines, "cancel-now": self._cancel_now,
            "cancel-at-end": self._cancel_at_end, "odd": self._send_unusual_requests,
            "close-looks": self._send_concurrent_polls, "slow-links": self._slow_links,
            "quick-boots": self._boot_fast, "copies": self._copy_reports, "request-copies": self._copy_requests,
            "reboot": self._reboot, "freeze": self._freeze, "down": self._cut_power, "hang": self._hang,
            "die": self._fail_machine, "sick": self._make_faulty, "slow": self._slow_machine, "notice": self._reclaim,
            "outage": self._outage, "refuse": self._refuse, "cloud-outage": self._cloud_outage,
            "late": self._delay_state, "late-writes": self._delay_writes,
            "slow-state": self._slow_state, "slow-watch": self._slow_watch,
            "held": self._hold_commands, "forget-log": self._forget_log, "never-boot": self._fail_boots,
            "cordon": self._cordon, "ask": self._poll_unknown_jobs,
        }  # fmt: skip

    def perform(self, words: list[str]) -> None:
        """Perform an action. The option ``for`` is the duration of its effect in seconds.

        Raise ``ValueError`` or ``KeyError`` if an argument or an option is invalid or missing.
        """
        args, options = parse_words(words)
        action = Action(args[0], args[1:], options, seconds(float(options.get("for", "0"))))
        if action.name not in HARMLESS_ACTIONS:
            # Duplicate reports and delayed requests may arrive, and machines may hang, after the end of the action.
            later_s = action.number("late", "0") + action.number("hang", "0") + LATEST_EFFECT_S.get(action.name, 0.0)
            self.oracle.extend_failures(self._end_s(action) + later_s)
        handler = self._handlers.get(action.name)
        if handler is None:
            raise ValueError(f"unknown deed {action.name!r}")
        handler(action)

    def _end_s(self, action: Action) -> float:
        """Return the end of an action that begins now, in seconds since the start."""
        return self.sim.elapsed() + action.duration.total_seconds()

    def _at_end(self, action: Action, callback: Callable[[], None]) -> None:
        self.sim.call_later(action.duration, callback)

    # Targets

    def find_controller(self, name: str) -> SimulatedController:
        """Return the controller of this name; ``leader`` is the current leader, ``follower`` the first other member."""
        if name == "leader":
            epoch = self.state.entries["g/epoch"][0]
            name = epoch["leader"]
        if name == "follower":
            epoch = self.state.entries["g/epoch"][0]
            name = next(node for node in sorted(epoch["members"]) if node != epoch["leader"])
        for controller in self.controllers:
            if controller.name == name:
                return controller
        raise ValueError(f"no controller {name!r}")

    def find_worker(self, name: str) -> SimulatedWorker:
        """Return the worker with this number; ``busiest`` is the one with the most tasks."""
        if name == "busiest":
            return max(self.cloud.machines.values(), key=lambda worker: (len(worker.tasks), worker.name))
        worker = self.cloud.machines.get(f"m-{int(name):06d}")
        if worker is None:
            raise ValueError(f"no machine {name!r} at that time")
        return worker

    def _select_workers(self, action: Action) -> list[SimulatedWorker]:
        """Return the workers with the given numbers and, according to the option ``count``, the busiest workers."""
        busiest = sorted(self.cloud.machines.values(), key=lambda worker: (-len(worker.tasks), worker.name))
        return [self.find_worker(name) for name in action.args] + busiest[: int(action.options.get("count", "0"))]

    # Users

    def _submit_jobs(self, action: Action) -> None:
        for job_id in job_ids(action.args[0], action.options):
            self._submit(job_id, action.options)

    def _submit(self, job_id: str, options: Options) -> None:
        """Submit a job, or submit it again with its first description if its id is already known."""
        job_kind = options.get("kind", "batch")
        spec: Json = {
            "nameId": job_id, "cohort": "c", "owner": options["team"], "shape": job_kind,
            "urgency": options.get("priority", "production" if job_kind == "service" else "normal"),
            "portions": int(options.get("tasks", "1")), "cores": float(options.get("cpus", "1")), "cards": 0.0,
            "memoryGb": float(options.get("memory", "1")), "recipe": options.get("image", "i"),
            "imageGb": float(options.get("gb", "1")), "flavors": None, "district": options.get("zone"),
            "oneZone": options.get("one_zone") == "yes", "apart": options.get("spread") == "yes",
            "leftovers": options.get("spot") == "yes", "expectedS": float(options.get("run", "20")),
            "snapshotS": float(options.get("checkpoint", "0")), "stashS": float(options.get("save", "0")), "dueS": None,
            "runS": float(options.get("run", "20")), "broken": options.get("broken") == "yes",
        }  # fmt: skip
        user = self.users.get(job_id)
        if user is None:
            self.jobs[job_id] = spec
            user = self.users[job_id] = SimulatedUser(self.sim, self.controllers, self.oracle, spec)
        self.oracle.submit_sent(job_id)
        user.submit()

    def _cancel(self, action: Action) -> None:
        if action.args[0] not in self.users:
            raise ValueError(f"no job {action.args[0]!r} at that time")
        self.users[action.args[0]].cancel()

    def _cancel_now(self, action: Action) -> None:
        self.fault_injector.cancel_running_jobs(int(action.options["count"]), action.number("hang", "0"))

    def _cancel_at_end(self, action: Action) -> None:
        self.fault_injector.cancel_on_completion(action.number("share"), self._end_s(action))

    def _send_unusual_requests(self, action: Action) -> None:
        self.fault_injector.send_unusual_requests(self._end_s(action))

    def _send_concurrent_polls(self, action: Action) -> None:
        self.fault_injector.send_concurrent_polls(self._end_s(action), action.number("cancels", "0"))

    def _poll_unknown_jobs(self, action: Action) -> None:
        for job_id in job_ids(action.args[0], action.options):
            SimulatedUser(self.sim, self.controllers, self.oracle, {"nameId": job_id}).poll()

    def _cordon(self, action: Action) -> None:
        end = WALL_CLOCK_START + self.sim.now + action.duration
        command = operators.CordonRequest(
            operators.CordonScope(action.args[0]), action.args[1], action.options.get("why", ""), "",
            int(end.timestamp()) if action.duration else 0, action.flag("lift"),
        )  # fmt: skip
        self.find_controller(action.options.get("node", "n0")).handle_request(
            RequestKind.CHANGE_CORDON,
            msgspec.json.encode(command),
            "",
            lambda reply: self.cordon_statuses.append(reply.status),
        )

    # Controllers

    def _crash(self, action: Action) -> None:
        for name in action.args:
            for controller in self.controllers if name == "all" else [self.find_controller(name)]:
                controller.crash()
                self._at_end(action, controller.start)

    def _freeze(self, action: Action) -> None:
        for name in action.args:
            self.find_controller(name).freeze(action.duration)

    def _cut_power(self, action: Action) -> None:
        """Crash controllers so that peers and workers see timeouts instead of refused connections."""
        for name in action.args:
            controller_name = self.find_controller(name).name
            self.perform(["cut", controller_name, "all", f"for={action.options['for']}"])
            self.perform(["crash", controller_name, f"for={action.options['for']}"])

    # Network

    def _cut(self, action: Action) -> None:
        controller_name = self.find_controller(action.args[0]).name
        others = action.args[1:]
        if "siblings" in others:
            others += [controller.name for controller in self.controllers if controller.name != controller_name]

        def separates(source: str, target: str) -> bool:
            if controller_name not in (source, target):
                return False
            host = target if source == controller_name else source
            group = "workers" if host.startswith("m-") else "users" if host == "user" else host
            return group in others or "all" in others

        self.sim.partition(separates, action.options.get("mode", "lose"), action.duration)

    def _cut_machine(self, action: Action) -> None:
        name = self.find_worker(action.args[0]).name
        self.sim.partition(
            lambda source, target: name in (source, target), action.options.get("mode", "lose"), action.duration
        )

    def _cut_zone(self, action: Action) -> None:
        """Separate a zone's machines and the given controllers from all other hosts."""
        if action.args[0] not in self.zones:
            raise ValueError(f"no zone {action.args[0]!r}")
        zone, inside = action.args[0], {self.find_controller(name).name for name in action.args[1:]}

        def within(name: str) -> bool:
            worker = self.cloud.machines.get(name)
            return name in inside or worker is not None and worker.zone == zone

        self.sim.partition(
            lambda source, target: within(source) != within(target),
            action.options.get("mode", "lose"),
            action.duration,
        )

    def _isolate(self, action: Action) -> None:
        self.perform(["cut", action.args[0], "state", "siblings", f"for={action.options['for']}"])

    def _deafen(self, action: Action) -> None:
        workers = self._select_workers(action)
        names = {worker.name for worker in workers}
        if action.flag("direct"):
            for worker in workers:
                self._drop_commands(worker, action.duration)
        else:
            self.sim.partition(lambda source, target: target in names, "lose", action.duration)

    def _mute_controller(self, action: Action) -> None:
        """Lose a controller's messages to machines, while it still receives the machines' reports."""
        sender = self.find_controller(action.args[0]).name
        self.sim.partition(lambda source, target: source == sender and target.startswith("m-"), "lose", action.duration)

    def _mute_machines(self, action: Action) -> None:
        """Lose the reports of machines; commands that are sent to their addresses arrive and are answered."""
        for worker in self._select_workers(action):
            worker.reports_lost_until = max(worker.reports_lost_until, self.sim.now + action.duration)

    def _slow_links(self, action: Action) -> None:
        self.sim.max_extra_latency = seconds(action.number("by"))
        self._at_end(action, lambda: setattr(self.sim, "max_extra_latency", timedelta()))

    def _copy_reports(self, action: Action) -> None:
        if action.flag("next"):
            self.fault_injector.replay_reports_on_leader_change(action.number("share"), self._end_s(action))
            return
        self._set_duplicate_reports(action.number("share"), action.number("late"))
        self._at_end(action, lambda: self._set_duplicate_reports(0.0, 0.0))

    def _set_duplicate_reports(self, share: float, max_delay_s: float) -> None:
        for worker in self.cloud.machines.values():
            worker.duplicate_reports = (share, max_delay_s)

    def _copy_requests(self, action: Action) -> None:
        known = [each.value for each in CopiedRequests]
        unknown = [name for name in action.args if name not in known]
        if unknown or not action.args:
            problem = f"knows no {', '.join(unknown)}" if unknown else "needs a target"
            raise ValueError(f"request-copies {problem} (known: {', '.join(known)})")
        rate = CopyRate(action.number("share"), action.number("late"))
        for name in action.args:
            self.sim.late_copies.begin(CopiedRequests(name), rate, action.duration)

    # Machines

    def _reboot(self, action: Action) -> None:
        for name in action.args:
            self.find_worker(name).reboot(action.duration)

    def _hang(self, action: Action) -> None:
        self.find_worker(action.args[0]).hang(action.duration)

    def _fail_machine(self, action: Action) -> None:
        self.find_worker(action.args[0]).terminate(failed=True)

    def _make_faulty(self, action: Action) -> None:
        self.find_worker(action.args[0]).faulty = True

    def _slow_machine(self, action: Action) -> None:
        self.find_worker(action.args[0]).slowdown = action.number("factor")

    def _reclaim(self, action: Action) -> None:
        worker = self.find_worker(action.args[0])
        worker.reclaim_at = self.sim.now + action.duration
        worker._request_report()
        self._at_end(action, lambda: self.cloud.remove(worker.name))

    def _hold_commands(self, action: Action) -> None:
        for name in action.args:
            self._delay_commands(
                self.find_worker(name), seconds(action.number("by")), action.flag("answers"), action.duration
            )

    def _delay_commands(
        self, worker: SimulatedWorker, delay: timedelta, delay_replies: bool, duration: timedelta
    ) -> None:
        """Delay commands that are sent to the worker's address, or only its replies to them."""
        serve = worker.serve

        def delayed(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
            if delay_replies:
                serve(node, method, path, body, lambda *response: self.sim.call_later(delay, lambda: reply(*response)))
            else:
                self.sim.call_later(delay, lambda: serve(node, method, path, body, reply))

        self._intercept(worker, duration, delayed)

    def _drop_commands(self, worker: SimulatedWorker, duration: timedelta) -> None:
        """Drop commands that are sent to the worker's address; replies to its reports still arrive."""
        self._intercept(worker, duration, lambda *request: None)

    def _intercept(self, worker: SimulatedWorker, duration: timedelta, handler: Callable[..., None]) -> None:
        """Pass requests to the worker's address to the handler for the duration.

        The replacement method checks the time and is never removed: when two replacements overlapped, restoring the
        saved methods in the order in which they were installed left the first replacement in place permanently.
        """
        serve, until = worker.serve, self.sim.now + duration

        def intercepted(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
            (handler if self.sim.now < until else serve)(node, method, path, body, reply)

        worker.serve = intercepted  # type: ignore[method-assign]

    # Cloud

    def _boot_fast(self, action: Action) -> None:
        self.cloud.fast_boot_until = self.sim.now + action.duration

    def _fail_boots(self, action: Action) -> None:
        self.cloud.boot_failure_rate = action.number("share")
        self._at_end(action, lambda: setattr(self.cloud, "boot_failure_rate", 0.0))

    def _cloud_outage(self, action: Action) -> None:
        self.cloud.outage = True
        self._at_end(action, lambda: setattr(self.cloud, "outage", False))

    # State service

    def _outage(self, action: Action) -> None:
        self.state.set_outage(True)
        self._at_end(action, lambda: self.state.set_outage(False))

    def _refuse(self, action: Action) -> None:
        controller_name = self.find_controller(action.args[0]).name
        self.state.rejected_controllers.add(controller_name)
        self._at_end(action, lambda: self.state.stop_rejecting(controller_name))

    def _delay_state(self, action: Action) -> None:
        self.state.set_request_faults(action.number("share"), action.number("lose", "0"))
        self._at_end(action, lambda: self.state.set_request_faults(0.0, 0.0))

    def _delay_writes(self, action: Action) -> None:
        attribute = "write_response_loss_rate" if action.flag("at_once") else "delayed_write_rate"
        setattr(self.state, attribute, action.number("share"))
        self._at_end(action, lambda: setattr(self.state, attribute, 0.0))

    def _slow_state(self, action: Action) -> None:
        latency = self.state.latency
        self.state.latency = seconds(action.number("by"))
        self._at_end(action, lambda: setattr(self.state, "latency", latency))

    def _slow_watch(self, action: Action) -> None:
        self.state.watch_delay = seconds(action.number("by"))
        self._at_end(action, lambda: setattr(self.state, "watch_delay", timedelta()))

    def _forget_log(self, action: Action) -> None:
        self.state.max_log_entries = 0
        self.state.first_logged_revision = self.state.revision + 1
        self.state.log.clear()
        self._at_end(action, lambda: setattr(self.state, "max_log_entries", 10_000))
