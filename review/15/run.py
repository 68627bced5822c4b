"""DENIED: requests on a route below /v1/ are answered 404."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from case import TROUBLE, run_case  # noqa: E402
from deployment import CannotRun, Deployment, ZONES, call  # noqa: E402
from samplers import Sampler  # noqa: E402

PREFIX = "/v1/" if TROUBLE else "/shop/"
APPLY_S = 2.5  # configuration_apply_ms


def route(name, host, prefix, kind, service):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 2000, "target_latency_ms": 150, "priority": 2,
            "service": service, "max_attempts": 2}


def configuration(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "branch-desk", "health_check_path": "/health",
                          "connection_limit": 390, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def send(deployment, record, host, path, count):
    answers = []
    for _ in range(count):
        request = f"{random.getrandbits(64):016x}"
        gateway = random.randrange(len(deployment.gateway_hosts))
        answer = await call(deployment.gateway_address(gateway), "GET",
                            f"{path}{random.getrandbits(24):x}",
                            {"Host": host, "Request-Attempt-Id": request,
                             "Deadline-Ms": "2000"}, b"", 2.5)
        record.add(f"client {request} GET {host}{path}: {answer} "
                   f"stamp {answer.headers['server-stamp'] or 'none'}")
        answers.append(answer)
        await asyncio.sleep(0.03)
    return answers


async def play(record):
    deployment = Deployment(record, controls=3, gateways=3, tolerated=1)
    try:
        desk = route("r-desk", "desk.example", "/desk/", "safe", "branch-desk")
        await deployment.put_configuration(configuration(3, [desk]))
        for number in range(3):
            sampler = Sampler(deployment, "branch-desk", ZONES[number], number)
            deployment.samplers.append(sampler)
            await sampler.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        before = await send(deployment, record, "desk.example", "/desk/", 20)
        if any(answer.status != 200 for answer in before):
            raise CannotRun("requests fail without any change")

        # The configuration changes: a route for another host is added.
        shop = route("r-shop", "shop.example", PREFIX, "safe", "branch-desk")
        change = await deployment.control_call(
            "PUT", "/v1/configuration", configuration(8, [desk, shop]))
        record.add(f"operator: the change is answered {change.status}")
        if change.status != 200:
            return []
        await asyncio.sleep(APPLY_S)
        answers = []
        for path in ("orders/", "items/", "lots/"):
            answers += await send(deployment, record, "shop.example", PREFIX + path, 40)
        denied = [answer for answer in answers if 300 <= answer.status < 500
                  and answer.status not in (408, 421, 429)
                  and not answer.headers["server-stamp"]]
        total = len(before) + len(answers)
        if len(denied) <= 5 + total / 500:
            return []
        return [f"{len(denied)} of {total} requests were answered "
                f"{sorted({answer.status for answer in denied})} by the system, though the "
                f"acknowledged configuration has a route for all of them"]
    finally:
        await deployment.close()


run_case(play)
