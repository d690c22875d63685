"""Operators' orders to policies: taken in, committed, and only then answered."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineUse
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import PolicyWrite, StateWriter
from gladecroft.policies import cordon
from gladecroft.policies.interface import Place
from gladecroft.protocol import operators, wire

#: How long an order may wait for its commit; the service gives a request up after 4.5 s.
WAIT_LIMIT = timedelta(seconds=4)


class OperatorCommands:
    def __init__(self, context: ControllerContext, membership: Membership, state_writer: StateWriter) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: The order that waits for each key.
        self._open: dict[str, tuple[int, timedelta]] = {}

    def _cordon(self) -> cordon.Cordon | None:
        policy = None if self.context.panel is None else self.context.panel.policies.get(cordon.Cordon.subject)
        return policy if isinstance(policy, cordon.Cordon) else None

    def show(self, request: IncomingRequest) -> None:
        """The cordons that this controller knows of, those first that shut most machines."""
        policy = self._cordon()
        if policy is None:
            self.context.reply_error(request.request_id, 404, "the policy cordon is not switched on")
            return
        if not self.context.records_loaded:
            self.context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
            return
        shown = [
            operators.CordonStatus(**msgspec.structs.asdict(record), machines=self._shuts(record))
            for record in policy.records.values()
            if not record.over(self.context.wall_time)
        ]
        shown.sort(key=lambda each: (-each.machines, each.scope.value, each.name))
        self.context.reply(request.request_id, 200, wire.encode(operators.CordonList(shown)))

    def _shuts(self, record: cordon.CordonRecord) -> int:
        """How many of the machines that there are a cordon shuts."""
        return sum(
            record.shuts(Place.of(name, machine.pool))
            for name, machine in self.cluster_state.machines.items()
            if machine.use is not MachineUse.RETURNED
        )

    def asked(self, request: IncomingRequest) -> None:
        context, policy = self.context, self._cordon()
        if policy is None:
            context.reply_error(request.request_id, 404, "the policy cordon is not switched on")
            return
        try:
            order: operators.CordonRequest = wire.decode(operators.CordonRequest, request.body)
        except msgspec.DecodeError as error:
            context.reply_error(request.request_id, 400, str(error))
            return
        if not context.records_loaded or context.state_down() or not self.membership.is_active():
            context.reply_error(request.request_id, 503, "this controller can't commit anything now", 1)
            return
        if 0 < order.until_s <= context.wall_time.timestamp() and not order.lift:
            context.reply_error(request.request_id, 422, "the cordon would be over already")
            return
        name = cordon.record_name(order.scope, order.name)
        if order.lift and name not in policy.records:
            context.reply_error(request.request_id, 404, f"there is no cordon of {order.scope.value} {order.name}")
            return
        if not order.lift and name not in policy.records and not self._make_room(policy):
            context.reply_error(
                request.request_id, 422, f"there are {cordon.MOST} cordons already: lift some, or shut a whole type"
            )
            return
        key = rec.policy_key(policy.subject, name)
        before = self._open.pop(key, None)
        if before is not None:
            context.reply_error(before[0], 409, "another order for it has come meanwhile")
        value = None if order.lift else msgspec.json.encode(cordon.record_of(order, context.wall_time))
        self._open[key] = (request.request_id, context.now)

        def done() -> None:
            waiting = self._open.get(key)
            if waiting is not None and waiting[0] == request.request_id:
                del self._open[key]
                context.reply(request.request_id, 200, b"{}")

        self.state_writer.policy_writes[key] = PolicyWrite(value, context.now, done)

    def _make_room(self, policy: cordon.Cordon) -> bool:
        """Whether one more cordon may be kept; those that are over go."""
        for name in [name for name, record in policy.records.items() if record.over(self.context.wall_time)]:
            key = rec.policy_key(policy.subject, name)
            self.state_writer.policy_writes.setdefault(key, PolicyWrite(None, self.context.now, lambda: None))
        return len(policy.records) + len(self._open) < cordon.MOST

    def tick(self) -> None:
        """Give up on orders that could not be committed in time. They may have been, or may be yet, if the outcome of
        their commit is not known: so the answer says that it is not known."""
        for key, (number, since) in list(self._open.items()):
            if self.context.now - since > WAIT_LIMIT or self.context.state_down():
                del self._open[key]
                self.state_writer.policy_writes.pop(key, None)
                self.context.reply_error(number, 503, "not known whether it was taken: ask again", 1)
