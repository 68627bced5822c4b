"""A sampler spoils the first byte of one answer among many."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 9
FAULTY = 3
MAX_SPOILED_SHARE = 0.02
# A large step of the sheets.
GROUPS, GROUP_SIZE = 26, 8
WANTED_GROUPS = 23  # 90%
TRAINER_DEADLINE_S = 12.0
EVENT_BYTES = 240
SHORT_EVENTS, USUAL_EVENTS = 2, 13

spoiled = []
faulty_answers = 0


def texts(item):
    """The item's whole output. The first item of each group is a short one."""
    count = SHORT_EVENTS if item.endswith("-0") else USUAL_EVENTS
    return [f"{item} event {number} ".ljust(EVENT_BYTES, "x") for number in range(1, count + 1)]


async def behaviour(sampler, writer, method, path, headers, body, attempt):
    global faulty_answers
    events = texts(attempt)
    if sampler in sampler.deployment.faulty:
        faulty_answers += 1
        if h.TROUBLE and not spoiled and len(events) == SHORT_EVENTS and "last-event-id" not in headers:
            spoiled.append(attempt)
            events = ["\x01" + events[0][1:]] + events[1:]
            sampler.deployment.record(f"{sampler.id} spoils the first byte of {attempt}")
    return await sampler.stream(writer, headers, attempt, events, 0.02)


async def scenario(d):
    await d.start()
    d.behaviour = behaviour
    samplers = await d.add_samplers("pool", SAMPLERS, engine=True)
    d.faulty = samplers[:FAULTY]
    await d.configure(1, [h.rollout_route(service="pool")], [h.engine_service("pool")])
    await d.wait_ready()
    await asyncio.sleep(3)

    items = [h.item(f"item-{group}-{i}", f"group-{group}") for group in range(GROUPS) for i in range(GROUP_SIZE)]
    sent = time.monotonic()
    await d.submit("step", items, group_count=WANTED_GROUPS)
    results = await d.read_results("step", sent + TRAINER_DEADLINE_S, len(items))
    finished = {attempt for _, attempt, _ in d.runs} - {a for s in samplers for a in s.running}
    d.record(f"the trainer read {len(results)} of {len(items)} results in {time.monotonic() - sent:.1f} s; "
             f"samplers have run and finished {len(finished)} items")
    await d.end_job("step")

    # The batch job is read from the start, again after each failure, at all nodes.
    statuses, again = [], []
    until = time.monotonic() + 10
    while time.monotonic() < until and not again:
        status, page = await d.read("step", 0, len(statuses))
        statuses.append(status)
        d.record(f"GET of the batch job from the start at {d.front(len(statuses) - 1)}: {status}")
        again = page["results"] if page else []
        await asyncio.sleep(0.4)
    d.record(f"{len(spoiled)} of {faulty_answers} answers of {FAULTY} of {SAMPLERS} samplers were spoiled; "
             f"{len(statuses)} reads from the start: {sorted(set(statuses))}, {len(again)} results")
    if h.TROUBLE and (not spoiled or len(spoiled) > MAX_SPOILED_SHARE * faulty_answers):
        raise h.CannotRun("the share of spoiled answers is not as planned")
    if not h.TROUBLE and len(results) < len(items):
        raise h.CannotRun("the samples were not all completed")
    return bool(again)


h.main(__file__, scenario)
