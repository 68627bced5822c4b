"""MIXED: items are given up at once when max_queue_s is large."""

import asyncio
import base64
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from case import TROUBLE, run_case  # noqa: E402
from deployment import CannotRun, Deployment, ZONES, call  # noqa: E402
from samplers import Sampler, whole_text  # noqa: E402

USUAL_QUEUE_S = 40.0
NEW_QUEUE_S = 9999999999.0 if TROUBLE else 80.0
APPLY_S = 2.5     # configuration_apply_ms
EVENTS = 12       # Mean number of events of an item.


def configuration(version, max_queue_s):
    return {
        "version": version,
        "routes": [{"name": "r-lots", "host": "lots.example", "path_prefix": "/lots/",
                    "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 500,
                    "priority": 0, "service": "tutors", "max_attempts": 3,
                    "max_queue_s": max_queue_s, "result_deadline_ms": 7500,
                    "single_version": False, "session_affinity": True,
                    "resumable": True}],
        "services": [{"name": "tutors", "health_check_path": "/health",
                      "connection_limit": 430, "protocol": "h1", "tls": False,
                      "engine": {"slots": 8, "kv_cache_tokens": 72265,
                                 "kv_token_bytes": 18432, "link_mbps": 2900000.0,
                                 "stride": 43, "models": [{"name": "m0"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def run_step(deployment, record, step, seconds=12.0):
    """A trainer's step: submits a batch job and reads it. Returns its results,
    each with the time since the submission."""
    job = f"{random.getrandbits(64):016x}"
    items = [{"id": f"{random.getrandbits(64):016x}", "path": f"/lots/{step}/{number}",
              "headers": {"Model": "m0", "Token-Counts": "16,900",
                          "Prompt-Prefix": "9c2e41:16"},
              "body": base64.b64encode(b"a receipt").decode(), "tokens": 916,
              "group": f"g{step}-{number // 8}"} for number in range(64)]
    body = json.dumps({"step": step, "model": "m0", "min_version": 1,
                       "group_count": 8, "items": items}).encode()
    started = time.monotonic()
    answer = await call(deployment.gateway_address(step % 2), "POST", f"/lots/{job[:6]}",
                        {"Host": "lots.example", "Request-Attempt-Id": job,
                         "Content-Type": "application/json"}, body, 4.0)
    record.add(f"trainer: step {step}, batch job {job} with {len(items)} items: {answer}")
    if answer.status != 202:
        raise CannotRun("a batch job was not accepted")
    results = []
    while len(results) < len(items) and time.monotonic() < started + seconds:
        page = await call(deployment.gateway_address(random.randrange(2)), "GET",
                          f"/v1/lots/{job}?after={len(results)}",
                          {"Host": "lots.example", "Wait-Ms": "500"}, b"", 2.0)
        if page.status == 200:
            after = time.monotonic() - started
            results += [(result, after) for result in page.json()["results"]]
        await asyncio.sleep(0.1)
    for result, after in results:
        record.add(f"trainer: item {result['id']} is {result['state']} after {after:.2f} s")
    await call(deployment.gateway_address(0), "DELETE", f"/v1/lots/{job}",
               {"Host": "lots.example"}, b"", 3.0)
    return results


async def play(record):
    deployment = Deployment(record, controls=3, gateways=2, tolerated=1)
    try:
        await deployment.put_configuration(configuration(3, USUAL_QUEUE_S))
        for number in range(3):
            sampler = Sampler(deployment, "tutors", ZONES[number], number, slots=8,
                              models=["m0"], event_s=0.06, events=EVENTS)
            deployment.samplers.append(sampler)
            await sampler.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        before = await run_step(deployment, record, 0)
        if len(before) < 64 or any(result["state"] == "dead" for result, _ in before):
            raise CannotRun("items fail without any change")

        record.add(f"operator: the configuration changes: max_queue_s {NEW_QUEUE_S}")
        change = await deployment.control_call(
            "PUT", "/v1/configuration", configuration(8, NEW_QUEUE_S))
        if change.status != 200:
            return []  # Refused, and so not in force.
        await asyncio.sleep(APPLY_S)
        dead, whole = [], 0
        for step in range(1, 4):
            for result, after in await run_step(deployment, record, step):
                if result["state"] == "dead" and after < NEW_QUEUE_S:
                    dead.append((result["id"], after))
                whole += result["state"] == "completed" and (
                    result["text"] == whole_text(result["id"], EVENTS))
        if not dead:
            return []
        return [f"{len(dead)} of 192 items are dead, the first {dead[0][1]:.2f} s after "
                f"its batch job was submitted, before max_queue_s ({NEW_QUEUE_S:.0f}), with "
                f"no 422 or 500 from a sampler, and before the end of the job; {whole} "
                f"are whole"]
    finally:
        await deployment.close()


run_case(play)
