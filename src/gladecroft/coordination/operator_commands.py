"""Operator commands for cordons. The reply to a command is sent once its change is committed."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineLifecycle
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import PolicyWrite, StateWriter
from gladecroft.policies import cordon
from gladecroft.policies.interface import MachineAttributes
from gladecroft.protocol import operators, wire

#: How long a command may wait for its commit; less than the 4.5 s after which the service times out its request.
COMMIT_TIMEOUT = timedelta(seconds=4)


class OperatorCommands:
    """Lists, sets and lifts cordons for operators."""

    def __init__(self, context: ControllerContext, membership: Membership, state_writer: StateWriter) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: By record key: the request id of the command whose commit is pending, and when the command arrived.
        self._pending: dict[str, tuple[int, timedelta]] = {}

    def _cordon_policy(self) -> cordon.CordonPolicy | None:
        policy = (
            None
            if self.context.policy_engine is None
            else self.context.policy_engine.policies.get(cordon.CordonPolicy.subject)
        )
        return policy if isinstance(policy, cordon.CordonPolicy) else None

    def list_cordons(self, request: IncomingRequest) -> None:
        """Reply with the cordons in effect, those that cover the most machines first."""
        policy = self._cordon_policy()
        if policy is None:
            self.context.reply_error(request.request_id, 404, "the policy cordon is not switched on")
            return
        if not self.context.records_loaded:
            self.context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
            return
        cordons = [
            operators.CordonStatus(**msgspec.structs.asdict(record), machines=self._count_cordoned(record))
            for record in policy.in_effect(self.context.wall_time).values()
        ]
        cordons.sort(key=lambda each: (-each.machines, each.scope.value, each.name))
        self.context.reply(request.request_id, 200, wire.encode(operators.CordonList(cordons)))

    def _count_cordoned(self, record: cordon.CordonRecord) -> int:
        """Count the machines that a cordon covers, without those returned to the cloud."""
        return sum(
            record.matches(MachineAttributes.from_pool(name, machine.pool))
            for name, machine in self.cluster_state.machines.items()
            if machine.lifecycle is not MachineLifecycle.RETURNED
        )

    def change_cordon(self, request: IncomingRequest) -> None:
        """Set or lift a cordon, and reply once the change is committed."""
        context, policy = self.context, self._cordon_policy()
        if policy is None:
            context.reply_error(request.request_id, 404, "the policy cordon is not switched on")
            return
        try:
            command: operators.CordonRequest = wire.decode(operators.CordonRequest, request.body)
        except msgspec.DecodeError as error:
            context.reply_error(request.request_id, 400, str(error))
            return
        if not context.records_loaded or context.state_down() or not self.membership.is_active():
            context.reply_error(request.request_id, 503, "this controller can't commit anything now", 1)
            return
        if 0 < command.until_s <= context.wall_time.timestamp() and not command.lift:
            context.reply_error(request.request_id, 422, "the cordon would be over already")
            return
        record_name = cordon.record_name(command.scope, command.name)
        in_effect = policy.in_effect(context.wall_time)
        if command.lift and record_name not in in_effect:
            context.reply_error(request.request_id, 404, f"there is no cordon of {command.scope.value} {command.name}")
            return
        if not command.lift and record_name not in in_effect and not self._has_room_for_cordon(policy):
            context.reply_error(
                request.request_id,
                422,
                f"there are {cordon.MAX_CORDONS} cordons already: lift some, or shut a whole type",
            )
            return
        key = rec.policy_key(policy.subject, record_name)
        superseded = self._pending.pop(key, None)
        if superseded is not None:
            context.reply_error(superseded[0], 409, "another order for it has come meanwhile")
        value = msgspec.json.encode(cordon.make_record(command, context.wall_time))
        self._pending[key] = (request.request_id, context.now)

        def on_commit() -> None:
            pending = self._pending.get(key)
            if pending is not None and pending[0] == request.request_id:
                del self._pending[key]
                context.reply(request.request_id, 200, b"{}")

        self.state_writer.policy_writes[key] = PolicyWrite(value, context.now, on_commit)

    def _has_room_for_cordon(self, policy: cordon.CordonPolicy) -> bool:
        """Whether the limit on cordons allows another one. Also schedules the deletion of those long out of effect.

        Each pending command counts as a new cordon.
        """
        wall_now = self.context.wall_time
        for name in [name for name, record in policy.records.items() if record.is_deletable(wall_now)]:
            key = rec.policy_key(policy.subject, name)
            self.state_writer.policy_writes.setdefault(key, PolicyWrite(None, self.context.now, lambda: None))
        return len(policy.in_effect(wall_now)) + len(self._pending) < cordon.MAX_CORDONS

    def tick(self) -> None:
        """Time out commands that were not committed in time, or all of them if the state service is down.

        The outcome of a commit may be unknown, so such a command may have been committed, or be committed later. The
        reply says so.
        """
        for key, (request_id, since) in list(self._pending.items()):
            if self.context.now - since > COMMIT_TIMEOUT or self.context.state_down():
                del self._pending[key]
                self.state_writer.policy_writes.pop(key, None)
                self.context.reply_error(request_id, 503, "not known whether it was taken: ask again", 1)
