"""A rollout route is moved to another pool of samplers by its split."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

JOBS = 4
ITEMS = 12


async def scenario(d):
    await d.start()
    await d.add_samplers("old-pool", 3, engine=True)
    await d.add_samplers("new-pool", 3, engine=True)
    services = [h.engine_service("old-pool"), h.engine_service("new-pool")]
    await d.configure(1, [h.rollout_route(service="old-pool")], services)
    await d.wait_ready()
    await asyncio.sleep(3)
    if h.TROUBLE:
        route = h.rollout_route(traffic_split=[{"service": "old-pool", "weight": 0},
                                               {"service": "new-pool", "weight": 100}])
    else:
        route = h.rollout_route(service="new-pool")
    acknowledged = await d.configure(5, [route], services)
    await asyncio.sleep(h.BOUNDS["configuration_apply_ms"] / 1000 + 1)

    wrong, completed = 0, 0
    for number in range(JOBS):
        sent = time.monotonic()
        name = f"job-{number}"
        items = [h.item(f"item-{number}-{i}", f"group-{number}-{i // 4}") for i in range(ITEMS)]
        await d.submit(name, items, step=number, group_count=ITEMS // 4)
        results = await d.read_results(name, sent + 12, ITEMS)
        await d.end_job(name)
        completed += sum(result["state"] == "completed" for result in results)
        ids = {item["id"] for item in items}
        at_old = [attempt for at, attempt, sampler in d.runs
                  if attempt in ids and sampler.service == "old-pool"]
        wrong += len(at_old)
        d.record(f"{name} was sent {sent - acknowledged:.1f} s after the acknowledgement of version 5: "
                 f"{len(at_old)} of {ITEMS} items ran at old-pool, {len(results)} results listed")
    if not h.TROUBLE and completed < JOBS * ITEMS:
        raise h.CannotRun("the samples were not all completed")
    return wrong == 0


h.main(__file__, scenario)
