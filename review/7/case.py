"""Samplers spoil the weight version of one answer in fifty."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import harness as h

MODELS = ("m0", "m1", "m2")  # Three models are trained, as on the Hutchworks sheet.
SAMPLERS = 9
LOAD_S = 0.9
ITEMS, GROUP_SIZE = 208, 8
SPOILED_ANSWER = 50  # Of each faulty sampler.
MAX_SPOILED_SHARE = 0.02
MAX_FAULTY_SHARE = 0.35
TRUE_VERSION, SPOILED_VERSION = 2, 9
TRAINER_DEADLINE_S = 12.0
STEADY_S = 5.0


class Sampler(h.Sampler):
    """A sampler with several models, each with a weight version of its own."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.versions = {model: 1 for model in MODELS}
        self.loading = None
        self.answers = 0
        self.spoiled = 0

    def models(self):
        return [{"name": model, "version": version, "adapters": []} for model, version in self.versions.items()]

    def beat(self):
        return json.dumps({**json.loads(super().beat()), "models": self.models()}).encode()

    async def answer(self, writer, method, path, headers, body):
        if path == "/v1/report" and headers.get("expect-instance", self.id) == self.id:
            return await self.respond(writer, 200, [("Content-Type", "application/json")], json.dumps({
                "stage": "both", "models": self.models(), "busy": self.loading is not None,
                "sequence": self.orders, "waiting_requests": 0, "running_requests": len(self.running),
                "kv_used": 0, "kv_total": 80959, "handles": 0}).encode())
        model = headers.get("model")
        if model and model == self.loading:
            return await self.respond(writer, 503, [("Not-Run", "1")])
        expected = headers.get("expect-version")
        if model and expected and int(expected) != self.versions[model]:
            self.deployment.record(f"{self.id} has version {self.versions[model]} of {model}, not {expected}: 421")
            return await self.respond(writer, 421, [("Instance-Id", self.id), ("Not-Run", "1")])
        return await super().answer(writer, method, path, headers, body)

    async def obey(self, writer, order):
        if order["fencing_token"] < self.fence:
            return await self.respond(writer, 412)
        self.fence = order["fencing_token"]
        if order["version"] == self.versions[order["model"]]:
            return await self.respond(writer, 200)
        if self.loading or order.get("expected", self.orders) != self.orders:
            return await self.respond(writer, 409)
        self.orders += 1
        self.loading = order["model"]
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order["model"], order["version"])
        return await self.respond(writer, 202)

    def loaded(self, model, version):
        self.versions[model] = version
        self.loading = None
        self.deployment.record(f"{self.id} has loaded version {version} of {model}")


async def behaviour(sampler, writer, method, path, headers, body, attempt):
    sampler.answers += 1
    sampler.version = sampler.versions[headers["model"]]
    if h.TROUBLE and sampler in sampler.deployment.faulty and sampler.answers == SPOILED_ANSWER:
        sampler.version = SPOILED_VERSION
        sampler.spoiled += 1
        sampler.deployment.record(f"{sampler.id} spoils its answer to {attempt}: Weight-Versions: {SPOILED_VERSION}")
    return await sampler.stream(writer, headers, attempt, h.events_of(attempt), 0.03)


async def scenario(d):
    h.Sampler = Sampler
    d.faulty = []
    await d.start()
    d.behaviour = behaviour
    samplers = await d.add_samplers("pool", SAMPLERS, engine=True)
    service = h.engine_service("pool")
    service["engine"]["models"] = [{"name": model} for model in MODELS]
    await d.configure(1, [h.rollout_route(service="pool")], [service])
    await d.wait_ready()
    await asyncio.sleep(3)
    for model in MODELS:
        await d.operator("POST", "/v1/version-put", {"model": model, "version": TRUE_VERSION})
    await asyncio.sleep(9)
    d.faulty = [s for s in samplers if s.versions["m0"] == TRUE_VERSION]
    d.record(f"{len(d.faulty)} of {SAMPLERS} samplers have version {TRUE_VERSION} of m0")
    if not 0 < len(d.faulty) <= MAX_FAULTY_SHARE * SAMPLERS:
        raise h.CannotRun("the versions are not spread as expected")

    items = [h.item(f"item-{i}", f"group-{i // GROUP_SIZE}") for i in range(ITEMS)]
    ids = {item["id"] for item in items}
    sent = time.monotonic()
    await d.submit("step", items, group_count=ITEMS // GROUP_SIZE * 9 // 10, min_version=TRUE_VERSION)
    results = await d.read_results("step", sent + TRAINER_DEADLINE_S, ITEMS)
    given_up = time.monotonic()
    running = sum(len(s.running) for s in samplers)
    await d.end_job("step")

    listed = {result["id"] for result in results}
    began = {}
    for at, attempt, _ in d.runs:
        began[attempt] = at
    last = max(at for attempt, at in began.items() if attempt in ids)
    owed = [name for name in ids - listed if given_up - began.get(name, sent) >= STEADY_S]
    answers, spoiled = sum(s.answers for s in d.faulty), sum(s.spoiled for s in d.faulty)
    d.record(f"{len(results)} of {ITEMS} items listed; {len(ids & set(began))} had begun, the last one "
             f"{given_up - last:.1f} s before the end; {running} requests run at {SAMPLERS} samplers; "
             f"versions of m0: {[s.versions['m0'] for s in samplers]}")
    d.record(f"{spoiled} of {answers} answers of {len(d.faulty)} samplers were spoiled; {len(owed)} items are owed")
    if h.TROUBLE and not 0 < spoiled <= MAX_SPOILED_SHARE * answers:
        raise h.CannotRun("the share of spoiled answers is not as planned")
    return not (owed and given_up - last >= 3 and running < SAMPLERS * 12 / 2)


h.main(__file__, scenario)
