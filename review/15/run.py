"""CONFIG: a service that comes back into the configuration gets no requests."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from case import TROUBLE, run_case  # noqa: E402
from deployment import CannotRun, Deployment, ZONES, call  # noqa: E402
from samplers import Sampler  # noqa: E402

APPLY_S = 2.5     # configuration_apply_ms
ABSENT_S = 66.0   # How long the configuration goes without the service.
JUDGED_S = 20.0


def route(prefix, service):
    return {"name": f"r-{service}-{prefix}", "host": "desk.example",
            "path_prefix": f"/{prefix}/", "kind": "safe", "timeout_ms": 2000,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": 2}


def service(name):
    return {"name": name, "health_check_path": "/health", "connection_limit": 390,
            "protocol": "h1", "tls": False}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [service(name) for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def send(deployment, record, prefix, seconds):
    """Requests on one route. Returns how many were sent and how many served."""
    sent = served = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        request = f"{random.getrandbits(64):016x}"
        gateway = random.randrange(len(deployment.gateway_hosts))
        answer = await call(deployment.gateway_address(gateway), "POST",
                            f"/{prefix}/{random.getrandbits(24):x}",
                            {"Host": "desk.example", "Request-Attempt-Id": request,
                             "Deadline-Ms": "2000"}, b"a question", 2.5)
        record.add(f"client {request} on /{prefix}/ at gateway {gateway}: {answer}")
        sent += 1
        served += answer.status == 200
        await asyncio.sleep(0.1)
    return sent, served


async def play(record):
    deployment = Deployment(record, controls=3, gateways=3, tolerated=1)
    try:
        both = ["branch-desk", "archive"]
        first = [route("desk", "branch-desk"), route("archive", "archive")]
        await deployment.put_configuration(configuration(3, first, both))
        for number in range(6):
            sampler = Sampler(deployment, both[number % 2], ZONES[number % 3], number)
            deployment.samplers.append(sampler)
            await sampler.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        for prefix in ("desk", "archive"):
            sent, served = await send(deployment, record, prefix, 2.0)
            if served < sent:
                raise CannotRun("requests fail without any change")

        if TROUBLE:
            # The samplers of archive go on running and announcing themselves.
            await deployment.put_configuration(
                configuration(8, first[:1], both[:1]))
        await asyncio.sleep(ABSENT_S)
        await deployment.put_configuration(
            configuration(12, first + [route("ledger", "archive")], both))
        await asyncio.sleep(APPLY_S)

        (old_sent, old_served), (new_sent, new_served) = await asyncio.gather(
            send(deployment, record, "desk", JUDGED_S),
            send(deployment, record, "ledger", JUDGED_S))
        record.add(f"first route: {old_served} of {old_sent} served; "
                   f"added route: {new_served} of {new_sent} served")
        if new_sent < 20 or old_served == 0:
            raise CannotRun("too few requests to judge")
        if new_served / new_sent >= 0.25 * old_served / old_sent:
            return []
        return [f"from {APPLY_S} s after the acknowledgement, in steady state, {new_served} of "
                f"{new_sent} requests on the added route were served, and {old_served} of "
                f"{old_sent} on the first route; all 3 samplers of the added route's service "
                f"ran and announced themselves all the while"]
    finally:
        await deployment.close()


run_case(play)
