"""A gateway that stood still submits a batch job whose end was acknowledged meanwhile."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import case  # noqa: E402
import stand_ins  # noqa: E402

GATEWAYS = 6
FROZEN = 2        # 0.35 of 6, rounded down.
FREEZE_S = 5.9    # At most 6.0, with the signals.
PATIENCE_S = 1.0  # "If a node has not read an idempotent request after one second"
DEADLINE_S = 4.0  # result_deadline_ms of the route, from the first submission on.
CANCEL_S = 3.0
ENGINES = 3
GROUPS, GROUP_SIZE = 12, 8


async def scenario(work):
    record = work.record
    frozen = work.system.gateways[:FROZEN]
    job = stand_ins.fresh_id()
    body = stand_ins.make_job(case.ROLLOUT_PREFIX, case.MODEL, 0, 1, GROUPS, GROUP_SIZE)
    items = {item["id"] for item in body["items"]}
    if work.trouble:
        for gateway in frozen:
            gateway.signal(signal.SIGSTOP)
        record.write(f"{FROZEN} of {GATEWAYS} gateways stand still")
    frozen_at = record.now()
    # The first attempt and one retry, at another node.
    for gateway in range(FROZEN):
        if await work.client.submit(gateway, job, case.ROLLOUT_PREFIX, body, PATIENCE_S) == 202:
            break
    # At its deadline the trainer ends the batch job. No answer has promised
    # that none of it runs.
    await asyncio.sleep(max(0.0, frozen_at + DEADLINE_S - record.now()))
    while await work.client.end(GATEWAYS - 1, job) != 200:
        await asyncio.sleep(0.5)
    ended = record.now()
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    for gateway in frozen:
        gateway.signal(signal.SIGCONT)
    record.write("all gateways run")
    await asyncio.sleep(CANCEL_S + 3)
    work.check_alive()

    runs = [(at, item) for engine in work.engines for at, item, _ in engine.runs if item in items]
    late = [run for run in runs if run[0] > ended + CANCEL_S]
    record.write(f"{len(runs)} runs of items of the batch job, {len(late)} of them later than "
                 f"{CANCEL_S:.0f} s after its end was acknowledged")
    if not late:
        return None
    return (f"UNASKED: {len(late)} items ran later than {CANCEL_S:.0f} s after the end of their "
            f"batch job was acknowledged, the last {max(late)[0] - ended:.1f} s after it")


case.main(scenario, pathlib.Path(__file__).resolve().parent, GATEWAYS, ENGINES,
          result_deadline_ms=int(DEADLINE_S * 1000), event_gap=0.05)
