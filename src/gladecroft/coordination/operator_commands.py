"""Operators' orders to policies: taken in, committed, and only then answered."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineUse
from gladecroft.coordination.context import Node
from gladecroft.coordination.events import Asked
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import Ledger, PolicyPut
from gladecroft.policies import cordon
from gladecroft.policies.interface import Place
from gladecroft.protocol import operators, wire

#: How long an order may wait for its commit; the service gives a request up after 4.5 s.
WAIT_LIMIT = timedelta(seconds=4)


class Orders:
    def __init__(self, node: Node, membership: Membership, ledger: Ledger) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        #: The order that waits for each key.
        self._open: dict[str, tuple[int, timedelta]] = {}

    def _cordon(self) -> cordon.Cordon | None:
        policy = None if self.node.panel is None else self.node.panel.policies.get(cordon.Cordon.subject)
        return policy if isinstance(policy, cordon.Cordon) else None

    def show(self, asked: Asked) -> None:
        """The cordons that this controller knows of, those first that shut most machines."""
        policy = self._cordon()
        if policy is None:
            self.node.refuse(asked.number, 404, "the policy cordon is not switched on")
            return
        if not self.node.loaded:
            self.node.refuse(asked.number, 503, "starting: the records are not read yet", 1)
            return
        shown = [
            operators.CordonShown(**msgspec.structs.asdict(record), machines=self._shuts(record))
            for record in policy.records.values()
            if not record.over(self.node.wall)
        ]
        shown.sort(key=lambda each: (-each.machines, each.scope.value, each.name))
        self.node.reply(asked.number, 200, wire.encode(operators.Cordons(shown)))

    def _shuts(self, record: cordon.CordonRecord) -> int:
        """How many of the machines that there are a cordon shuts."""
        return sum(
            record.shuts(Place.of(name, machine.sort))
            for name, machine in self.picture.machines.items()
            if machine.use is not MachineUse.GONE
        )

    def asked(self, asked: Asked) -> None:
        node, policy = self.node, self._cordon()
        if policy is None:
            node.refuse(asked.number, 404, "the policy cordon is not switched on")
            return
        try:
            order: operators.CordonOrder = wire.decode(operators.CordonOrder, asked.body)
        except msgspec.DecodeError as error:
            node.refuse(asked.number, 400, str(error))
            return
        if not node.loaded or node.state_down() or not self.membership.entitled():
            node.refuse(asked.number, 503, "this controller can't commit anything now", 1)
            return
        if 0 < order.until_s <= node.wall.timestamp() and not order.lift:
            node.refuse(asked.number, 422, "the cordon would be over already")
            return
        name = cordon.record_name(order.scope, order.name)
        if order.lift and name not in policy.records:
            node.refuse(asked.number, 404, f"there is no cordon of {order.scope.value} {order.name}")
            return
        if not order.lift and name not in policy.records and not self._make_room(policy):
            node.refuse(asked.number, 422, f"there are {cordon.MOST} cordons already: lift some, or shut a whole type")
            return
        key = rec.policy_key(policy.subject, name)
        before = self._open.pop(key, None)
        if before is not None:
            node.refuse(before[0], 409, "another order for it has come meanwhile")
        value = None if order.lift else msgspec.json.encode(cordon.record_of(order, node.wall))
        self._open[key] = (asked.number, node.now)

        def done() -> None:
            waiting = self._open.get(key)
            if waiting is not None and waiting[0] == asked.number:
                del self._open[key]
                node.reply(asked.number, 200, b"{}")

        self.ledger.policy_puts[key] = PolicyPut(value, node.now, done)

    def _make_room(self, policy: cordon.Cordon) -> bool:
        """Whether one more cordon may be kept; those that are over go."""
        for name in [name for name, record in policy.records.items() if record.over(self.node.wall)]:
            key = rec.policy_key(policy.subject, name)
            self.ledger.policy_puts.setdefault(key, PolicyPut(None, self.node.now, lambda: None))
        return len(policy.records) + len(self._open) < cordon.MOST

    def tick(self) -> None:
        """Give up on orders that could not be committed in time. They may have been, or may be yet, if the outcome of
        their commit is not known: so the answer says that it is not known."""
        for key, (number, since) in list(self._open.items()):
            if self.node.now - since > WAIT_LIMIT or self.node.state_down():
                del self._open[key]
                self.ledger.policy_puts.pop(key, None)
                self.node.refuse(number, 503, "not known whether it was taken: ask again", 1)
