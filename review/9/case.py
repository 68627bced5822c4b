"""Samplers crash, one at a time, while they run the same item of a batch job."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 12
CRASHES = 5
DOWN_S = 2.0  # At most two of the twelve are down at a time.
TRAINER_DEADLINE_S = 12.0
GROUPS, GROUP_SIZE = 6, 4
UNLUCKY = "item-0-0"
STEADY_S = 5.0


def items_of(step):
    return [h.item(f"item-{step}-{i}", f"group-{step}-{i // GROUP_SIZE}") for i in range(GROUPS * GROUP_SIZE)]


async def behaviour(sampler, writer, method, path, headers, body, attempt):
    await asyncio.sleep(0.2)  # The prompt is read.
    return await sampler.stream(writer, headers, attempt, h.events_of(attempt), 0.05)


class Crasher:
    """Crashes the sampler that runs the unlucky item, 0.1 s after it has begun, and starts it again later."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.crashes = []
        self.tasks = []

    def on_run(self, sampler, attempt):
        if attempt == UNLUCKY and len(self.crashes) < CRASHES:
            self.tasks.append(asyncio.create_task(self.crash(sampler)))

    async def crash(self, sampler):
        await asyncio.sleep(0.1)
        if UNLUCKY not in sampler.running or len(self.crashes) >= CRASHES:
            return
        self.crashes.append(time.monotonic())
        sampler.crash()
        await asyncio.sleep(DOWN_S)
        await sampler.start()
        self.deployment.record(f"sampler {sampler.id} has started again")


async def run_step(d, step, items, runs_before):
    """One step as its trainer sees it. Returns the results and the time at which the trainer gave up."""
    sent = time.monotonic()
    name = f"step-{step}"
    await d.submit(name, items, step=step, group_count=GROUPS)
    results = await d.read_results(name, sent + TRAINER_DEADLINE_S, len(items))
    given_up = time.monotonic()
    await d.end_job(name)
    d.record(f"{name}: {len(results)} of {len(items)} items listed when the trainer stopped, "
             f"{given_up - sent:.1f} s after the submission")
    return results, sent, given_up


async def scenario(d):
    await d.start()
    samplers = await d.add_samplers("pool", SAMPLERS, engine=True)
    d.behaviour = behaviour
    await d.configure(1, [h.rollout_route(service="pool")], [h.engine_service("pool")])
    await d.wait_ready()
    await asyncio.sleep(3)
    crasher = Crasher(d)
    if h.TROUBLE:
        for sampler in samplers:
            sampler.on_run = crasher.on_run

    held = True
    pending = []  # Groups that were not complete come again first, under the same ids.
    for step in range(2):
        items = pending + items_of(step)
        results, sent, given_up = await run_step(d, step, items, len(d.runs))
        listed = {result["id"] for result in results}
        missing = [item for item in items if item["id"] not in listed]
        groups = {item["group"] for item in missing}
        pending = [item for item in items if item["group"] in groups]
        calm_since = max([sent] + [at + DOWN_S + h.BOUNDS["contact_ms"] / 1000 for at in crasher.crashes])
        for item in missing:
            at = [when for when, attempt, _ in d.runs if attempt == item["id"] and when > sent]
            idle_since = max([calm_since] + at)
            d.record(f"{item['id']} is owed: {len(at)} runs in this step, at no sampler for the last "
                     f"{given_up - idle_since:.1f} s of steady state; "
                     f"{sum(len(s.running) for s in samplers)} requests run at {SAMPLERS} samplers")
            if given_up - idle_since >= STEADY_S:
                held = False
    d.record(f"{len(crasher.crashes)} crashes of samplers")
    if h.TROUBLE and len(crasher.crashes) < CRASHES:
        raise h.CannotRun("the samplers did not crash as planned")
    return held


h.main(__file__, scenario)
