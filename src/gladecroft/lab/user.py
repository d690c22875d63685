"""A simulated user who submits, polls and cancels one job."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from gladecroft.coordination.events import Reply, RequestKind
from gladecroft.lab.late_copies import CopiedRequests
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import ControllerEndpoint, Simulation, encode_json, seconds

Json = dict[str, Any]


class SimulatedUser:
    """Submits one job with retries, polls it once it is accepted, and cancels it on demand.

    Every response that arrives before the timeout of its request is passed to the oracle.
    """

    def __init__(self, sim: Simulation, controllers: Sequence[ControllerEndpoint], oracle: Oracle, spec: Json) -> None:
        self.sim = sim
        self.controllers = controllers
        self.oracle = oracle
        self.spec = spec
        self.id: str = spec["nameId"]
        self.accepted = False
        self.responses: list[tuple[float, str, int, str]] = []
        self.last_reason = ""
        self.cancelling = False

    def _request(
        self,
        kind: RequestKind,
        body: bytes,
        timeout_s: float,
        on_reply: Callable[[Reply | None], None],
        controller: ControllerEndpoint | None = None,
    ) -> None:
        """Send a request to the given controller, or to a random one that is up.

        ``on_reply`` is called with None on a timeout, or if no controller is up.
        """
        available = [each for each in self.controllers if each.alive]
        if not available:
            self.sim.call_later(seconds(0.5), lambda: on_reply(None))
            return
        target = controller or self.sim.rng.choice(available)
        call_state = {"open": True}
        sent_at = self.sim.elapsed()

        def complete(reply: Reply | None) -> None:
            if call_state["open"]:
                call_state["open"] = False
                if reply is not None:
                    text = reply.body.decode()
                    self.responses.append((self.sim.elapsed(), kind.value, reply.status, text))
                    self.oracle.response_received(self.id, kind, reply.status, reply.body, sent_at)
                on_reply(reply)

        self.sim.call_later(seconds(timeout_s), lambda: complete(None))
        name = target.name

        def deliver(on_reply: Callable[[Reply], None]) -> None:
            self.sim.send("user", name, lambda: target.handle_request(kind, body, self.id, on_reply))

        def send_back(reply: Reply) -> None:
            self.sim.send(name, "user", lambda: complete(reply))
            if kind is not RequestKind.POLL:
                self.sim.late_copies.request_answered(
                    CopiedRequests.USERS, reply.status, lambda: deliver(lambda reply: None)
                )

        deliver(send_back)

    def submit(self, retry_until: float | None = None) -> None:
        """Submit the job, with retries for 60 s until it is accepted or rejected; poll it once it is accepted."""
        retry_until = self.sim.elapsed() + 60 if retry_until is None else retry_until

        def on_reply(reply: Reply | None) -> None:
            if reply is not None and reply.status in (200, 201):
                self.accepted = True
                self.sim.call_later(seconds(self.sim.rng.uniform(1, 5)), self.poll)
            elif reply is not None and reply.status in (400, 422):
                return
            elif self.sim.elapsed() < retry_until:
                wait_s = max(1, (reply.retry_after_s or 1) if reply is not None else 1)
                self.sim.call_later(seconds(wait_s), lambda: self.submit(retry_until))

        self._request(RequestKind.SUBMIT, self.submission_body(), 5, on_reply)

    def submission_body(self) -> bytes:
        """Return the body of the submission, without the fields that only the simulated workers read."""
        return encode_json({key: value for key, value in self.spec.items() if key not in ("runS", "broken")})

    def send_request(self, kind: RequestKind, controller: ControllerEndpoint) -> None:
        """Send one request to one controller without retries, independently of the user's other requests."""
        body = self.submission_body() if kind is RequestKind.SUBMIT else b""
        self._request(kind, body, 2 if kind is RequestKind.POLL else 5, lambda reply: None, controller)

    def poll(self) -> None:
        """Poll until the end of the simulation, each time 4 to 6 s after the previous response or timeout."""
        self.oracle.request_sent(self.id)

        def on_reply(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                status = msgspec.json.decode(reply.body)
                self.last_reason = status.get("reason", self.last_reason)
            self.sim.call_later(seconds(self.sim.rng.uniform(4, 6)), self.poll)

        self._request(RequestKind.POLL, b"", 2, on_reply)

    def cancel(self) -> None:
        """Cancel the job, with retries until a response reports its state (status 200) or that it is unknown (404)."""
        self.oracle.cancel_sent(self.id)

        def on_reply(reply: Reply | None) -> None:
            if reply is None or reply.status not in (200, 404):
                self.sim.call_later(seconds(1), self.cancel)

        self._request(RequestKind.CANCEL, b"", 5, on_reply)
