"""See claim.txt."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import stand_ins  # noqa: E402

SETTINGS = {
    "zones": ["sofia-north"],
    "teams": [{"name": name, "cpus": 144.0, "cpus_max": 352.0} for name in ("clearing-desk", "gateway-ops")],
    "objectives": [{"kind": "finished", "class": "reconciliation", "within_s": within, "share": share}
                   for within, share in ((60.0, 0.8), (100.0, 0.93))],
    "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 47.0},
    "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
    "cloud": {"rps": 5.0, "list_lag_s": 4.0},
    "resources": {"core_share": 1.25, "ram_mb": 266.0, "fd_limit": 1800},
}  # fmt: skip
DESK16 = {"label": "desk16", "cores": 16.0, "cards": 0.0, "memoryGb": 32.0, "cacheGb": 60.0, "pullGbPerS": 0.3,
          "rate": 0.7, "marketPrice": 0.3, "bootS": 25.0, "districts": ["sofia-north"]}  # fmt: skip


def make() -> stand_ins.Site:
    room = {("desk16", "sofia-north", spot): 0 for spot in (False, True)}
    return stand_ins.Site(SETTINGS, [DESK16], room, ["sofia-north"] * 3)


async def play(site: stand_ins.Site, trouble: bool) -> list[str]:
    site.cloud.rent("desk16", "sofia-north", False, boot=0.0)
    await site.start_nodes()
    await site.leader()

    def submit(job_id: str, cores: float, memory: float, expected: float, run_s: float) -> None:
        site.submit(site.spec(job_id, cohort="reconciliation", owner="clearing-desk", cores=cores, memoryGb=memory,
                              recipe="recon", expectedS=expected), run_s)  # fmt: skip

    submit("wk-1", 2.0, 26.0, 300.0, 300.0)
    while "wk-1/0" not in site.running:
        await asyncio.sleep(0.1)
    # 14 cores and 6 GB of the only machine are free.
    if trouble:
        site.note("the burst begins: four jobs of 2 cores and 12 GB in 6 s, for which there is no room")
        for index in range(4):
            submit(f"wk-2{index}", 2.0, 12.0, 10.0, 10.0)
            await asyncio.sleep(1.5)
    site.note("the burst is over; a job of 4 cores and 4 GB")
    submit("wk-3", 4.0, 4.0, 50.0, 10.0)
    end = min(site.now() + 96.0, 116.0)
    while site.now() < end and not site.left_waiting(90.2):
        await asyncio.sleep(0.5)
    return site.left_waiting(90.0)


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stand_ins.main(Path(__file__).resolve().parent, sys.modules[__name__], trouble)
