"""Stand-ins for the cases 4 to 8: state service, cloud, workers, users, and links that can be cut.

They follow PROTOCOL and use nothing but the standard library. The controllers are the project's own program, started
with the `run` command of the deploy file, one process each. Everything listens on loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import select
import shlex
import shutil
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLOSED = object()  # a handler returns it to close the connection without an answer


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# HTTP ------------------------------------------------------------------------------------------------------------


async def serve_http(handler, port: int = 0) -> asyncio.Server:
    async def serve(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (head := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = head.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await handler(method, target, body)
                if answer is CLOSED:
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)  # fmt: skip
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, HOST, port, limit=1 << 20)


async def http(port: int, method: str, path: str, value=None, timeout: float = 5.0):
    """Status and body of one request on a connection of its own; status 0 without a response in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
            data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode())  # fmt: skip
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            status = int(lines[0].split(" ")[1])
            headers = dict(line.lower().split(":", 1) for line in lines[1:] if ":" in line)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return status, (json.loads(body) if body else None)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Link:
    """A TCP proxy. While it is cut, packets are held back and then delivered in order; connection attempts hang."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.sock.listen(4)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.passing = asyncio.Event()
        self.passing.set()
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        self.acceptor = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.sock)
            self._start(conn)

    def _start(self, conn: socket.socket) -> None:
        task = asyncio.create_task(self._serve(conn))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, conn: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=conn)
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))

    async def _pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
            await self.passing.wait()
        except OSError:
            pass
        finally:
            writer.close()

    def cut(self) -> None:
        self.passing.clear()
        self.acceptor.cancel()
        # With the queue of the listening socket full, the system drops further connection attempts: they hang.
        while True:
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            if not select.select([], [filler], [], 0.02)[1]:
                filler.close()
                return
            self.fillers.append(filler)

    def heal(self) -> None:
        own = {filler.getsockname() for filler in self.fillers}
        with contextlib.suppress(BlockingIOError):
            while True:
                conn, peer = self.sock.accept()
                if peer in own:
                    conn.close()
                else:
                    conn.setblocking(False)
                    self._start(conn)
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.passing.set()
        self.acceptor = asyncio.create_task(self._accept())


# State service -----------------------------------------------------------------------------------------------------


class StateService:
    def __init__(self, limits: dict) -> None:
        self.limits = limits
        self.ledger = 1
        self.entries: dict[str, tuple] = {}  # key: (data, stamp, tenure)
        self.log: list[tuple] = []  # (stamp, key, data or None)
        self.leases: dict[int, list] = {}  # tenure: [ttl, end]
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.buckets = {"rps": [limits["rps"], time.monotonic()], "write_rps": [limits["write_rps"], time.monotonic()]}
        self.rejected: list[str] = []  # answers with status 400

    def _take(self, name: str, amount: int) -> bool:
        bucket, rate, now = self.buckets[name], self.limits[name], time.monotonic()
        bucket[0], bucket[1] = min(rate, bucket[0] + rate * (now - bucket[1])), now
        if bucket[0] < amount:
            return False
        bucket[0] -= amount
        return True

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if now > end:
                    await self._end(lease)

    async def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [key for key, entry in self.entries.items() if entry[2] == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.entries[key]
                self.log.append((self.ledger, key, None))
            await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method: str, target: str, body: bytes):
        if not self._take("rps", 1):
            return 429, {}
        # "Responses usually come in under 10 ms and occasionally take a few hundred."
        await asyncio.sleep(random.uniform(0.1, 0.4) if random.random() < 0.04 else random.uniform(0.001, 0.008))
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if len(body) > 65536:
            self.rejected.append(f"body of {len(body)} bytes")
            return 400, {"error": "too large"}
        if url.path == "/commit":
            return await self._commit(json.loads(body))
        if url.path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttlMs"] / 1000
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {"tenure": lease}
        if url.path.startswith("/grants/"):
            lease = int(url.path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self._end(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if url.path == "/watch":
            return await self._watch(query)
        if url.path == "/store":
            keys = sorted(k for k in self.entries if k.startswith(query["prefix"]) and k > query.get("after", ""))
            pairs, size = [], 0
            for key in keys[: min(1000, int(query["page"]))]:
                pair = {"key": key, "data": self.entries[key][0], "stamp": self.entries[key][1]}
                size += len(json.dumps(pair))
                if size > 512 * 1024 and pairs:
                    break
                pairs.append(pair)
            return 200, {"pairs": pairs, "truncated": len(pairs) < len(keys), "ledger": self.ledger}
        if url.path.startswith("/store/"):
            key = url.path[len("/store/") :]
            if key not in self.entries:
                return 404, {"ledger": self.ledger}
            data, stamp, tenure = self.entries[key]
            return 200, {"key": key, "data": data, "stamp": stamp, "tenure": tenure}
        return 400, {}

    async def _commit(self, txn: dict):
        ops, conditions = txn.get("apply") or [], txn.get("if") or []
        sizes = [len(json.dumps(op["data"], separators=(",", ":"))) for op in ops if "write" in op]
        if (len(ops) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]
                or any(size > 1024 * self.limits["value_kb"] for size in sizes)):  # fmt: skip
            self.rejected.append(f"{len(ops)} changes, {len(conditions)} conditions, values {sorted(sizes)[-1:]}")
            return 400, {"error": "over a limit"}
        if ops and not self._take("write_rps", len(ops)):
            return 429, {}
        if any(op.get("tenure") is not None and op["tenure"] not in self.leases for op in ops if "write" in op):
            return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions if (self.entries[c["key"]][1] if c["key"] in self.entries else 0)
                  != c["stamp"]]  # fmt: skip
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if ops:
            self.ledger += 1
            for op in ops:
                if "write" in op:
                    self.entries[op["write"]] = (op["data"], self.ledger, op.get("tenure"))
                    self.log.append((self.ledger, op["write"], op["data"]))
                else:
                    self.entries.pop(op["drop"], None)
                    self.log.append((self.ledger, op["drop"], None))
            del self.log[:-10000]
            await self._notify()
        return 200, {"ledger": self.ledger}

    async def _watch(self, query: dict):
        after = int(query["after"])
        if len(self.log) == 10000 and self.log[0][0] > after + 1:
            return 410, {}

        def news() -> bool:
            return bool(self.log) and self.log[-1][0] > after

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("blockMs", "0")) / 1000):
                async with self.changed:
                    await self.changed.wait_for(news)
        return 200, {"ledger": self.ledger, "log": [
            {"drop": key, "stamp": stamp} if data is None else {"write": key, "data": data, "stamp": stamp}
            for stamp, key, data in self.log if stamp > after
        ]}  # fmt: skip


# Cloud and workers -------------------------------------------------------------------------------------------------


class Worker:
    """One machine and its agent."""

    def __init__(self, site: Site, name: str, flavor: dict, zone: str, spot: bool) -> None:
        self.site, self.name, self.flavor, self.zone, self.spot = site, name, flavor, zone, spot
        self.port = free_port()
        self.up = self.cut = False
        self.session, self.tally, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}  # (portion, try): status, cause, saved
        self.images: set[str] = set()
        self.node = random.choice(list(site.nodes))
        self.wake = asyncio.Event()
        self.jobs: list[asyncio.Task] = []
        self.rented_at = time.monotonic()
        self.answered = asyncio.get_running_loop().create_future()  # the time of the first report answered with 200

    async def boot(self, after: float) -> None:
        await asyncio.sleep(after)
        self.up, self.lease_from = True, time.monotonic()
        self.server = await serve_http(self.handle, self.port)
        self.jobs = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._lease_loop())]
        self.site.note(f"machine {self.name} ({self.flavor['label']}, {self.zone}) is up")

    def stop(self) -> None:
        self.up = False
        for key in list(self.tasks):
            self._end(key, "gone", drop=True)
        for job in self.jobs:
            job.cancel()
        if hasattr(self, "server"):
            self.server.close()

    def on_machine(self) -> list[str]:
        """Tasks that are on the machine, waiting for their image included."""
        return [portion for (portion, _), task in self.tasks.items() if task["status"] != "exited"]

    def used(self) -> tuple[float, float]:
        specs = [self.site.jobs[portion.rpartition("/")[0]] for portion in self.on_machine()]
        return sum(spec["cores"] for spec in specs), sum(spec["memoryGb"] for spec in specs)

    def _report(self) -> dict:
        self.tally += 1
        return {"hearth": self.name, "endpoint": f"{HOST}:{self.port}", "flavor": self.flavor["label"],
                "district": self.zone, "leftovers": self.spot, "shift": self.session, "tally": self.tally,
                "baton": self.token, "warningS": None,
                "portions": [{"portion": portion, "try": attempt, "status": task["status"],
                              **({"cause": task["cause"], "saved": task["saved"]} if task["cause"] else {})}
                             for (portion, attempt), task in self.tasks.items()]}  # fmt: skip

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.site.workers["lease_s"]:
                for key in list(self.tasks):
                    self._end(key, "lease over", drop=True)
                self.session, self.lease_from = self.session + 1, time.monotonic()
                self.site.note(f"machine {self.name}: lease over, session {self.session}")
                self.wake.set()

    async def _report_loop(self) -> None:
        while True:
            sent_at, session = time.monotonic(), self.session
            self.wake.clear()
            pause = self.site.workers["report_s"] * random.uniform(0.75, 1.25)
            if self.cut:
                self._report()
                await asyncio.sleep(4)
                status, answer = 0, None
            else:
                status, answer = await http(self.site.nodes[self.node].port, "POST", "/agent/beat", self._report(), 4)
                if self.cut:
                    status, answer = 0, None
            self.site.count(f"reports of {self.name} to {self.node} answered {status}")
            if status == 200 and not self.answered.done():
                self.answered.set_result(self.site.now())
            if status == 200:
                if session == self.session and answer.get("baton", -1) >= self.token:
                    self._adopt(answer["baton"])
                    self.lease_from = max(self.lease_from, sent_at)
                    for order in answer["orders"]:
                        self._execute(order)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, sent_at + pause - time.monotonic())):
                        await self.wake.wait()
                await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
                continue
            steward = answer.get("steward") if status == 421 and answer else None
            if steward in self.site.nodes and steward != self.node:
                self.node = steward
                await asyncio.sleep(random.uniform(0, 0.4))
            else:
                names = list(self.site.nodes)
                self.node = names[(names.index(self.node) + 1) % len(names)]
                await asyncio.sleep(1)

    def _adopt(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.wake.set()

    async def handle(self, method: str, target: str, body: bytes):
        if self.cut:
            await asyncio.sleep(3600)
        if method == "GET":
            return 200, self._report()
        message = json.loads(body)
        if "baton" not in message or "shift" not in message:
            return 400, {}
        if message["baton"] < self.token or message["shift"] != self.session:
            return 409, self._report()
        self._adopt(message["baton"])
        for order in message["orders"]:
            self._execute(order)
        return 200, self._report()

    def _execute(self, order: dict) -> None:
        portion, attempt, verb = order["portion"], order["try"], order["verb"]
        key, task = (portion, attempt), self.tasks.get((portion, attempt))
        if verb == "start" and task is None:
            self.wake.set()
            job_id, _, number = portion.rpartition("/")
            spec = self.site.jobs.get(job_id)
            cores, memory = self.used()
            refused = (
                "no_such" if spec is None or int(number) >= spec["portions"]
                else "busy" if any(other == portion for other, _ in self.tasks)
                else "full" if cores + spec["cores"] > self.flavor["cores"] + 1e-9
                or memory + spec["memoryGb"] > self.flavor["memoryGb"] + 1e-9
                else None
            )  # fmt: skip
            if refused:
                self.tasks[key] = {"status": "exited", "cause": refused, "saved": False}
                self.site.note(f"{portion}#{attempt} refused on {self.name}: {refused}")
                return
            self.tasks[key] = {"status": "fetching", "cause": None, "saved": False}
            asyncio.create_task(self._run(key, self.tasks[key], spec))
        elif verb == "halt" and task is not None and task["status"] != "exited":
            self._end(key, "halted")
        elif verb == "reap" and task is not None and task["status"] == "exited":
            del self.tasks[key]
            self.wake.set()

    async def _run(self, key, task: dict, spec: dict) -> None:
        if spec["recipe"] not in self.images:
            await asyncio.sleep(spec["imageGb"] / self.flavor["pullGbPerS"])
            self.images.add(spec["recipe"])
        if self.tasks.get(key) is not task or task["status"] != "fetching":
            return
        task["status"] = "running"
        self.site.started(key, self)
        self.wake.set()
        if spec["shape"] == "batch":
            await asyncio.sleep(self.site.run_s[spec["nameId"]])
            if self.tasks.get(key) is task and task["status"] == "running":
                self._end(key, "done")

    def _end(self, key, cause: str, drop: bool = False) -> None:
        task = self.tasks[key]
        if task["status"] != "exited":
            self.site.ended(key, self, cause)
        if drop:
            del self.tasks[key]
        else:
            task.update(status="exited", cause=cause)
        self.wake.set()


class Cloud:
    def __init__(self, site: Site, flavors: list[dict], room: dict, lag: float) -> None:
        self.site, self.lag, self.room = site, lag, room
        self.flavors = {flavor["label"]: flavor for flavor in flavors}
        self.machines: dict[str, Worker] = {}
        self.bookings: dict[str, list[str]] = {}
        self.lists: list[tuple[float, list]] = []
        self.next_name = 1
        self.boot_factor = 1.0

    def rent(self, label: str, zone: str, spot: bool, boot: float | None = None) -> str:
        name = f"m-{self.next_name:06d}"
        self.next_name += 1
        worker = self.machines[name] = Worker(self.site, name, self.flavors[label], zone, spot)
        usual = self.flavors[label]["bootS"] * random.uniform(0.6, 1.5)
        asyncio.create_task(worker.boot(usual if boot is None else boot))
        return name

    async def keep_lists(self) -> None:
        while True:
            now = time.monotonic()
            self.lists.append((now, [
                {"nameId": name, "endpoint": f"{HOST}:{worker.port}", "flavor": worker.flavor["label"],
                 "district": worker.zone, "leftovers": worker.spot,
                 "status": "running" if worker.up else "starting", "ageS": now - worker.rented_at}
                for name, worker in sorted(self.machines.items())]))  # fmt: skip
            del self.lists[:-200]
            await asyncio.sleep(0.2)

    async def handle(self, method: str, target: str, body: bytes):
        await asyncio.sleep(random.uniform(0.06, 0.1))
        url = urlsplit(target)
        if url.path == "/machine_types":
            return 200, {"flavors": list(self.flavors.values())}
        if url.path == "/hosts/return":
            for name in json.loads(body)["hearths"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    worker.stop()
                    self.room[worker.flavor["label"], worker.zone, worker.spot] += 1
                    self.site.note(f"machine {name} is returned")
            return 200, {}
        if method == "POST":
            request = json.loads(body)
            if request["booking"] not in self.bookings:
                pool = (request["flavor"], request["district"], request["leftovers"])
                number = min(request["number"], 50, self.room.get(pool, 0))
                if number == 0:
                    return 503, {"error": "no capacity"}
                self.room[pool] -= number
                self.bookings[request["booking"]] = [self.rent(*pool) for _ in range(number)]
                self.site.note(f"rented: {self.bookings[request['booking']]}")
            return 200, {"hearths": self.bookings[request["booking"]]}
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        as_of = time.monotonic() - self.lag * random.uniform(0.7, 1.3)
        rows = next((rows for at, rows in reversed(self.lists) if at <= as_of), self.lists[0][1] if self.lists else [])
        rows = [row for row in rows if row["nameId"] > query.get("after", "")]
        page = rows[: min(500, int(query["page"]))]
        return 200, {"hearths": page, "truncated": len(page) < len(rows)}


# Controllers, users, the whole -------------------------------------------------------------------------------------


class Node:
    """A controller: a process of the project's program, and the link between it and the state service."""

    def __init__(self, name: str, zone: str, state_port: int) -> None:
        self.name, self.zone = name, zone
        self.port, self.peer_port = free_port(), free_port()
        self.link = Link(state_port)
        self.process: asyncio.subprocess.Process | None = None
        self.healthy = False


class Site:
    def __init__(self, settings: dict, flavors: list[dict], room: dict, node_zones: list[str],
                 properties: dict[str, str] | None = None) -> None:  # fmt: skip
        self.settings, self.workers = settings, settings["workers"]
        self.properties = properties or {}
        self.flavors, self.room, self.node_zones = flavors, room, node_zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.counts: dict[str, int] = {}
        self.jobs: dict[str, dict] = {}
        self.run_s: dict[str, float] = {}
        self.accepted: dict[str, float] = {}
        self.told: dict[str, str] = {}
        self.cancelled: dict[str, float] = {}
        self.done: dict[str, set[str]] = {}
        self.running: dict[str, set[str]] = {}  # portion: machines on which it is past its image fetch
        self.waiting: dict[str, list] = {}  # job: [since, longest, text]
        self.broken: list[str] = []
        self.nodes: dict[str, Node] = {}
        self.pollers: list[asyncio.Task] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():7.2f} {text}")

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Processes

    async def start(self) -> None:
        self.state = StateService(self.settings["state"])
        state_server = await serve_http(self.state.handle)
        state_port = state_server.sockets[0].getsockname()[1]
        self.cloud = Cloud(self, self.flavors, self.room, self.settings["cloud"]["list_lag_s"])
        cloud_server = await serve_http(self.cloud.handle)
        self.cloud_port = cloud_server.sockets[0].getsockname()[1]
        self.servers = [state_server, cloud_server]
        self.loops = [asyncio.create_task(self.state.expire()), asyncio.create_task(self.cloud.keep_lists()),
                      asyncio.create_task(self._probe()), asyncio.create_task(self._watch_waiting())]  # fmt: skip
        for index, zone in enumerate(self.node_zones):
            self.nodes[f"hearth-{index}"] = Node(f"hearth-{index}", zone, state_port)

    async def start_nodes(self) -> None:
        for name in self.nodes:
            await self.start_node(name)

    def _settings_file(self, node: Node) -> Path:
        lines = [f"label = {json.dumps(node.name)}", f"site = {json.dumps(node.zone)}",
                 f'bind = "{HOST}:{node.port}"', f'peer_bind = "{HOST}:{node.peer_port}"']  # fmt: skip
        for other in self.nodes.values():
            if other is not node:
                lines += ["[[siblings]]", f"label = {json.dumps(other.name)}", f"site = {json.dumps(other.zone)}",
                          f'peer_addr = "{HOST}:{other.peer_port}"']  # fmt: skip
        lines += ["[outside]", f'cloud = "{HOST}:{self.cloud_port}"', f'state = "{HOST}:{node.link.port}"',
                  "[settings]", f"initial_size = {len(self.nodes)}", f"zones = {json.dumps(self.settings['zones'])}",
                  "time_bound_ms = 1000.0"]  # fmt: skip
        for kind in ("teams", "objectives"):
            for row in self.settings.get(kind, []):
                lines += [f"[[settings.{kind}]]", *(f"{key} = {json.dumps(value)}" for key, value in row.items())]
        for part in ("workers", "state", "cloud", "resources"):
            lines += [f"[settings.{part}]"]
            lines += [f"{key} = {json.dumps(value)}" for key, value in self.settings[part].items()]
        path = self.folder / f"{node.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_node(self, name: str) -> None:
        node = self.nodes[name]
        run = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG", "info")}
        environment.pop("GLADECROFT_PROPERTIES", None)
        if self.properties:
            path = self.folder / "operator.properties"
            path.write_text("".join(f"{key}={value}\n" for key, value in self.properties.items()))
            environment["GLADECROFT_PROPERTIES"] = str(path)
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        node.process = await asyncio.create_subprocess_exec(
            *run, str(self._settings_file(node)), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=log)  # fmt: skip
        log.close()
        self.note(f"{name} is started")

    async def stop(self) -> None:
        for node in self.nodes.values():
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in [*self.pollers, *getattr(self, "loops", [])]:
            task.cancel()
        for worker in list(self.cloud.machines.values()):
            for job in worker.jobs:
                job.cancel()
        keep = os.environ.get("CASE_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def leader(self) -> str:
        """The controller that calls itself leader in its view (the `status --view` of the operators' pages)."""
        while True:
            for name, node in self.nodes.items():
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "run.py", "status", "--node", f"{HOST}:{node.peer_port}", "--view", cwd=ROOT,
                    stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)  # fmt: skip
                out, _ = await process.communicate()
                if b"leader" in out.split(b"epoch")[0]:
                    return name
            await asyncio.sleep(0.2)

    # Users

    async def _probe(self) -> None:
        while True:

            async def probe(node: Node) -> None:
                node.healthy = (await http(node.port, "GET", "/healthz", timeout=1))[0] == 200

            await asyncio.gather(*(probe(node) for node in self.nodes.values()))
            await asyncio.sleep(0.5)

    def _pick(self) -> Node:
        nodes = [node for node in self.nodes.values() if node.healthy] or list(self.nodes.values())
        return random.choice(nodes)

    def spec(self, job_id: str, **fields) -> dict:
        return {"nameId": job_id, "cohort": "c", "owner": "t", "shape": "batch", "urgency": "normal", "portions": 1,
                "cores": 1.0, "cards": 0.0, "memoryGb": 1.0, "recipe": "img", "imageGb": 0.1, "flavors": None,
                "district": None, "oneZone": False, "apart": False, "leftovers": False, "expectedS": 10.0,
                "snapshotS": 0.0, "stashS": 0.0, "dueS": None, **fields}  # fmt: skip

    def submit(self, spec: dict, run_s: float = 10.0) -> None:
        self.jobs[spec["nameId"]], self.run_s[spec["nameId"]] = spec, run_s
        self.pollers.append(asyncio.create_task(self._user(spec)))

    async def ask_unknown(self, job_id: str, every_s: float) -> None:
        """Users also ask about jobs that nobody has submitted."""
        while True:
            status, _ = await http(self._pick().port, "GET", f"/work/{job_id}", timeout=2)
            self.count(f"questions about jobs that nobody submitted answered {status}")
            await asyncio.sleep(random.uniform(0.5, 1.5) * every_s)

    async def _user(self, spec: dict) -> None:
        job_id, until = spec["nameId"], time.monotonic() + 60
        while time.monotonic() < until:
            node = self._pick()
            status, answer = await http(node.port, "POST", "/work", spec, 5)
            self.note(f"user: submit {job_id} at {node.name}: {status} {answer}")
            if status in (200, 201):
                self.accepted[job_id] = self.now()
                break
            if status in (400, 422):
                return
            await asyncio.sleep(1)
        last = None
        while True:
            await asyncio.sleep(random.uniform(4, 6))
            node = self._pick()
            status, answer = await http(node.port, "GET", f"/work/{job_id}", timeout=2)
            if (status, answer) != last:
                self.note(f"user: ask {job_id} at {node.name}: {status} {answer}")
                last = (status, answer)
            if status == 200:
                self.told[job_id] = answer["status"]
                if answer["status"] in ("done", "aborted"):
                    return

    # What the platform sees

    def started(self, key, worker: Worker) -> None:
        portion = key[0]
        places = self.running.setdefault(portion, set())
        self.note(f"{portion}#{key[1]} starts on {worker.name}")
        if places - {worker.name}:
            self.broken.append(f"ran_twice: {portion} starts on {worker.name} while it is on {sorted(places)}")
        places.add(worker.name)

    def ended(self, key, worker: Worker, cause: str) -> None:
        self.running.get(key[0], set()).discard(worker.name)
        if cause == "done":
            self.done.setdefault(key[0].rpartition("/")[0], set()).add(key[0])
        self.note(f"{key[0]}#{key[1]} ends on {worker.name}: {cause}")

    def placeable(self, job_id: str) -> str | None:
        """A machine with room for a task of the job that is on no machine; None if there is none."""
        spec = self.jobs[job_id]
        placed: dict[str, str] = {}
        used = 0.0
        for worker in self.cloud.machines.values():
            for portion in worker.on_machine():
                other = portion.rpartition("/")[0]
                used += self.jobs[other]["cores"] * (self.jobs[other]["owner"] == spec["owner"])
                if other == job_id:
                    placed[portion] = worker.zone
        missing = spec["portions"] - len(placed) - len(self.done.get(job_id, ()))
        limit = next(team["cpus_max"] for team in self.settings["teams"] if team["name"] == spec["owner"])
        if missing <= 0 or limit and used + spec["cores"] > limit + 1e-6:
            return None
        for worker in self.cloud.machines.values():
            cores, memory = worker.used()
            if (worker.up and not worker.cut and worker.flavor["cores"] - cores >= spec["cores"]
                    and worker.flavor["memoryGb"] - memory >= spec["memoryGb"]
                    and (spec["leftovers"] or not worker.spot)
                    and spec["district"] in (None, worker.zone)
                    and (spec["flavors"] is None or worker.flavor["label"] in spec["flavors"])
                    and (not spec["oneZone"] or not placed or worker.zone in placed.values())
                    and (not spec["apart"]
                         or list(placed.values()).count(worker.zone) < (spec["portions"] + 1) // 2)):  # fmt: skip
                return (f"{worker.name} with {worker.flavor['cores'] - cores:g} cores and "
                        f"{worker.flavor['memoryGb'] - memory:g} GB free")  # fmt: skip
        return None

    async def _watch_waiting(self) -> None:
        """For each job: how long it has been left waiting beside a machine that fits, without a pause."""
        while True:
            await asyncio.sleep(0.5)
            for job_id in list(self.accepted):
                place = None if job_id in self.cancelled else self.placeable(job_id)
                entry = self.waiting.setdefault(job_id, [None, 0.0, ""])
                if place is None:
                    entry[0] = None
                else:
                    entry[0] = self.now() if entry[0] is None else entry[0]
                    if self.now() - entry[0] > entry[1]:
                        entry[1], entry[2] = self.now() - entry[0], place

    def left_waiting(self, bound: float) -> list[str]:
        return [f"left_waiting: {job_id} waited for {longest:.0f} s beside {place}"
                for job_id, (_, longest, place) in sorted(self.waiting.items()) if longest >= bound]  # fmt: skip

    def write_record(self, path: Path, verdict: str) -> None:
        path.write_text("\n".join([
            verdict, "", *self.lines, "",
            *(f"{what}: {count}" for what, count in sorted(self.counts.items())),
            *(f"state service answered 400: {text}" for text in self.state.rejected), ""]))  # fmt: skip


def main(folder: Path, play, trouble: bool, limit_s: float = 118.5) -> None:
    """Runs a case with or without its trouble. Exit code 1: the rule was broken, 0: it held, 2: it could not run."""

    async def run() -> int:
        site, code, verdict = None, 2, "could not run"
        try:
            async with asyncio.timeout(limit_s):
                site = play.make()
                await site.start()
                broken = await play.play(site, trouble)
                broken = [*site.broken, *broken]
                dead = [f"{name} ended by itself with {node.process.returncode}" for name, node in site.nodes.items()
                        if node.process is not None and node.process.returncode is not None]  # fmt: skip
                code = 1 if broken else 0
                verdict = "broken: " + "; ".join(broken) if broken else "held"
                if dead:
                    verdict += " (" + "; ".join(dead) + ")"
        except Exception as error:  # the case could not run
            verdict = f"could not run: {type(error).__name__}: {error}"
        finally:
            if site is not None:
                verdict = f"{verdict} (TROUBLE={int(trouble)}, {site.now():.0f} s)"
                site.write_record(folder / "record.txt", verdict)
                await site.stop()
            print(verdict)
        return code

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
