"""Submissions, polls and cancellations.

Nothing is told before it is committed, and nothing older than what any controller may have told: an answer from
the picture is first confirmed by a compare-only commit (many jobs a request), except final states, which never
change. What can't be decided now is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.admission.window import position
from gladecroft.coordination.context import Node
from gladecroft.coordination.events import Asked, Verb
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.users.commit_queue import Changes
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.coordination.users.pending import Desk, Waiting
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec

WAIT_LIMIT = {
    Verb.SUBMIT: timedelta(seconds=3),
    Verb.CANCEL: timedelta(seconds=3),
    Verb.POLL: timedelta(seconds=1.4),
}
RETRY_AFTER = {429: 10, 503: 1}
#: What part of all requests that may wait each kind may take up, if shares are agreed: a flood of submissions leaves
#: room for polls, and one of polls for cancellations.
OPEN_TO = {Verb.SUBMIT: 0.5, Verb.POLL: 0.8, Verb.CANCEL: 1.0}
CONFIRM_EVERY = timedelta(milliseconds=100)
#: At most this part of a controller's requests confirms answers; each confirms many. So even the smallest budget has
#: some left for what must be changed.
CONFIRMS = 1 / 3
LOOK_EVERY = timedelta(milliseconds=100)
#: Requests that may wait, and accepted jobs that may be unfinished, for each MB that a controller may hold. A job
#: with its tasks takes some kilobytes, in every controller.
WAITING_PER_MB = 10
JOBS_PER_MB = 30


class Users:
    def __init__(self, node: Node, membership: Membership, fits: Callable[[JobSpec], str | None | bool]) -> None:
        self.node = node
        self.picture = node.picture
        self.desk = Desk(node)
        self._fits = fits
        #: After how many seconds a new job is to be submitted again for which there is no room in its group (None: it
        #: is taken); None: shares are not agreed on at all.
        self.wait_of: Callable[[JobSpec], int | None] | None = None
        self._lookups = Lookups(node, self.desk, self._found)
        self._changes = Changes(node, membership, self.desk, self._route, self._lookups.read, self._tell_known)
        self._confirm: dict[str, list[Waiting]] = {}
        self._confirming = False
        self._confirmed_at = timedelta(days=-1)
        self._looked_at = timedelta(days=-1)

    def queue_lengths(self) -> dict[str, int]:
        return {"confirm": len(self._confirm), "changes": len(self._changes), "reads": len(self._lookups)}

    def asked(self, asked: Asked) -> None:
        node = self.node
        waiting = Waiting(asked, node.now)
        if asked.verb is Verb.SUBMIT:
            try:
                waiting.spec = wire.parse_job(asked.body)
                asked.job = waiting.spec.id
            except ValueError as error:
                # A repeated submission of a known job is never refused for good, whatever it looks like: so one that
                # names a job is looked up first.
                named = wire.job_named(asked.body)
                if named is None:
                    node.refuse(asked.number, 400, str(error))
                    return
                asked.job, waiting.malformed = named, str(error)
        final = self.picture.finals.get(asked.job)
        if final is not None:
            self.desk.tell_final(waiting, final)
            return
        if not node.loaded:
            node.refuse(asked.number, 503, "starting: the records are not read yet", 1)
            return
        if node.state_down():
            node.refuse(asked.number, 503, "the state service does not answer", self._retry_after(asked.job, 2))
            return
        most = WAITING_PER_MB * node.cluster.limits.memory_mb * (OPEN_TO[asked.verb] if self.wait_of else 1.0)
        if len(self.desk.open) >= most:
            node.refuse(asked.number, 429, "too many requests wait", self._retry_after(asked.job, 3))
            return
        self.desk.open[asked.number] = waiting
        self._route(waiting)

    def _route(self, waiting: Waiting) -> None:
        asked = waiting.asked
        job = self.picture.jobs.get(asked.job)
        if job is not None:
            if asked.verb is Verb.CANCEL and not job.cancelled:
                self._changes.append(waiting)
            else:
                self._confirm.setdefault(asked.job, []).append(waiting)
            return
        if asked.verb is Verb.SUBMIT:
            spec = waiting.spec
            # A known job may have a spec that no longer fits; so it is looked up before it is judged.
            if spec is None or waiting.tries == 0 and self._judge(spec) is not None:
                self._lookups.read(waiting)
            else:
                self._changes.append(waiting)
            return
        self._lookups.read(waiting)

    def _retry_after(self, job: str, usual: int | None) -> int | None:
        """Spread, so that those who are refused together do not come back together."""
        if self.wait_of is None or usual is None:
            return usual
        return usual + int(position(self.node.name, job) * (2 * usual + 1))

    def _judge(self, spec: JobSpec) -> tuple[int, str] | None:
        never = self.picture.never_runs(spec)
        if never is not None:
            return 422, never
        fits = self._fits(spec)
        if fits is False:
            return 503, "the machine types are not known yet"
        if isinstance(fits, str):
            return 422, fits
        # What can never run is told so, whatever the load.
        if len(self.picture.jobs) >= JOBS_PER_MB * self.node.cluster.limits.memory_mb:
            return 429, "too many jobs are unfinished"
        if self.wait_of is not None and self.wait_of(spec) is not None:
            return 429, f"too many jobs of {spec.team}, {spec.job_class}, are unfinished"
        return None

    def _tell_known(self, waiting: Waiting) -> bool:
        """Answer from the picture, which has just been shown to be up to date for this job."""
        name = waiting.asked.job
        final = self.picture.finals.get(name)
        if final is not None:
            self.desk.tell_final(waiting, final)
            return True
        job = self.picture.jobs.get(name)
        if job is None:
            return False
        if waiting.asked.verb is Verb.CANCEL and not job.cancelled:
            self._changes.append(waiting)
        else:
            self.desk.tell(waiting, job)
        return True

    def tick(self) -> None:
        node = self.node
        down = node.state_down()
        look = node.now - self._looked_at >= LOOK_EVERY
        if look:
            self._looked_at = node.now
        for waiting in list(self.desk.open.values()) if look else ():
            if down:
                after = self._retry_after(waiting.asked.job, 2)
                self.desk.refuse(waiting, 503, "the state service does not answer", after)
            elif node.now - waiting.since > WAIT_LIMIT[waiting.asked.verb]:
                self.desk.refuse(
                    waiting, 503, "the state service was too slow", self._retry_after(waiting.asked.job, 1)
                )
        if not node.loaded:
            return
        self._changes.flush()
        self._flush_confirm()
        self._lookups.flush()

    def _flush_confirm(self) -> None:
        node = self.node
        pause = node.apart(CONFIRMS, CONFIRM_EVERY)
        if self._confirming or not self._confirm or node.now - self._confirmed_at < pause:
            return
        conditions: list[wire.Condition] = []
        batch: dict[str, list[Waiting]] = {}
        for name in list(self._confirm):
            if len(batch) >= 4 * self.node.cluster.state.txn_ops:
                break
            group = [waiting for waiting in self._confirm.pop(name) if self.desk.alive(waiting)]
            job = self.picture.jobs.get(name)
            if not group:
                continue
            if job is None:
                for waiting in group:
                    if not self._tell_known(waiting):
                        self._lookups.read(waiting)
                continue
            batch[name] = group
            conditions.append(wire.Condition(rec.job_key(name), job.version))
        if not batch:
            return

        def then(status: int, body: bytes) -> None:
            self._confirming = False
            failed: set[str] = set()
            if status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
            elif status != 200:
                self._put_back(batch)
                return
            for name, group in batch.items():
                # What has changed is there still, live or final; the watch may have brought its final state by now.
                known = rec.job_key(name) not in failed or name in self.picture.finals
                for waiting in group:
                    if not known or not self._tell_known(waiting):
                        self._lookups.read(waiting, there=True)

        # Before lookups and what is to be changed: those who ask about known jobs are served whatever else is asked
        # for.
        if node.state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then, floor=1.0):
            self._confirming = True
            self._confirmed_at = node.now
        else:
            self._put_back(batch)

    def _put_back(self, batch: dict[str, list[Waiting]]) -> None:
        """What could not be confirmed comes first the next time: put behind what has come since, it could wait for
        ever."""
        later, self._confirm = self._confirm, batch
        for name, group in later.items():
            self._confirm.setdefault(name, []).extend(group)

    def _found(self, waiting: Waiting, known: bool) -> None:
        """A job's records have been read."""
        if not known:
            self._unknown(waiting)
        elif not self._tell_known(waiting):
            self._lookups.read(waiting, there=True)  # it has changed again since, and the picture no longer holds it

    def _unknown(self, waiting: Waiting) -> None:
        """The store has no such job."""
        if waiting.asked.verb is not Verb.SUBMIT:
            if self.desk.close(waiting):
                self.node.refuse(waiting.asked.number, 404, "no such job")
            return
        if waiting.spec is None:
            self.desk.refuse(waiting, 400, waiting.malformed)
            return
        verdict = self._judge(waiting.spec)
        if verdict is not None:
            turn = self.wait_of(waiting.spec) if self.wait_of is not None and verdict[0] == 429 else None
            after = turn or self._retry_after(waiting.spec.id, RETRY_AFTER.get(verdict[0]))
            self.desk.refuse(waiting, verdict[0], verdict[1], after)
        else:
            waiting.tries += 1
            self._changes.append(waiting)
