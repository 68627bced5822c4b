"""On a route with `single_version`, items whose sampler is lost are never run again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import case  # noqa: E402
import stand_ins  # noqa: E402

ENGINES = 3
GROUPS, GROUP_SIZE = 9, 4
DEADLINE_S = 7.5     # result_deadline_ms of the route.
AFTER_NAMING_S = 7.0  # "no version was named then or in the 6 s before"
CRASH_AFTER_S = 0.6


async def scenario(work):
    record = work.record
    status, _, _ = await work.control.call(
        "POST", "/v1/version-put", {"model": case.MODEL, "version": 2})
    if status != 200:
        raise case.deployment.CannotRun("version 2 was not acknowledged")
    record.write("the trainer has named version 2")
    await asyncio.sleep(AFTER_NAMING_S)
    record.write("versions: " + ", ".join(f"{e.id} {e.versions[case.MODEL]}" for e in work.engines))
    former = [engine for engine in work.engines if engine.versions[case.MODEL] == 1]
    if len(former) != 1:
        raise case.deployment.CannotRun(f"{len(former)} samplers have version 1")

    job = stand_ins.fresh_id()
    body = stand_ins.make_job(case.ROLLOUT_PREFIX, case.MODEL, 1, 1, GROUPS, GROUP_SIZE)
    groups = {}
    for item in body["items"]:
        groups.setdefault(item["group"], set()).add(item["id"])
    submitted = record.now()
    if await work.client.submit(0, job, case.ROLLOUT_PREFIX, body) != 202:
        raise case.deployment.CannotRun("the batch job was not accepted")
    await asyncio.sleep(CRASH_AFTER_S)
    if work.trouble:
        record.write(f"sampler {former[0].id} crashes for good, "
                     f"{len(former[0].running)} items run there")
        former[0].restart_s = 3600
        former[0].crash()

    results, gateway = {}, 0
    while record.now() < submitted + DEADLINE_S:
        gateway = (gateway + 1) % len(work.system.gateways)
        _, page = await work.client.read(gateway, job, len(results))
        for result in page["results"] if page else []:
            results[result["id"]] = result
            record.write(f"read {result['id']}: {result['state']} {result['versions']}")
        if all(ids <= results.keys() for ids in groups.values()):
            record.write("the trainer has read all groups")
            return None
        await asyncio.sleep(0.5)
    work.check_alive()
    lost, _ = work.judge_step([item["id"] for item in body["items"]], results, submitted)
    if not lost:
        return None
    return (f"LOST: the step ran out of time while {len(lost)} items, which no sampler has "
            "finished, were at none for 5 s")


case.main(scenario, pathlib.Path(__file__).resolve().parent, gateways=3, engines=ENGINES,
          single_version=True)
