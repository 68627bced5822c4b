"""One of seven samplers fails part of its requests on an unsafe route, after it has run them."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

SAMPLERS = 7
FAILING = "desk-1"
SHARE_FAILED = 0.4
ORDERS = 150

runs = collections.defaultdict(list)  # Runs of each order, as pairs of attempt and sampler.
received = collections.Counter()


async def behaviour(sampler, writer, method, path, headers, body, attempt):
    runs[body.decode()].append((attempt, sampler.id))
    await asyncio.sleep(0.025)
    received[sampler.name] += 1
    if h.TROUBLE and sampler.name == FAILING and (received[sampler.name] - 1) * SHARE_FAILED % 1 < SHARE_FAILED:
        # It has run the request and failed after that. Without Not-Run, the
        # answer doesn't state that the request has not run.
        sampler.deployment.record(f"{attempt} has run at {sampler.id}, which answers 503 without Not-Run")
        return await sampler.respond(writer, 503, sampler.signature(attempt), b"the last step failed")
    return await sampler.respond(writer, 200, sampler.signature(attempt), b"done")


async def order(d, number):
    """A client's order: sent again, once and with an id of its own, only after a promise that it has not run."""
    broken = 0
    for attempt_number in range(2):
        attempt = f"order-{number}-attempt-{attempt_number}"
        status, headers, _ = await h.call(
            d.front(number + attempt_number), "POST", f"/orders/{number}",
            {"Host": h.HOST, "Request-Attempt-Id": attempt, "Deadline-Ms": "1500"}, f"order {number}".encode())
        ran = [sampler for run, sampler in runs[f"order {number}"] if run == attempt]
        d.record(f"{attempt}: answered {status}, ran at {ran}")
        if status in (429, 503) and ran:
            broken += 1
        if status not in (429, 503):
            break
    return broken


async def scenario(d):
    await d.start()
    d.behaviour = behaviour
    await d.add_samplers("desk", SAMPLERS, engine=False, slots=6)
    await d.configure(1, [h.live_route("r-orders", "/orders/", "unsafe", service="desk")], [h.plain_service("desk")])
    await d.wait_ready()
    await asyncio.sleep(4)
    tasks = []
    for number in range(ORDERS):
        tasks.append(asyncio.create_task(order(d, number)))
        await asyncio.sleep(0.04)
    broken = sum(await asyncio.gather(*tasks))
    twice = [name for name, at in runs.items() if len(at) > 1]
    d.record(f"{broken} requests were answered 429 or 503 and had run; {len(twice)} of {ORDERS} orders ran twice; "
             f"{received[FAILING]} requests reached {FAILING}")
    if not received[FAILING]:
        raise h.CannotRun("no request reached the failing sampler")
    return broken == 0


h.main(__file__, scenario)
