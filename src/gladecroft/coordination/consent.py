"""Consent of all peers to keep renewing machine leases during an outage of the state service.

A reply to a machine's report renews the machine's lease on its tasks; without replies the machine kills them. A
controller is active, and may reply, for one member lease after its last confirmed renewal, because no other controller
can take over its machines within that time. During an outage of the state service no controller can take them over at
all, but a controller can't tell an outage from being the only one that is not served. It therefore asks its peers. A
peer consents if the state service does not serve it either and it knows no newer epoch. While all peers, members of the
epoch or not, consent, this controller keeps replying to its machines, so that no work is lost to expired machine
leases.

``docs/safety.md`` explains why this is safe. In short: a controller that acts under a newer epoch has learned of that
epoch before and consents no more, so this controller stops replying within one member lease of that, as it would
without consent. Consent only extends a right to reply; once expired, the right returns only with a confirmed renewal.

Each consent also carries the cancellations that the peer knows and this controller does not. They are committed records
and are applied as if the watch had delivered them, so the affected tasks are stopped with the next replies to their
machines. A cancellation that is still unknown here was acknowledged to its user after all peers were last asked and
replied with complete lists. The extension ends before the tasks of such a job must have stopped (``cancel_s``).

Consent allows nothing but replies to reports and the commands in them: no commits, no direct commands to machines, and
no renting, returning or moving of machines.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from enum import Enum

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import peers, wire

log = logging.getLogger(__name__)

#: Consent requests per member lease. One or two lost messages must not let the consent expire.
REQUESTS_PER_LEASE = 10
#: Fraction of ``cancel_s - lease_s`` for which a controller may reply to machines without knowing the newest
#: cancellations. ``cancel_s`` is the time within which the tasks of a cancelled job must have stopped.
STALE_REPLY_FRACTION = 0.8
#: Minimum for the rest of that time. It is needed because a worker kills its tasks slightly after its lease expires.
MIN_CANCEL_MARGIN = timedelta(seconds=1)
NEVER = timedelta(days=-1)


class RightToReply(Enum):
    """What entitles a controller to reply to the reports of its machines."""

    LEASE = "lease"
    CONSENT = "consent"
    NONE = "none"


class PeerConsent:
    """Requests consent from the peers during an outage, and replies to their requests."""

    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self._peers = [peer.name for peer in context.platform.peers]
        #: By peer: when the latest request that it consented to in this epoch and outage was sent.
        self._consented_at: dict[str, timedelta] = {}
        #: By peer: when the latest request in this epoch and outage was sent whose reply listed all cancellations.
        self._complete_consent_at: dict[str, timedelta] = {}
        self._requests_in_flight: set[str] = set()
        self._last_request_at = NEVER
        self._extended_until = NEVER
        workers = context.cluster.workers
        cancel_margin = timedelta(seconds=workers.cancel_s - workers.lease_s)
        self._max_extension = STALE_REPLY_FRACTION * cancel_margin / CLOCK_SKEW_FACTOR
        self._enabled = (1 - STALE_REPLY_FRACTION) * cancel_margin >= MIN_CANCEL_MARGIN
        if not self._enabled and self._peers:
            log.info("cancel_s exceeds lease_s by only %g s: consent in an outage will not extend replies to machines",
                     cancel_margin.total_seconds())  # fmt: skip

    def right_to_reply(self) -> RightToReply:
        """On what the right to reply to machine reports rests at present."""
        if self.membership.is_active():
            return RightToReply.LEASE
        extended = self.membership.caught_up() and self.context.now < self._extended_until
        return RightToReply.CONSENT if extended else RightToReply.NONE

    def may_reply_to_reports(self) -> bool:
        """Whether this controller may reply to machine reports: it is active, or consent has extended that right."""
        return self.right_to_reply() is not RightToReply.NONE

    def outage_confirmed(self) -> bool:
        """Whether the state service serves neither this controller nor, by their recent consent, any of its peers."""
        recent = self.context.now - self.context.member_ttl / 2
        return self.context.state_failing() and all(
            self._consented_at.get(name, NEVER) > recent for name in self._peers
        )

    def epoch_changed(self) -> None:
        """Discard consent given in an earlier epoch."""
        self._consented_at.clear()
        self._complete_consent_at.clear()
        self._extended_until = NEVER

    def tick(self) -> None:
        """Request consent from the peers and extend the right to reply to machines, while the state service fails."""
        context, membership = self.context, self.membership
        epoch = membership.epoch
        if not context.state_failing():
            # No outage. Earlier consent must not count in the next one.
            self._consented_at.clear()
            self._complete_consent_at.clear()
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
            # Expired: another controller may own the machines by now. Only a confirmed renewal restores the right to
            # reply.
            return
        oldest_consent = min(self._consented_at.get(name, NEVER) for name in self._peers)
        # A peer that has acknowledged a cancellation to a user includes it in its next complete list. So a cancellation
        # that is unknown here was acknowledged after this time.
        oldest_complete = min(self._complete_consent_at.get(name, NEVER) for name in self._peers)
        until = min(
            oldest_consent + context.member_ttl / CLOCK_SKEW_FACTOR,
            max(self.membership.renewed_at, oldest_complete) + self._max_extension,
        )
        if until > valid_until:
            if self._extended_until == NEVER:
                log.info("state service outage: replying to machines by consent of all peers")
            self._extended_until = until

    def _request_consent(self, peer: str, epoch_number: int) -> None:
        sent_at = self.context.now

        def on_result(status: int, body: bytes) -> None:
            self._requests_in_flight.discard(peer)
            if status != 200:
                return
            try:
                reply: peers.ConsentReply = wire.decode(peers.ConsentReply, body)
            except msgspec.DecodeError as error:
                log.error("malformed consent reply from %s: %s", peer, error)
                return
            for cancelled in reply.cancelled:
                self._apply_cancellation(cancelled)
            current_epoch = self.membership.epoch
            if current_epoch is not None and current_epoch.number == epoch_number and self.context.state_failing():
                self._consented_at[peer] = max(sent_at, self._consented_at.get(peer, NEVER))
                if reply.complete:
                    self._complete_consent_at[peer] = max(sent_at, self._complete_consent_at.get(peer, NEVER))

        request = peers.ConsentRequest(epoch_number, self.context.cluster_state.revision)
        if self.context.call_peer(peer, peers.CONSENT_PATH, wire.encode(request), on_result):
            self._requests_in_flight.add(peer)

    def _apply_cancellation(self, cancelled: peers.CancelledJob) -> None:
        """Apply a committed cancellation that the watch has not delivered yet.

        A cancellation changes only the ``cancelled`` flag of the job record, so job id and version are sufficient.
        """
        cluster_state = self.context.cluster_state
        job = cluster_state.jobs.get(cancelled.job)
        if job is not None and not job.cancelled and cancelled.version > job.version:
            record = msgspec.structs.replace(job.record, cancelled=True)
            cluster_state.apply(rec.job_key(job.id), msgspec.json.encode(record), cancelled.version)
            log.info("job %s: cancelled according to a peer", job.id)

    def handle_request(self, request: IncomingRequest) -> None:
        """Reply to a peer that requests consent to keep replying to its machines under its epoch.

        Consent is denied in two cases. If this controller's own calls to the state service do not fail, the peer is
        presumably just cut off and must be replaced. If this controller has ever known a newer epoch, the peer's
        machines may belong to another controller in that epoch.
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
        """Build a consent that lists the cancellations newer than the peer's revision.

        The list is complete, up to the message limit: every cancellation that this controller has acknowledged was
        applied to its cluster state first, or, if the controller has restarted, was among the records it has loaded
        since. Jobs with a final record are left out, since they have no tasks to stop. Without the peer's revision, or
        before the records are loaded, the list is empty and incomplete.
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
