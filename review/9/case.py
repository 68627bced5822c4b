"""All control processes are killed right after a sampler's departure was acknowledged."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 5
BACK_AFTER_S = 0.8
CONTACT_S = h.BOUNDS["contact_ms"] / 1000
KILL_DELAY_S = 0.03
SERVES_ON_S = 16.0
ITEMS = 20


async def scenario(d):
    await d.start()
    samplers = await d.add_samplers("pool", SAMPLERS, engine=True)
    await d.configure(1, [h.rollout_route(service="pool")], [h.engine_service("pool")])
    await d.wait_ready()
    await asyncio.sleep(5)

    # This sampler never reports that it drains: it says that it is gone, goes on
    # serving, and exits later.
    leaving = samplers[2]
    await leaving.leave()
    acknowledged = leaving.left_at
    if h.TROUBLE:
        await asyncio.sleep(KILL_DELAY_S)
        for machine in d.controls:
            machine.kill()
        d.record(f"all control processes were killed, {time.monotonic() - acknowledged:.3f} s after the acknowledgement")
        await asyncio.sleep(BACK_AFTER_S)
        for machine in d.controls:
            machine.start()
        d.record("all control processes are started again")
    # From here on all machines are in touch again, and drain_ms is over.
    bound = max(acknowledged + h.BOUNDS["drain_ms"] / 1000, time.monotonic() + CONTACT_S)

    step = 0
    while time.monotonic() < acknowledged + SERVES_ON_S - 4:
        name = f"step-{step}"
        sent = time.monotonic()
        items = [h.item(f"item-{step}-{i}", f"group-{step}-{i // 4}") for i in range(ITEMS)]
        await d.submit(name, items, step=step, group_count=ITEMS // 4)
        await d.read_results(name, sent + 6, ITEMS)
        await d.end_job(name)
        step += 1
        await asyncio.sleep(0.5)

    late = [(at, attempt) for at, attempt, sampler in d.runs if sampler is leaving and at > bound]
    for at, attempt in late[:5]:
        d.record(f"{attempt} reached {leaving.id} {at - acknowledged:.3f} s after the acknowledgement of its departure")
    d.record(f"{len(late)} items reached {leaving.id} later than drain_ms, sent by machines in touch; "
             f"{len(d.runs)} runs in all")
    if not d.runs:
        raise h.CannotRun("no item ran")
    return not late


h.main(__file__, scenario)
