"""The one owner of all in-process state: (time, events) in, effects out."""

from __future__ import annotations

import logging
from typing import Any

from gladecroft.bookkeeping.records import MachineUse
from gladecroft.coordination.admission import Admission
from gladecroft.coordination.consent import Consent
from gladecroft.coordination.context import Node
from gladecroft.coordination.events import Answered, Asked, Clock, Effect, Event, Verb, Watched, by_urgency
from gladecroft.coordination.fleet import Fleet
from gladecroft.coordination.machines import Keeper
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.operator_commands import Orders
from gladecroft.coordination.scheduling import Placers
from gladecroft.coordination.state_writer import Ledger
from gladecroft.coordination.users import Users
from gladecroft.coordination.users.handler import JOBS_PER_MB
from gladecroft.protocol.settings import Operator, Platform
from gladecroft.protocol.wire import encode

log = logging.getLogger(__name__)


class Core:
    def __init__(self, platform: Platform, operator: Operator) -> None:
        self.node = Node(platform, operator)
        self.membership = Membership(self.node)
        self.consent = Consent(self.node, self.membership)
        self.ledger = Ledger(self.node, self.membership)
        self.keeper = Keeper(self.node, self.membership, self.ledger, self.consent)
        self.placers = Placers(self.node, self.membership, self.keeper, self.ledger)
        self.fleet = Fleet(self.node, self.membership, self.keeper, self.ledger, self.placers)
        #: None: it is switched off.
        self.admission: Admission | None = None
        if operator.admission:
            patience = self.placers.queue.patience
            most_jobs = int(JOBS_PER_MB * self.node.cluster.limits.memory_mb)
            self.admission = Admission(self.node, self.membership, self.fleet.capacity, patience, most_jobs)
            self.placers.agreed = self.admission.tiers
        self.users = Users(self.node, self.membership, self.placers.fits)
        self.users.desk.reason = self.placers.reason
        if self.admission is not None:
            self.users.wait_of = self.admission.wait_of
        self.orders = Orders(self.node, self.membership, self.ledger)

    def step(self, clock: Clock, events: list[Event]) -> list[Effect]:
        """Take in a batch of events and say what is to be done."""
        node = self.node
        node.now, node.wall = clock.steady, clock.wall
        if node.panel is not None:
            node.panel.begin(clock.wall)
        for event in events if self.admission is None else by_urgency(events):
            try:
                self._take(event)
            except Exception:
                # One message that trips a fault must not end the controller: what matters is in the state service.
                log.exception("fault while handling %s", type(event).__name__)
                if isinstance(event, Asked):
                    node.refuse(event.number, 500, "internal fault")
            # At once, not at the end of the batch: a report handled between the news of an epoch and what follows
            # from it would be judged by what held before, and its machine's ownership dated too early.
            self._follow_epoch()
        self.membership.tick()
        self._follow_epoch()
        self.consent.tick()
        self.users.tick()
        if node.panel is not None:
            self.orders.tick()
        self.keeper.tick()
        self.fleet.tick()
        if self.admission is not None:
            self._agree(self.admission)
        self.ledger.ends.tell()
        self.ledger.flush()
        self.keeper.work()
        self.node.account()
        return node.take_effects()

    @staticmethod
    def _agree(admission: Admission) -> None:
        try:
            admission.tick()
        except Exception:
            # It says who comes first; no rule rests on it, and a fault in it must not end the controller.
            log.exception("fault while agreeing on shares")

    def _follow_epoch(self) -> None:
        self.membership.see_epoch()
        if self.membership.changed:
            self.membership.changed = False
            self.consent.epoch_changed()
            self.ledger.epoch_changed(self.membership.continuous)
            self.keeper.epoch_changed(self.membership.continuous)
            self.placers.floor.all_stale()
            self.fleet.epoch_changed()
            if self.admission is not None:
                self.admission.epoch_changed()

    def _take(self, event: Event) -> None:
        if isinstance(event, Answered):
            self.node.answered(event.call, event.status, event.body)
        elif isinstance(event, Watched):
            self.membership.watched(event)
        else:
            self._asked(event)

    def _asked(self, asked: Asked) -> None:
        if asked.verb is Verb.REPORT:
            self.keeper.reported(asked)
        elif asked.verb is Verb.HEALTH:
            if self.healthy():
                self.node.reply(asked.number, 200, b"{}")
            else:
                self.node.refuse(asked.number, 503, "can't take requests now", 1)
        elif asked.verb is Verb.ENDED:
            self.ledger.ends.told(asked)
        elif asked.verb is Verb.HEARD:
            self.keeper.told(asked)
        elif asked.verb is Verb.HEARS:
            self.keeper.visits.hears(asked)
        elif asked.verb is Verb.CONSENT:
            self.consent.asked(asked)
        elif asked.verb is Verb.CORDONS:
            self.orders.show(asked)
        elif asked.verb is Verb.CORDON:
            self.orders.asked(asked)
        elif asked.verb is Verb.ADMISSION:
            self._show_admission(asked)
        elif asked.verb is Verb.VIEW:
            self.node.reply(asked.number, 200, encode(self.view()))
        else:
            self.users.asked(asked)

    def _show_admission(self, asked: Asked) -> None:
        if self.admission is None:
            self.node.refuse(asked.number, 404, "fair shares are not switched on (admission=true)")
        elif not self.node.loaded:
            self.node.refuse(asked.number, 503, "starting: the records are not read yet", 1)
        else:
            self.node.reply(asked.number, 200, encode(self.admission.show()))

    def healthy(self) -> bool:
        # In an outage for all no other controller would serve users better; the one who alone is refused steps aside.
        served = not self.node.state_down() or self.consent.outage()
        return self.node.loaded and served and bool(self.placers.types)

    def view(self) -> dict[str, Any]:
        """This controller's own view, for operators; no jobs in it."""
        epoch = self.membership.epoch
        machines = [name for name, record in self.node.picture.machines.items() if record.use is not MachineUse.GONE]
        view: dict[str, Any] = {
            "name": self.node.name,
            "healthy": self.healthy(),
            "role": "leader" if self.membership.leads() else "member" if self.membership.entitled() else "outside",
            "epoch": None if epoch is None else epoch.number,
            "members": [] if epoch is None else sorted(epoch.members),
            "revision": self.node.picture.revision,
            "part": sorted(name for name in machines if self.membership.owner(name) == self.node.name),
            "machines": len(machines),
            "jobs": len(self.node.picture.jobs),
            "budgets": {
                "state_requests": round(self.node.requests.level, 1),
                "state_writes": round(self.node.writes.level, 1),
                "cloud": round(self.node.cloud_calls.level, 1),
            },
            "queues": {**self.users.queue_lengths(), "exits": len(self.ledger.exits)},
        }
        panel = self.node.panel
        if panel is not None:
            view["policies"] = {
                name: {"asked": panel.asked[name], "rounds_not_heard": panel.dropped[name]} for name in panel.policies
            }
        return view
