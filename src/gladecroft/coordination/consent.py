"""The right to go on answering machines through an outage of the state service, by consent of all siblings.

A controller may act for one member lease after its last good renewal, because for so long nobody can have taken its
machines. In an outage nobody can take them at all, yet a controller can't tell an outage from being refused alone. Its
siblings can: each says whether the state service serves *it*, and whether it knows a newer epoch. While every one of
them, members or not, says "neither", the machines go on being answered, and no work is lost to their leases.

Why this is safe is told in ``docs/safety.md``. In short: who acts under a newer epoch has learned of it before and from
then on consents no more, so this controller stops within a member lease of that, as it would without consent. A right
that has lapsed is never revived here.

Each consent brings along the cancellations that its sender knows and this controller does not: committed records, which
count here as if the watch had brought them. So their tasks are stopped with the next answers, and only a cancellation
that was told after the last such round can be unknown here; it is outlasted by its time limit.

It owns what siblings have said. It never gives the right to commit, rent, return, move or command unasked.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import peers, wire

log = logging.getLogger(__name__)

#: Siblings are asked so many times in a member lease: a lost message or two must not end the consent.
ASKS_A_LEASE = 10
#: The part of what a cancellation leaves after a machine's lease for which machines may be answered on old news.
OLD_NEWS = 0.8
#: What must be left then: a worker notices the end of its lease, and ends its tasks, a little late.
LEFT_AT_LEAST = timedelta(seconds=1)
LONG_AGO = timedelta(days=-1)


class PeerConsent:
    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self._siblings = [peer.name for peer in context.platform.peers]
        #: When the last request was sent to which a sibling has consented, under this epoch.
        self._given: dict[str, timedelta] = {}
        #: The same for the last consent that told of all cancellations.
        self._told_all: dict[str, timedelta] = {}
        self._asking: set[str] = set()
        self._asked_at = LONG_AGO
        self._until = LONG_AGO
        workers = context.cluster.workers
        room = timedelta(seconds=workers.cancel_s - workers.lease_s)
        self._longest = OLD_NEWS * room / CLOCK_SKEW_FACTOR
        self._possible = (1 - OLD_NEWS) * room >= LEFT_AT_LEAST
        if not self._possible and self._siblings:
            log.info("cancel_s leaves %g s after lease_s: too little to answer machines by consent in an outage",
                     room.total_seconds())  # fmt: skip

    def may_answer_machines(self) -> bool:
        """Whether this controller may answer its machines: entitled to act, or with the consent of all siblings."""
        return self.membership.is_active() or self.membership.caught_up() and self.context.now < self._until

    def outage(self) -> bool:
        """Whether every sibling has lately said that the state service does not serve it either."""
        lately = self.context.now - self.context.member_ttl / 2
        return self.context.unserved() and all(self._given.get(name, LONG_AGO) > lately for name in self._siblings)

    def epoch_changed(self) -> None:
        """What was said of an earlier epoch counts no more."""
        self._given.clear()
        self._told_all.clear()
        self._until = LONG_AGO

    def tick(self) -> None:
        context, membership = self.context, self.membership
        epoch = membership.epoch
        if not context.unserved():
            # Off while the state service answers: nothing is asked, and what was said before is not built on later.
            self._given.clear()
            self._told_all.clear()
            if context.now >= self._until:
                self._until = LONG_AGO
            return
        if epoch is None or not membership.is_member() or not self._siblings:
            return
        if self._possible:
            self._extend()
        if context.now - self._asked_at >= context.member_ttl / ASKS_A_LEASE:
            self._asked_at = context.now
            for name in self._siblings:
                if name not in self._asking:
                    self._ask(name, epoch.number)

    def _extend(self) -> None:
        context = self.context
        right = max(self._until, self.membership.active_until)
        if context.now >= right:
            return  # lapsed: somebody may have acted on it; only a good renewal brings the right back
        oldest = min(self._given.get(name, LONG_AGO) for name in self._siblings)
        # Who tells a user of a cancellation knows it. So one that is not known here was told after this.
        told_all = min(self._told_all.get(name, LONG_AGO) for name in self._siblings)
        until = min(
            oldest + context.member_ttl / CLOCK_SKEW_FACTOR, max(self.membership.renewed_at, told_all) + self._longest
        )
        if until > right:
            if self._until == LONG_AGO:
                log.info("the state service serves nobody: machines are answered by consent of all siblings")
            self._until = until

    def _ask(self, name: str, epoch: int) -> None:
        sent = self.context.now

        def then(status: int, body: bytes) -> None:
            self._asking.discard(name)
            if status != 200:
                return
            try:
                answer: peers.ConsentReply = wire.decode(peers.ConsentReply, body)
            except msgspec.DecodeError as error:
                log.error("%s answers with what is no consent: %s", name, error)
                return
            for cancelled in answer.cancelled:
                self._take_cancelled(cancelled)
            now_epoch = self.membership.epoch
            if now_epoch is not None and now_epoch.number == epoch and self.context.unserved():
                self._given[name] = max(sent, self._given.get(name, LONG_AGO))
                if answer.complete:
                    self._told_all[name] = max(sent, self._told_all.get(name, LONG_AGO))

        wanted = peers.ConsentRequest(epoch, self.context.cluster_state.revision)
        if self.context.call_peer(name, peers.CONSENT_PATH, wire.encode(wanted), then):
            self._asking.add(name)

    def _take_cancelled(self, cancelled: peers.CancelledJob) -> None:
        """Take in a committed record that the watch has not brought: a cancellation changes nothing but its mark, so
        name and revision are the whole of it."""
        cluster_state = self.context.cluster_state
        job = cluster_state.jobs.get(cancelled.job)
        if job is not None and not job.cancelled and cancelled.version > job.version:
            record = msgspec.structs.replace(job.record, cancelled=True)
            cluster_state.apply(rec.job_key(job.id), msgspec.json.encode(record), cancelled.version)
            log.info("job %s: cancelled, as a sibling tells", job.id)

    def asked(self, request: IncomingRequest) -> None:
        """A sibling asks whether it may go on under its epoch.

        Not if the state service serves this controller: then the sibling alone is refused and is to be replaced. Not if
        a newer epoch was ever known here: under that one its machines may be another's.
        """
        wanted = self.context.decode_request(request, peers.ConsentRequest)
        if wanted is None:
            return
        if not self.context.unserved():
            self.context.reply_error(request.request_id, 409, "the state service answers here")
        elif self.membership.newest_epoch() > wanted.epoch:
            self.context.reply_error(request.request_id, 409, "a newer epoch is known here")
        else:
            self.context.reply(request.request_id, 200, wire.encode(self._build_reply(wanted.revision)))

    def _build_reply(self, revision: int | None) -> peers.ConsentReply:
        """All that this controller has told users was in its picture before; if it was started again meanwhile, in the
        records that it has read since. Of jobs that are over there is nothing left to stop."""
        context = self.context
        if revision is None or not context.records_loaded:
            return peers.ConsentReply()
        newer = [
            peers.CancelledJob(job.id, job.version)
            for job in context.cluster_state.jobs.values()
            if job.cancelled and job.version > revision
        ]
        return peers.ConsentReply(
            newer[: peers.MAX_CANCELLED_PER_MESSAGE], len(newer) <= peers.MAX_CANCELLED_PER_MESSAGE
        )
