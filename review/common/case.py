"""Frame of a case: starts the deployment and its samplers, runs the scenario,
ends everything, and turns the outcome into the exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

import deployment
import stand_ins

HOST = "desk.example"
MODEL = "model-a"
MODELS = [MODEL, "model-b", "model-c"]
ROLLOUT_PREFIX = "/roll/"
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2
# With the start of the deployment below the 120 s that a script may take.
SCENARIO_LIMIT_S = 85
IDLE_S = 5.0  # Of the rule LOST: "has been at no sampler for 5 s".


class Case:
    """What a scenario works with."""

    def __init__(self, folder, gateways, engines, result_deadline_ms, event_gap,
                 single_version, models):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = stand_ins.Record(pathlib.Path(folder) / "record.txt")
        logs = os.environ.get("REVIEW_LOGS")
        self.system = deployment.Deployment(gateways, pathlib.Path(logs) if logs else None)
        self.control = stand_ins.ControlCaller(self.system.seeds)
        self.engines = [
            stand_ins.Sampler(self.record, self.control, f"{self.system.subnet}.{100 + i}",
                              self.system.front_port, "tutors", deployment.ZONES[i % 3],
                              models=models, event_gap=event_gap) for i in range(engines)]
        self.result_deadline_ms = result_deadline_ms
        self.single_version = single_version
        self.models = models
        self.plain = []
        self.client = stand_ins.Client(
            self.record, [f"{g.ip}:{self.system.front_port}" for g in self.system.gateways], HOST)

    async def prepare(self):
        self.system.start()
        document = stand_ins.configuration(1, HOST, self.models, self.result_deadline_ms,
                                           self.single_version)
        for _ in range(40):
            status, _, _ = await self.control.call("PUT", "/v1/configuration", document)
            if status == 200:
                break
            await asyncio.sleep(0.25)
        else:
            raise deployment.CannotRun("the configuration was not acknowledged")
        for engine in self.engines:
            await engine.start()
        await asyncio.to_thread(self.system.wait_until_ready)
        # All machines are in touch from here on.
        await asyncio.sleep(deployment.BOUNDS["contact_ms"] / 1000 + 1)
        self.record.write("the deployment is ready")

    async def add_plain(self, count, **options):
        """Starts samplers of the plain service."""
        for i in range(count):
            sampler = stand_ins.Sampler(
                self.record, self.control, f"{self.system.subnet}.{150 + i}",
                self.system.front_port, "desk", deployment.ZONES[i % 3], is_engine=False, slots=6,
                **options)
            self.plain.append(sampler)
            await sampler.start()

    def check_alive(self):
        for machine in self.system.machines():
            if not machine.running():
                raise deployment.CannotRun(f"{machine.name} is not running")

    def judge_step(self, items, results, submitted):
        """Applies the rule LOST to a step that has run out of time now.

        Returns the items that break it, and how many unlisted items were finished.
        """
        now = self.record.now()
        finished, last_end, busy_until = {}, {}, submitted
        places = running = 0
        for engine in self.engines:
            finished.update(engine.finished)
            running += len(engine.running)
            places += engine.slots if engine.server.is_serving() else 0
            busy_until = max([busy_until, *engine.last_run_end.values()])
            for item, ended in engine.last_run_end.items():
                last_end[item] = max(last_end.get(item, 0), ended)
        unlisted = [item for item in items if item not in results]
        whole = [item for item in unlisted if item in finished]
        lost = [item for item in unlisted if item not in finished
                and now - last_end.get(item, submitted) >= IDLE_S]
        self.record.write(f"the step has run out of time: {len(results)} of {len(items)} items "
                          f"are listed, {len(whole)} more were finished by samplers")
        self.record.write(f"{running} of {places} places are taken; the last run at any sampler "
                          f"ended {now - busy_until:.1f} s ago")
        for item in lost:
            self.record.write(f"{item}: finished by no sampler, at none for "
                              f"{now - last_end.get(item, submitted):.1f} s")
        # Half full at no time of the 5 s: here, no sampler has run anything.
        if running or now - busy_until < IDLE_S:
            return [], whole
        return lost, whole

    async def close(self):
        for sampler in self.engines + self.plain:
            await sampler.stop()
        self.system.stop()


async def run_scenario(scenario, case):
    try:
        await case.prepare()
        verdict = await asyncio.wait_for(scenario(case), SCENARIO_LIMIT_S)
    except asyncio.TimeoutError:
        case.record.write("could not run: the scenario took too long")
        return COULD_NOT_RUN
    except deployment.CannotRun as problem:
        case.record.write(f"could not run: {problem}")
        print(f"could not run: {problem}")
        return COULD_NOT_RUN
    finally:
        await case.close()
    case.record.write("the rule was broken" if verdict else "the rule was kept")
    print("the rule was broken: " + verdict if verdict else "the rule was kept")
    return BROKEN if verdict else KEPT


def main(scenario, folder, gateways, engines, result_deadline_ms=7500, event_gap=0.04,
         single_version=False, models=(MODEL,)):
    """Runs `scenario`, which returns how the rule was broken, or None."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        case = Case(folder, gateways, engines, result_deadline_ms, event_gap, single_version,
                    models)
        code = asyncio.run(run_scenario(scenario, case))
    except deployment.CannotRun as problem:
        print(f"could not run: {problem}")
        code = COULD_NOT_RUN
    except Exception:  # A fault of the script must not look like a broken rule.
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)
