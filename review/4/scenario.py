"""Control forgets that a sampler has left when all its processes are killed at once."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import case  # noqa: E402
import stand_ins  # noqa: E402

RESTART_S = 0.8
DRAIN_S = 2.0
CONTACT_S = 3.0


async def scenario(work):
    record, leaving = work.record, work.engines[0]
    # The sampler is one of those that send DELETE first and go on serving.
    leaving.stop_heartbeats()
    node = await leaving.leave()
    if not node:
        raise case.deployment.CannotRun("the sampler's DELETE was not acknowledged")
    acknowledged = record.now()
    record.write(f"sampler {leaving.id} has left: {node} acknowledged its DELETE")
    if work.trouble:
        for machine in work.system.controls:
            machine.kill()
        record.write("all processes that serve control were killed")
        await asyncio.sleep(RESTART_S)
        for machine in work.system.controls:
            machine.start(work.system, bootstrap=False)
    in_touch = record.now() + CONTACT_S
    await asyncio.sleep(CONTACT_S + 0.5)
    record.write("all machines are in touch again")

    job = stand_ins.fresh_id()
    body = stand_ins.make_job(case.ROLLOUT_PREFIX, case.MODEL, 0, 1, 18, 4)
    if await work.client.submit(0, job, case.ROLLOUT_PREFIX, body) != 202:
        raise case.deployment.CannotRun("the batch job was not accepted")
    await asyncio.sleep(3)
    await work.client.end(0, job)
    work.check_alive()
    late = [at for at, _, _ in leaving.runs if at > max(acknowledged + DRAIN_S, in_touch)]
    others = sum(len(engine.runs) for engine in work.engines[1:])
    record.write(f"{len(late)} items ran at the sampler that had left, {others} at the others")
    if not others:
        raise case.deployment.CannotRun("no item ran")
    if not late:
        return None
    return (f"DRAIN: {len(late)} items reached a sampler later than {DRAIN_S:.0f} s after its "
            f"DELETE was acknowledged, the first {min(late) - acknowledged:.1f} s after it")


case.main(scenario, pathlib.Path(__file__).resolve().parent, gateways=3, engines=6)
