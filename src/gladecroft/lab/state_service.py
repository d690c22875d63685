"""The state service as PROTOCOL describes it, in virtual time."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gladecroft.lab.simulation import Replier, StateLike, World, raw, seconds

Json = dict[str, Any]


#: How long a request usually takes.
USUAL = seconds(0.003)


class StateService(StateLike):
    def __init__(self, world: World, rps: float, write_rps: float) -> None:
        self.world = world
        self.revision = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[str, Any, int]] = []
        self.leases: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_lease = 1
        self.outage = False
        self.refused: set[str] = set()
        self.watches: list[tuple[str, int, Replier]] = []
        self.lose_answers = 0.0
        self.late = 0.0
        #: What part of the transactions that change something gets no answer and is carried out 2 to 12 s later, after
        #: newer ones; and how long every answer takes.
        self.late_writes = 0.0
        #: What part of them is carried out at once, and only the answer is lost.
        self.lose_writes = 0.0
        self.delay = USUAL
        #: How much later every watch brings what has changed.
        self.watch_delay = seconds(0.0)
        self.kept = 10_000
        self.first = 1
        self._rate = [rps, rps, 0.0]
        self._writes = [write_rps, write_rps, 0.0]
        self.refusals = 0
        self._expire()

    def _expire(self) -> None:
        if not self.outage:
            for lease, (_, ends) in list(self.leases.items()):
                if self.world.now >= ends:
                    self._end(lease)
        self.world.later(seconds(0.05), self._expire)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        gone = [key for key, entry in self.keys.items() if entry[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((key, None, self.revision))
            self._wake()

    def set_outage(self, on: bool) -> None:
        self.outage = on
        if not on:
            for lease, (ttl, _) in self.leases.items():
                self.leases[lease] = (ttl, self.world.now + ttl)
            self._wake()

    def accept(self, node: str) -> None:
        self.refused.discard(node)
        self._wake()

    def be_late(self, late: float, lose: float) -> None:
        self.late, self.lose_answers = late, lose

    def _take(self, bucket: list[float], amount: float) -> bool:
        now = self.world.elapsed()
        bucket[1] = min(bucket[0], bucket[1] + bucket[0] * (now - bucket[2]))
        bucket[2] = now
        if bucket[1] < amount:
            self.refusals += 1
            return False
        bucket[1] -= amount
        return True

    def serve(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        if self.outage or node in self.refused:
            reply(503, b"{}")
            return
        if not self._take(self._rate, 1):
            reply(429, b"{}")
            return
        random = self.world.random
        if random.random() < self.late:
            # The answer is lost and the request is executed later.
            self.world.later(seconds(random.uniform(0.5, 20)), lambda: self._do(method, path, body, lambda s, b: None))
            return
        if self.late_writes and b'"apply"' in body and random.random() < self.late_writes:
            self.world.later(seconds(random.uniform(2, 12)), lambda: self._do(method, path, body, lambda s, b: None))
            return
        lost = self.lose_writes if b'"apply"' in body else 0.0
        answer: Replier = (lambda s, b: None) if random.random() < max(self.lose_answers, lost) else reply
        if self.delay <= USUAL:
            self.world.later(self.delay, lambda: self._do(method, path, body, answer))
            return
        # Part of the time passes before it is carried out and part after it: an answer may be as old as that.
        after = self.delay * random.random()

        def held(*got: Any) -> None:
            self.world.later(after, lambda: answer(*got))

        self.world.later(self.delay - after, lambda: self._do(method, path, body, held))

    def _do(self, method: str, path: str, body: bytes, reply: Replier) -> None:
        url = urlsplit(path)
        if self.outage:
            reply(503, b"{}")
        elif url.path == "/commit":
            self._commit(msgspec.json.decode(body), reply)
        elif url.path == "/grants":
            ttl = seconds(msgspec.json.decode(body)["ttlMs"] / 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, self.world.now + ttl)
            reply(200, raw({"tenure": lease}))
        elif url.path.endswith("/renew"):
            lease = int(url.path.split("/")[2])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, self.world.now + ttl)
                reply(200, b"{}")
            else:
                reply(404, b"{}")
        elif url.path == "/store":
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            names = sorted(key for key in self.keys if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = names[: int(query["page"])]
            pairs = [{"key": key, "data": self.keys[key][0], "stamp": self.keys[key][1]} for key in page]
            reply(200, raw({"pairs": pairs, "truncated": len(page) < len(names), "ledger": self.revision}))
        elif url.path.startswith("/store/"):
            key = url.path[len("/store/") :]
            if key in self.keys:
                value, stamp, lease_of = self.keys[key]
                reply(200, raw({"key": key, "data": value, "stamp": stamp, "tenure": lease_of}))
            else:
                reply(404, raw({"ledger": self.revision}))
        else:
            reply(400, b"{}")

    def _commit(self, txn: Json, reply: Replier) -> None:
        ops = txn.get("apply") or []
        if ops and not self._take(self._writes, len(ops)):
            reply(429, b"{}")
            return
        for op in ops:
            if "write" in op and op.get("tenure") is not None and op["tenure"] not in self.leases:
                reply(400, raw({"error": "no such lease"}))
                return
        failed = [
            condition["key"] for condition in txn["if"]
            if (self.keys[condition["key"]][1] if condition["key"] in self.keys else 0) != condition["stamp"]
        ]  # fmt: skip
        if failed:
            reply(409, raw({"failed": failed, "ledger": self.revision}))
            return
        if ops:
            self.revision += 1
            for op in ops:
                if "write" in op:
                    self.keys[op["write"]] = (op["data"], self.revision, op.get("tenure"))
                    self.log.append((op["write"], op["data"], self.revision))
                else:
                    self.keys.pop(op["drop"], None)
                    self.log.append((op["drop"], None, self.revision))
            while len(self.log) > self.kept:
                self.first = self.log.pop(0)[2] + 1
            self._wake()
        reply(200, raw({"ledger": self.revision}))

    def watch(self, node: str, after: int, wait: timedelta, reply: Replier) -> None:
        if after + 1 < self.first:
            reply(410, b"{}")
            return
        entry = (node, after, reply)
        self.watches.append(entry)

        def end() -> None:
            if entry in self.watches and not self.outage and node not in self.refused:
                self.watches.remove(entry)
                self._answer(entry)

        self.world.later(wait, end)
        self._wake()

    def _answer(self, entry: tuple[str, int, Replier]) -> None:
        events = [
            {"drop": key, "stamp": stamp} if value is None else {"write": key, "data": value, "stamp": stamp}
            for key, value, stamp in self.log
            if stamp > entry[1]
        ]
        reply, found = entry[2], raw({"ledger": self.revision, "log": events})
        if self.watch_delay:
            self.world.later(self.watch_delay, lambda: reply(200, found))
        else:
            reply(200, found)

    def _wake(self) -> None:
        if self.outage:
            return
        for entry in list(self.watches):
            if entry[0] not in self.refused and self.log and self.log[-1][2] > entry[1]:
                self.watches.remove(entry)
                self._answer(entry)
