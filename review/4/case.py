"""See claim.txt."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import stand_ins  # noqa: E402

TEAMS = 6
SETTINGS = {
    "zones": ["sofia-north"],
    "teams": [{"name": f"desk-{index}", "cpus": 40.0, "cpus_max": 64.0} for index in range(TEAMS)],
    "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 47.0},
    "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
    "cloud": {"rps": 5.0, "list_lag_s": 4.0},
    "resources": {"core_share": 1.25, "ram_mb": 266.0, "fd_limit": 1800},
}
DESK16 = {"label": "desk16", "cores": 16.0, "cards": 0.0, "memoryGb": 32.0, "cacheGb": 60.0, "pullGbPerS": 0.3,
          "rate": 0.7, "marketPrice": 0.3, "bootS": 5.0, "districts": ["sofia-north"]}  # fmt: skip
IDLE_S = 5.0
CUT_S = 8.0


def make() -> stand_ins.Site:
    room = {("desk16", zone, spot): 0 for zone in SETTINGS["zones"] for spot in (False, True)}
    return stand_ins.Site(SETTINGS, [DESK16], room, ["sofia-north"] * 3, {"machine.idle": f"{IDLE_S:g}"})


async def play(site: stand_ins.Site, trouble: bool) -> list[str]:
    await site.start_nodes()
    leader = await site.leader()
    site.note(f"{leader} is the leader")
    worker = site.cloud.machines[site.cloud.rent("desk16", "sofia-north", False, boot=0.0)]
    await worker.answered
    # A small load before the trouble. It ends, and the machine is idle.
    strangers = [asyncio.create_task(site.ask_unknown(f"wk-9{index}", 1.0)) for index in range(24)]
    for index in range(24):
        site.submit(site.spec(f"wk-1{index:02}", owner=f"desk-{index % TEAMS}", memoryGb=1.1, cores=1.0), run_s=0.5)
        await asyncio.sleep(0.2)
    while len(site.done) < 24:
        await asyncio.sleep(0.05)
    for task in strangers:
        task.cancel()
    # The machine stays idle, so the leader gives it back after the operators' `machine.idle`. The cut begins a little
    # earlier, and lasts longer than the leader's member lease (6 s).
    await asyncio.sleep(IDLE_S + 0.12)
    if trouble:
        site.note(f"{leader} loses the state service; {len(site.nodes[leader].link.tasks)} connections are open")
        site.nodes[leader].link.cut()
    await asyncio.sleep(CUT_S)
    if trouble:
        site.nodes[leader].link.heal()
        site.note(f"{leader} reaches the state service again: the trouble is over")
    await asyncio.sleep(1.5)
    for index in range(TEAMS):
        site.submit(site.spec(f"wk-{index}", owner=f"desk-{index}", shape="service", urgency="production",
                              memoryGb=1.1, recipe="gateway", expectedS=0.0))  # fmt: skip
    end = min(site.now() + 94.0, 116.0)
    while site.now() < end and not site.left_waiting(90.2):
        await asyncio.sleep(0.5)
    return site.left_waiting(90.0)


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stand_ins.main(Path(__file__).resolve().parent, sys.modules[__name__], trouble)
