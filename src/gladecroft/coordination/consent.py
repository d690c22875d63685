"""Permission to keep answering machines during an outage of the state service, given by all peers.

A controller is active for one member lease after its last confirmed renewal, because no other controller can take over
its machines within that time. During an outage nobody can take them over at all, but a controller can't tell an outage
from being the only one that is not served. Its peers can: each says whether the state service serves it, and whether
it knows a newer epoch. While every peer, member or not, denies both, this controller keeps answering its machines, so
that no work is lost to expired machine leases.

``docs/safety.md`` explains why this is safe. In short: a controller that acts under a newer epoch has learned of that
epoch before and no longer consents, so this controller stops within one member lease of that, as it would without
consent. A right to answer that has expired is never restored here.

Each consent also carries the cancellations that the peer knows and this controller does not. They are committed records
and are applied as if the watch had delivered them, so the affected tasks are stopped with the next replies to their
machines. Only a cancellation acknowledged to a user after the last complete round can be unknown here; its time limit
has not passed when the extension ends.

This module keeps track of what the peers have said. It never allows a controller to commit, to rent, return or move
machines, or to send commands other than in replies to reports.
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

#: Consent requests per member lease: one or two lost messages must not end the consent.
REQUESTS_PER_LEASE = 10
#: Fraction of the time between the machine lease and the cancellation limit for which machines may be answered without
#: knowing the newest cancellations.
STALE_REPLY_SHARE = 0.8
#: Time that must remain after that: a worker ends its tasks slightly after its lease has expired.
MIN_CANCEL_MARGIN = timedelta(seconds=1)
NEVER = timedelta(days=-1)


class PeerConsent:
    """Asks the peers for consent during an outage, and answers their requests."""

    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self._peers = [peer.name for peer in context.platform.peers]
        #: By peer: when the latest request that it consented to was sent, in this epoch.
        self._consented_at: dict[str, timedelta] = {}
        #: By peer: the same for the latest consent that listed all cancellations.
        self._complete_at: dict[str, timedelta] = {}
        self._requests_in_flight: set[str] = set()
        self._last_request_at = NEVER
        self._extended_until = NEVER
        workers = context.cluster.workers
        cancel_margin = timedelta(seconds=workers.cancel_s - workers.lease_s)
        self._max_extension = STALE_REPLY_SHARE * cancel_margin / CLOCK_SKEW_FACTOR
        self._enabled = (1 - STALE_REPLY_SHARE) * cancel_margin >= MIN_CANCEL_MARGIN
        if not self._enabled and self._peers:
            log.info("cancel_s exceeds lease_s by only %g s: machines will not be answered by consent in an outage",
                     cancel_margin.total_seconds())  # fmt: skip

    def may_answer_machines(self) -> bool:
        """Whether this controller may answer its machines: it is active, or all peers consent."""
        return self.membership.is_active() or self.membership.caught_up() and self.context.now < self._extended_until

    def outage_confirmed(self) -> bool:
        """Whether every peer has recently said that the state service does not serve it either."""
        recent = self.context.now - self.context.member_ttl / 2
        return self.context.state_failing() and all(
            self._consented_at.get(name, NEVER) > recent for name in self._peers
        )

    def epoch_changed(self) -> None:
        """Discard consent given in an earlier epoch."""
        self._consented_at.clear()
        self._complete_at.clear()
        self._extended_until = NEVER

    def tick(self) -> None:
        """Request consent from the peers and extend the right to answer, while the state service fails."""
        context, membership = self.context, self.membership
        epoch = membership.epoch
        if not context.state_failing():
            # Inactive while the state service answers. Earlier consent must not count in the next outage.
            self._consented_at.clear()
            self._complete_at.clear()
            if context.now >= self._extended_until:
                self._extended_until = NEVER
            return
        if epoch is None or not membership.is_member() or not self._peers:
            return
        if self._enabled:
            self._extend()
        if context.now - self._last_request_at >= context.member_ttl / REQUESTS_PER_LEASE:
            self._last_request_at = context.now
            for name in self._peers:
                if name not in self._requests_in_flight:
                    self._request_consent(name, epoch.number)

    def _extend(self) -> None:
        context = self.context
        valid_until = max(self._extended_until, self.membership.active_until)
        if context.now >= valid_until:
            # Expired: another controller may own the machines by now. Only a confirmed renewal restores the right.
            return
        oldest_consent = min(self._consented_at.get(name, NEVER) for name in self._peers)
        # A controller that acknowledges a cancellation to a user knows it, so any cancellation that is unknown here was
        # acknowledged after this time.
        oldest_complete = min(self._complete_at.get(name, NEVER) for name in self._peers)
        until = min(
            oldest_consent + context.member_ttl / CLOCK_SKEW_FACTOR,
            max(self.membership.renewed_at, oldest_complete) + self._max_extension,
        )
        if until > valid_until:
            if self._extended_until == NEVER:
                log.info("state service outage: answering machines by consent of all peers")
            self._extended_until = until

    def _request_consent(self, name: str, epoch: int) -> None:
        sent_at = self.context.now

        def on_result(status: int, body: bytes) -> None:
            self._requests_in_flight.discard(name)
            if status != 200:
                return
            try:
                reply: peers.ConsentReply = wire.decode(peers.ConsentReply, body)
            except msgspec.DecodeError as error:
                log.error("malformed consent reply from %s: %s", name, error)
                return
            for cancelled in reply.cancelled:
                self._apply_cancellation(cancelled)
            current_epoch = self.membership.epoch
            if current_epoch is not None and current_epoch.number == epoch and self.context.state_failing():
                self._consented_at[name] = max(sent_at, self._consented_at.get(name, NEVER))
                if reply.complete:
                    self._complete_at[name] = max(sent_at, self._complete_at.get(name, NEVER))

        request = peers.ConsentRequest(epoch, self.context.cluster_state.revision)
        if self.context.call_peer(name, peers.CONSENT_PATH, wire.encode(request), on_result):
            self._requests_in_flight.add(name)

    def _apply_cancellation(self, cancelled: peers.CancelledJob) -> None:
        """Apply a committed cancellation that the watch has not delivered yet.

        A cancellation changes nothing in the job record but its flag, so job id and revision are sufficient.
        """
        cluster_state = self.context.cluster_state
        job = cluster_state.jobs.get(cancelled.job)
        if job is not None and not job.cancelled and cancelled.version > job.version:
            record = msgspec.structs.replace(job.record, cancelled=True)
            cluster_state.apply(rec.job_key(job.id), msgspec.json.encode(record), cancelled.version)
            log.info("job %s: cancelled according to a peer", job.id)

    def handle_request(self, request: IncomingRequest) -> None:
        """Answer a peer that asks whether it may keep answering its machines under its epoch.

        Consent is denied if the state service serves this controller, since then only the peer is cut off and has to be
        replaced, and if this controller has ever known a newer epoch, since in that epoch the machines may belong to
        another controller.
        """
        message = self.context.decode_request(request, peers.ConsentRequest)
        if message is None:
            return
        if not self.context.state_failing():
            self.context.reply_error(request.request_id, 409, "the state service answers here")
        elif self.membership.newest_epoch() > message.epoch:
            self.context.reply_error(request.request_id, 409, "a newer epoch is known here")
        else:
            self.context.reply(request.request_id, 200, wire.encode(self._build_reply(message.revision)))

    def _build_reply(self, revision: int | None) -> peers.ConsentReply:
        """Build the consent with all cancellations newer than the peer's revision.

        Every cancellation that this controller has acknowledged was in its cluster state first, or, after a
        restart, in the records it has read since. Finished jobs are left out: they have no tasks to stop.
        """
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
