"""Another writer announces the servers of a pool, with fields missing."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 5
ITEMS, GROUP_SIZE = 208, 8
TRAINER_DEADLINE_S = 12.0
STEADY_S = 5.0


async def behaviour(sampler, writer, method, path, headers, body, attempt):
    return await sampler.stream(writer, headers, attempt, h.events_of(attempt, 13), 0.03)


async def announce(d, number, sampler):
    """An entry without `version`, `cold_remaining_ms`, `stage` and `models`, for the place of a sampler."""
    entry = {"service": sampler.service, "address": sampler.address, "zone": sampler.zone,
             "slots": sampler.slots, "state": "ready", "sequence": 1, "born": int(time.time() * 1000)}
    address = d.control_addresses()[number % len(d.controls)]
    status, _, answer = await d.call_control(
        address, "PUT", f"/v1/instances/agent-{number}", json.dumps(entry).encode())
    d.record(f"PUT of agent-{number}, an entry of another writer with fields missing: {status} {answer[:60].decode()}")


async def scenario(d):
    await d.start()
    d.behaviour = behaviour
    samplers = await d.add_samplers("pool", SAMPLERS, engine=True)
    await d.configure(1, [h.rollout_route(service="pool")], [h.engine_service("pool")])
    await d.wait_ready()
    await asyncio.sleep(4)

    items = [h.item(f"item-{i}", f"group-{i // GROUP_SIZE}") for i in range(ITEMS)]
    ids = {item["id"] for item in items}
    sent = time.monotonic()
    await d.submit("step", items, group_count=ITEMS // GROUP_SIZE * 9 // 10)
    await asyncio.sleep(0.3)
    if h.TROUBLE:
        for number, sampler in enumerate(samplers):
            await announce(d, number, sampler)
    announced = time.monotonic()
    results = await d.read_results("step", sent + TRAINER_DEADLINE_S, ITEMS)
    given_up = time.monotonic()
    running = sum(len(s.running) for s in samplers)
    await d.end_job("step")

    began = {attempt: at for at, attempt, _ in d.runs}
    listed = {result["id"] for result in results}
    owed = [name for name in ids - listed if given_up - max(began.get(name, sent), announced) >= STEADY_S]
    d.record(f"{len(results)} of {ITEMS} items listed, {len(ids & set(began))} had begun; {len(owed)} items are owed, "
             f"at no sampler for the last {given_up - announced:.1f} s; {running} requests run at {SAMPLERS} samplers, "
             f"which have announced themselves {sum(s.sequence for s in samplers)} times")
    if not h.TROUBLE and len(results) < ITEMS:
        raise h.CannotRun("the samples were not all completed")
    return not (owed and began and running < SAMPLERS * 12 / 2)


h.main(__file__, scenario)
