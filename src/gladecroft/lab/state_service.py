"""A simulated state service, as PROTOCOL describes it: keys with revisions, conditional transactions, leases, watches
and rate limits. Scenarios can inject faults.

Names on the wire: ledger is the revision of the service, stamp the revision of a key, tenure a lease, data a value and
drop the deletion of a key.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gladecroft.lab.simulation import ReplyCallback, Simulation, StateServer, encode_json, seconds

Json = dict[str, Any]


#: Time that a request takes unless a scenario sets another one.
DEFAULT_LATENCY = seconds(0.003)


class SimulatedStateService(StateServer):
    """The entries by key, the log of their changes, the leases, the open watches and the injected faults."""

    def __init__(self, sim: Simulation, rps: float, write_rps: float) -> None:
        self.sim = sim
        self.revision = 1
        #: Value, revision and lease id (None: no lease) of each key.
        self.entries: dict[str, tuple[Any, int, int | None]] = {}
        #: Key, value (None if the key was deleted) and revision of each change, oldest first.
        self.log: list[tuple[str, Any, int]] = []
        #: TTL and time of expiry of each lease, by lease id.
        self.leases: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_lease_id = 1
        self.outage = False
        self.rejected_controllers: set[str] = set()
        self.open_watches: list[tuple[str, int, ReplyCallback]] = []
        #: Probability that a request is executed immediately and its response is lost.
        self.response_loss_rate = 0.0
        #: Probability that a request gets no response and is executed 0.5 to 20 s later.
        self.delayed_rate = 0.0
        #: Probability that a transaction with writes gets no response and is executed 2 to 12 s later, after newer
        #: transactions.
        self.delayed_write_rate = 0.0
        #: Probability that a transaction with writes is executed immediately and its response is lost.
        self.write_response_loss_rate = 0.0
        self.latency = DEFAULT_LATENCY
        #: Additional delay of every watch response with status 200.
        self.watch_delay = seconds(0.0)
        self.max_log_entries = 10_000
        self.first_logged_revision = 1
        #: Token buckets: rate, available tokens and time of the last refill.
        self._request_bucket = [rps, rps, 0.0]
        self._write_bucket = [write_rps, write_rps, 0.0]
        self.throttled_count = 0
        self._expire_leases()

    def _expire_leases(self) -> None:
        if not self.outage:
            for lease_id, (_, expires_at) in list(self.leases.items()):
                if self.sim.now >= expires_at:
                    self._end_lease(lease_id)
        self.sim.call_later(seconds(0.05), self._expire_leases)

    def _end_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        expired = [key for key, entry in self.entries.items() if entry[2] == lease_id]
        if expired:
            self.revision += 1
            for key in expired:
                del self.entries[key]
                self.log.append((key, None, self.revision))
            self._notify_watches()

    def set_outage(self, active: bool) -> None:
        """Begin or end an outage. No lease expires during an outage, and every lease has its full TTL after it."""
        self.outage = active
        if not active:
            for lease_id, (ttl, _) in self.leases.items():
                self.leases[lease_id] = (ttl, self.sim.now + ttl)
            self._notify_watches()

    def stop_rejecting(self, controller: str) -> None:
        """Serve a controller again whose requests were rejected."""
        self.rejected_controllers.discard(controller)
        self._notify_watches()

    def set_request_faults(self, delayed_rate: float, response_loss_rate: float) -> None:
        """Set the probabilities that a request is delayed and that its response is lost."""
        self.delayed_rate, self.response_loss_rate = delayed_rate, response_loss_rate

    def _take_tokens(self, bucket: list[float], amount: float) -> bool:
        """Take tokens from a bucket and return whether there were enough."""
        now = self.sim.elapsed()
        bucket[1] = min(bucket[0], bucket[1] + bucket[0] * (now - bucket[2]))
        bucket[2] = now
        if bucket[1] < amount:
            self.throttled_count += 1
            return False
        bucket[1] -= amount
        return True

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        """Handle any request but a watch, subject to the injected faults."""
        if self.outage or node in self.rejected_controllers:
            reply(503, b"{}")
            return
        if not self._take_tokens(self._request_bucket, 1):
            reply(429, b"{}")
            return
        rng = self.sim.rng
        if rng.random() < self.delayed_rate:
            self.sim.call_later(
                seconds(rng.uniform(0.5, 20)), lambda: self._execute(method, path, body, lambda s, b: None)
            )
            return
        if self.delayed_write_rate and b'"apply"' in body and rng.random() < self.delayed_write_rate:
            self.sim.call_later(
                seconds(rng.uniform(2, 12)), lambda: self._execute(method, path, body, lambda s, b: None)
            )
            return
        loss_rate = self.write_response_loss_rate if b'"apply"' in body else 0.0
        responder: ReplyCallback = (
            (lambda s, b: None) if rng.random() < max(self.response_loss_rate, loss_rate) else reply
        )
        if self.latency <= DEFAULT_LATENCY:
            self.sim.call_later(self.latency, lambda: self._execute(method, path, body, responder))
            return
        # Part of the latency passes after the execution, so the state in the response may be outdated when it arrives.
        return_delay = self.latency * rng.random()

        def respond_late(*response: Any) -> None:
            self.sim.call_later(return_delay, lambda: responder(*response))

        self.sim.call_later(self.latency - return_delay, lambda: self._execute(method, path, body, respond_late))

    def _execute(self, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        url = urlsplit(path)
        if self.outage:
            reply(503, b"{}")
        elif url.path == "/commit":
            self._commit(msgspec.json.decode(body), reply)
        elif url.path == "/grants":
            ttl = seconds(msgspec.json.decode(body)["ttlMs"] / 1000)
            lease_id, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
            self.leases[lease_id] = (ttl, self.sim.now + ttl)
            reply(200, encode_json({"tenure": lease_id}))
        elif url.path.endswith("/renew"):
            lease_id = int(url.path.split("/")[2])
            if lease_id in self.leases:
                ttl = self.leases[lease_id][0]
                self.leases[lease_id] = (ttl, self.sim.now + ttl)
                reply(200, b"{}")
            else:
                reply(404, b"{}")
        elif url.path == "/store":
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            matching = sorted(
                key for key in self.entries if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = matching[: int(query["page"])]
            pairs = [{"key": key, "data": self.entries[key][0], "stamp": self.entries[key][1]} for key in page]
            reply(200, encode_json({"pairs": pairs, "truncated": len(page) < len(matching), "ledger": self.revision}))
        elif url.path.startswith("/store/"):
            key = url.path[len("/store/") :]
            if key in self.entries:
                value, revision, key_lease_id = self.entries[key]
                reply(200, encode_json({"key": key, "data": value, "stamp": revision, "tenure": key_lease_id}))
            else:
                reply(404, encode_json({"ledger": self.revision}))
        else:
            reply(400, b"{}")

    def _commit(self, txn: Json, reply: ReplyCallback) -> None:
        ops = txn.get("apply") or []
        if ops and not self._take_tokens(self._write_bucket, len(ops)):
            reply(429, b"{}")
            return
        for op in ops:
            if "write" in op and op.get("tenure") is not None and op["tenure"] not in self.leases:
                reply(400, encode_json({"error": "no such lease"}))
                return
        failed_keys = [
            condition["key"] for condition in txn["if"]
            if (self.entries[condition["key"]][1] if condition["key"] in self.entries else 0) != condition["stamp"]
        ]  # fmt: skip
        if failed_keys:
            reply(409, encode_json({"failed": failed_keys, "ledger": self.revision}))
            return
        if ops:
            self.revision += 1
            for op in ops:
                if "write" in op:
                    self.entries[op["write"]] = (op["data"], self.revision, op.get("tenure"))
                    self.log.append((op["write"], op["data"], self.revision))
                else:
                    self.entries.pop(op["drop"], None)
                    self.log.append((op["drop"], None, self.revision))
            self._notify_watches()
            while len(self.log) > self.max_log_entries:
                self.first_logged_revision = self.log.pop(0)[2] + 1
        reply(200, encode_json({"ledger": self.revision}))

    def watch(self, node: str, after: int, timeout: timedelta, reply: ReplyCallback) -> None:
        """Reply with the changes after a revision as soon as there are any, or without changes after the timeout.

        If the log no longer holds all of these changes, reply with status 410.
        """
        if after + 1 < self.first_logged_revision:
            reply(410, b"{}")
            return
        watch = (node, after, reply)
        self.open_watches.append(watch)

        def end() -> None:
            if watch in self.open_watches and not self.outage and node not in self.rejected_controllers:
                self.open_watches.remove(watch)
                self._complete_watch(watch)

        self.sim.call_later(timeout, end)
        self._notify_watches()

    def _complete_watch(self, watch: tuple[str, int, ReplyCallback]) -> None:
        _, after, reply = watch
        if after + 1 < self.first_logged_revision:
            reply(410, b"{}")
            return
        events = [
            {"drop": key, "stamp": revision} if value is None else {"write": key, "data": value, "stamp": revision}
            for key, value, revision in self.log
            if revision > after
        ]
        changes = encode_json({"ledger": self.revision, "log": events})
        if self.watch_delay:
            self.sim.call_later(self.watch_delay, lambda: reply(200, changes))
        else:
            reply(200, changes)

    def _notify_watches(self) -> None:
        if self.outage:
            return
        for watch in list(self.open_watches):
            if watch[0] not in self.rejected_controllers and self.log and self.log[-1][2] > watch[1]:
                self.open_watches.remove(watch)
                self._complete_watch(watch)
