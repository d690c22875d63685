"""A user who submits, polls and cancels one job."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from gladecroft.coordination.events import Reply, RequestKind
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import Front, World, raw, seconds

Json = dict[str, Any]


class User:
    """Submits one job, retries, polls it to its end, and cancels it if told to."""

    def __init__(self, world: World, controllers: Sequence[Front], oracle: Oracle, spec: Json) -> None:
        self.world = world
        self.controllers = controllers
        self.oracle = oracle
        self.spec = spec
        self.id: str = spec["nameId"]
        self.accepted = False
        self.answers: list[tuple[float, str, int, str]] = []
        self.last_reason = ""
        self.cancelling = False

    def _ask(
        self,
        verb: RequestKind,
        body: bytes,
        limit: float,
        then: Callable[[Reply | None], None],
        to: Front | None = None,
    ) -> None:
        """Ask one of the controllers that are up, or the one named."""
        live = [controller for controller in self.controllers if controller.alive]
        if not live:
            self.world.later(seconds(0.5), lambda: then(None))
            return
        controller = to or self.world.random.choice(live)
        state = {"open": True}
        sent = self.world.elapsed()

        def answer(reply: Reply | None) -> None:
            if state["open"]:
                state["open"] = False
                if reply is not None:
                    text = reply.body.decode()
                    self.answers.append((self.world.elapsed(), verb.value, reply.status, text))
                    self.oracle.answered(self.id, verb, reply.status, reply.body, sent)
                then(reply)

        self.world.later(seconds(limit), lambda: answer(None))
        asked = controller.name

        def arrive() -> None:
            controller.ask(verb, body, self.id, lambda got: self.world.send(asked, "user", lambda: answer(got)))

        self.world.send("user", asked, arrive)

    def submit(self, until: float | None = None) -> None:
        until = self.world.elapsed() + 60 if until is None else until

        def then(reply: Reply | None) -> None:
            if reply is not None and reply.status in (200, 201):
                self.accepted = True
                self.world.later(seconds(self.world.random.uniform(1, 5)), self.poll)
            elif reply is not None and reply.status in (400, 422):
                return
            elif self.world.elapsed() < until:
                wait = max(1, (reply.retry_after or 1) if reply is not None else 1)
                self.world.later(seconds(wait), lambda: self.submit(until))

        self._ask(RequestKind.SUBMIT, self.body(), 5, then)

    def body(self) -> bytes:
        """The submission as it is sent; how long the job runs is between the user and its workers."""
        return raw({key: value for key, value in self.spec.items() if key not in ("runS", "broken")})

    def look(self, verb: RequestKind, to: Front) -> None:
        """One more question to one controller, whatever else is asked; the oracle sees the answer."""
        body = self.body() if verb is RequestKind.SUBMIT else b""
        self._ask(verb, body, 2 if verb is RequestKind.POLL else 5, lambda reply: None, to)

    def poll(self) -> None:
        self.oracle.asks(self.id)

        def then(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                message = msgspec.json.decode(reply.body)
                self.last_reason = message.get("reason", self.last_reason)
            self.world.later(seconds(self.world.random.uniform(4, 6)), self.poll)

        self._ask(RequestKind.POLL, b"", 2, then)

    def cancel(self) -> None:
        self.oracle.cancel_asked(self.id)

        def then(reply: Reply | None) -> None:
            if reply is None or reply.status not in (200, 404):
                self.world.later(seconds(1), self.cancel)

        self._ask(RequestKind.CANCEL, b"", 5, then)
