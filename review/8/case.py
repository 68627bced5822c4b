"""A trainer submits samples with long prompts, whose parts are listed one by one."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 5
TRAINER_DEADLINE_S = 12.0
STEADY_S = 5.0
# Prompts of 53,120 tokens, two thirds of a sampler's memory of 80,959.
PARTS, TOKENS_PER_PART = 3320, 16
OUTPUT_TOKENS = 400


def long_item(name, group):
    item = h.item(name, group, tokens=(PARTS * TOKENS_PER_PART, OUTPUT_TOKENS))
    if h.TROUBLE:
        parts = [f"{(hash(group) + i) % (1 << 64):016x}:{TOKENS_PER_PART}" for i in range(PARTS)]
    else:
        parts = [f"{hash(group) % (1 << 64):016x}:{PARTS * TOKENS_PER_PART}"]
    item["headers"]["Prompt-Prefix"] = ",".join(parts)
    return item


async def step(d, name, items, number):
    sent = time.monotonic()
    await d.submit(name, items, path=f"/{name[8]}/", step=number, group_count=len(items))
    results = await d.read_results(name, sent + TRAINER_DEADLINE_S, len(items))
    given_up = time.monotonic()
    listed = {result["id"] for result in results}
    ids = {item["id"] for item in items}
    others_began = any(attempt in ids for _, attempt, _ in d.runs)
    running = sum(len(s.running) for s in d.samplers)
    owed = []
    for item in items:
        if item["id"] not in listed:
            runs = [at for at, attempt, _ in d.runs if attempt == item["id"]]
            idle = given_up - max([sent] + runs)
            if others_began and idle >= STEADY_S and running < sum(s.slots for s in d.samplers) / 2:
                owed.append(item["id"])
            d.record(f"{item['id']} is owed: {len(runs)} runs, at no sampler for the last {idle:.1f} s; "
                     f"{running} requests run at all samplers")
    await d.end_job(name)
    d.record(f"{name}: {len(results)} of {len(items)} items listed after {given_up - sent:.1f} s")
    return owed


async def scenario(d):
    await d.start()
    await d.add_samplers("pool", SAMPLERS, engine=True)
    routes = [h.rollout_route("r-a", "/a/", service="pool"), h.rollout_route("r-b", "/b/", service="pool")]
    await d.configure(1, routes, [h.engine_service("pool")])
    await d.wait_ready()
    await asyncio.sleep(3)

    short = [h.item(f"a0-{i}", f"a0-group-{i // 4}") for i in range(20)]
    before = await step(d, "trainer-a-step-0", short, 0)
    if before:
        raise h.CannotRun("the samplers do not serve")
    mixed = [h.item(f"b0-{i}", f"b0-group-{i // 4}") for i in range(8)]
    mixed += [long_item(f"b0-long-{i}", f"b0-long-group-{i}") for i in range(SAMPLERS)]
    owed = await step(d, "trainer-b-step-0", mixed, 0)
    short = [h.item(f"a1-{i}", f"a1-group-{i // 4}") for i in range(20)]
    await step(d, "trainer-a-step-1", short, 1)
    d.record(f"{len(owed)} items of trainer b's step are owed as the rule says")
    return not owed


h.main(__file__, scenario)
