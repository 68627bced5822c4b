"""Measurements of the experiments, one function of the same name for each.

Each function takes the settings and a function that opens a Run, and returns
figures (name to number) and promises (name to true or false).
"""

import copy
import json
import time

import deployment
from figures_control import chaos, config, control_cost, disk, isolated_control


# Shared ----------------------------------------------------------------------

def trainer_promises(result):
    """Whether the guarantees about samples held, over all trainers of a load."""
    trainers = result["trainers"]
    count = lambda key: sum(trainer[key] for trainer in trainers)
    return {
        "every_sample_once": count("lost") == 0 and count("doubled") == 0
                             and count("delivered") == count("asked"),
        "no_sample_too_old": count("stale") == 0,
        "labels_true": count("mislabelled") == 0,
        "samples_whole": count("corrupt") == 0,
    }


def trainer_figures(result):
    trainers = result["trainers"]
    count = lambda key: sum(trainer[key] for trainer in trainers)
    seconds = [s for trainer in trainers for s in trainer["step_seconds"]]
    return {"lost": count("lost"), "doubled": count("doubled"), "stale": count("stale"),
            "mislabelled": count("mislabelled"), "corrupt": count("corrupt"),
            "step_seconds": round(max(seconds, default=0), 3),
            "staleness_mean": round(sum(t["staleness_mean"] for t in trainers) / len(trainers), 3)}


def live_promises(result):
    kinds = [result[kind] for kind in ("lookups", "completions", "orders")]
    return {"whole_own_answers": all(kind["wrong"] == 0 for kind in kinds)}


def ideal_step_seconds(result, engine, engines, live_slots=1):
    """Lower bound on step time: max(total work / slots, longest sample alone)."""
    interval = duration(engine["token-interval"])
    tokens = sum(trainer["tokens"] for trainer in result["trainers"])
    longest = max(trainer["longest_sample"] for trainer in result["trainers"])
    full = interval * (1 + float(engine["slowdown"]))
    slots = engines * (int(engine["slots"]) - live_slots)
    return max(tokens * full / slots, longest * interval)


def duration(text):
    units = {"us": 1e-6, "ms": 1e-3, "s": 1.0}
    for unit in ("us", "ms", "s"):
        if text.endswith(unit):
            return float(text[:-len(unit)]) * units[unit]
    raise ValueError(text)


# Experiments -----------------------------------------------------------------

def crash(settings, open_run):
    with open_run() as run:
        result = run.run_loads()["load"]
    values = trainer_figures(result)
    ideal = ideal_step_seconds(result, settings["deployment"]["engine"],
                               settings["deployment"]["engines"])
    values["idle_ratio"] = round(values["step_seconds"] / ideal, 3)
    return values, trainer_promises(result)


def orders(settings, open_run):
    unguarded = copy.deepcopy(settings)
    unguarded["manifest"]["services"]["refill-api"]["non_idempotent_paths"] = []
    results, baseline = run_order_loads(settings, open_run), run_order_loads(unguarded, open_run)
    total = lambda key, of: sum(of[name]["orders"].get(key, 0) for name in of)
    lookups = results["cut"]["lookups"]
    resends = total("resends", results)
    values = {
        "orders": total("asked", results),
        "answered": total("answered", results),
        "ran_twice": total("ran_twice", results),
        "baseline_ran_twice": total("ran_twice", baseline),
        "false_not_run": total("false_not_run", results),
        "false_answer": total("false_answer", results),
        "resend_answered": round(total("resends_answered", results) / max(1, resends), 4),
        "answered_in_cut_zone": round(lookups["answered"] / max(1, lookups["asked"]), 4),
    }
    known = all(result["orders"]["runs_known"] for result in results.values())
    print({name: result["orders"]["refused_by_code"] for name, result in results.items()})
    return values, {"runs_known": known, **live_promises(results["all"])}


def run_order_loads(settings, open_run):
    with open_run(settings) as run:
        d = run.deployment
        services = ",".join(d.address(name, deployment.TARGET_PORT)
                            for name in d.names("service"))
        loads = {name: {**options, "order-targets": services}
                 for name, options in settings["loads"].items()}
        return run.run_loads(loads)


def overload(settings, open_run):
    """Goodput during a burst of three times the capacity, and the recovery time."""
    values, promises = {}, {}
    for prefix, variant in (("", settings),
                            ("baseline_", entry_baseline(settings, admission="none"))):
        with open_run(variant) as run:
            result = run.run_loads()["load"]
        lookups = result["lookups"]
        load = settings["loads"]["load"]
        start, length = int(duration(load["burst-start"])), int(duration(load["burst-length"]))
        asked = lookups["asked_per_second"]
        answered = lookups["answered_per_second"] + [0] * len(asked)
        capacity = service_capacity(settings["deployment"])
        in_burst = answered[start + 1:start + length]
        after = range(start + length, min(len(asked), int(duration(load["duration"]))))
        recovery_s = next((i - start - length for i in after
                           if answered[i] >= 0.95 * asked[i]), len(after))
        values[prefix + "goodput_ratio"] = round(sum(in_burst) / len(in_burst) / capacity, 3)
        values[prefix + "recovery_s"] = recovery_s
        print(prefix, "asked", asked, "answered", answered, lookups["refused_by_code"])
        if not prefix:
            # Work refused as not run that ran nevertheless shows as work beyond the answers.
            values["not_run_refusals"] = sum(count for code, count in
                                             lookups["refused_by_code"].items()
                                             if code.endswith("/not_run"))
            promises = live_promises(result)
    return values, promises


def service_capacity(shape):
    service = shape["service"]
    return shape["services"] * int(service["slots"]) / duration(service["latency"])


def gray(settings, open_run):
    values, promises = {}, {}
    for prefix, variant in (("", settings),
                            ("baseline_", entry_baseline(settings, routing="round_robin"))):
        with open_run(variant) as run:
            healthy = run.run_loads()["load"]["lookups"]
            for fault in settings["slowdown"]:
                run.inject_fault(fault)
            onset = run.run_loads({"onset": settings["onset"]})["onset"]["lookups"]
            result = run.run_loads()["load"]
        values[prefix + "p99_ratio"] = round(result["lookups"]["p99_ms"] / healthy["p99_ms"], 3)
        values[prefix + "p99_ms"] = round(result["lookups"]["p99_ms"], 2)
        if not prefix:
            values["onset_p99_ms"] = round(onset["p99_ms"], 2)
            values["well_p99_ms"] = round(healthy["p99_ms"], 2)
            promises = live_promises(result)
    return values, promises


def live(settings, open_run):
    """Latency of live requests on idle engines and while a step fills the engines."""
    values, promises = {}, {}
    loads = settings["phases"]
    for prefix, variant in (("", settings),
                            ("baseline_", entry_baseline(settings, live_first=False))):
        with open_run(variant) as run:
            # The system learns the length of samples from the first step.
            run.run_loads({"first": {**loads["step"], "run": "first-"}})
            idle = run.run_loads({"idle": loads["live"]})["idle"]
            alone = run.run_loads({"alone": loads["step"]})["alone"]
            both = run.run_loads({"live": loads["live"], "step": {**loads["step"], "run": "both-"}})
        for kind in ("lookups", "completions"):
            values[f"{prefix}{kind}_p99_ratio"] = round(
                both["live"][kind]["p99_ms"] / idle[kind]["p99_ms"], 3)
        values[prefix + "p99_ratio"] = max(values[f"{prefix}{kind}_p99_ratio"]
                                           for kind in ("lookups", "completions"))
        values[prefix + "step_slowdown"] = round(
            trainer_figures(both["step"])["step_seconds"] /
            trainer_figures(alone)["step_seconds"], 3)
        if not prefix:
            values["idle_p99_ms"] = idle["completions"]["p99_ms"]
            values["wrong_answers"] = sum(both["live"][kind]["wrong"]
                                          for kind in ("lookups", "completions"))
            values["refused"] = both["live"]["completions"]["refused"]
            promises = {**live_promises(both["live"]), **trainer_promises(both["step"])}
    return values, promises


def completions(settings, open_run):
    """Live streams while engines crash."""
    with open_run() as run:
        result = run.run_loads()["load"]
    counts = result["completions"]
    print(counts["refused_by_code"], counts["wrong_by_cause"])
    return {"asked": counts["asked"],
            "answered_ratio": round(counts["answered"] / max(1, counts["asked"]), 4),
            "wrong_answers": counts["wrong"], "cut_off": counts["cut_off"],
            "p99_ms": counts["p99_ms"]}, live_promises(result)


def poison(settings, open_run):
    """A request that crashes targets is resent repeatedly through all instances."""
    values, promises = {}, {}
    for prefix, variant in (("", settings),
                            ("baseline_", entry_baseline(settings, poison_guard=False))):
        with open_run(variant) as run:
            load = run.start_load("load", settings["innocents"])
            time.sleep(1)
            outcomes = {kind: send_poison(run.deployment, kind, settings["resends"])
                    for kind in ("engine", "service")}
            result = run.deployment.result(load)
            crashed = {kind: sum(len([e for e in log_events(run, name) if e["event"] == "crashed"])
                                 for name in run.deployment.names(kind)) for kind in outcomes}
        failures = sum(result[kind]["asked"] - result[kind]["answered"]
                       for kind in ("lookups", "completions"))
        print(prefix, outcomes, crashed, result["lookups"]["refused_by_code"],
              result["completions"]["refused_by_code"])
        values[prefix + "targets_crashed"] = max(crashed.values())
        values[prefix + "innocent_failures"] = failures
        if not prefix:
            promises = live_promises(result)
    return values, promises


def send_poison(d, kind, count):
    """Sends poison requests, half of them with new ids; returns how often each
    outcome came back.
    """
    outcomes = {}
    entries = d.callers()
    for number in range(count):
        headers = {"X-Request-Id": f"poison-{number if number % 2 else 0}",
                   "X-Request-Timeout-Ms": "3000"}
        path, body = ("/svc/refill-api/quote", "POISON") if kind == "service" else (
            "/v1/completions", {"model": "coach-llm", "prompt": "POISON", "seed": 1,
                                "max_tokens": 64})
        try:
            status, answer = deployment.call(entries[number % len(entries)], "POST", path, body,
                                             headers)
            code = answer["error"]["code"] if status >= 400 else "answered"
        except OSError:
            code = "no answer"
        outcomes[code] = outcomes.get(code, 0) + 1
        if code != "poison_request" and number > 5:
            time.sleep(0.05)
        if all(not d.processes[name].running() for name in d.names(kind)):
            break
    return outcomes


def silent(settings, open_run):
    values, promises = {}, {}
    for prefix, variant in (("", settings),
                            ("baseline_", entry_baseline(settings, silence_detection=False))):
        result = run_order_loads(variant, open_run)["load"]
        lookups, counts = result["lookups"], result["orders"]
        print(prefix, lookups["refused_by_code"], counts["refused_by_code"],
              lookups["not_sent"], counts["not_sent"])
        answered = lookups["answered"] + counts["answered"]
        values[prefix + "answered"] = round(answered / (lookups["asked"] + counts["asked"]), 4)
        values[prefix + "detect_s"] = round(lookups["max_ms"] / 1000, 3)
        if not prefix:
            values["ran_twice"] = counts.get("ran_twice")
            promises = {**live_promises(result), "runs_known": counts["runs_known"]}
    return values, promises


def zone_cut(settings, open_run):
    """Each zone is cut off in turn while callers in all zones send requests."""
    with open_run() as run:
        zones = run.deployment.zones
        loads = {zone: {**settings["each"], "zone": zone} for zone in zones}
        results = run.run_loads(loads)
    local = {zone: result["lookups"]["answered"] / result["lookups"]["asked"]
             for zone, result in results.items()}
    print({zone: result["lookups"]["refused_by_code"] for zone, result in results.items()})
    cut_seconds = settings["heal_at"]
    heal = max(order_recovery_seconds(results[zone]["orders"], cut_seconds[zone]) for zone in zones)
    promises = {f"{zone}_{key}": kept for zone, result in results.items()
                for key, kept in live_promises(result).items()}
    return {"local_success": round(min(local.values()), 4), "heal_s": heal}, promises


def order_recovery_seconds(counts, healed_at):
    """Seconds after the heal until at least 90% of the orders are answered."""
    answered, asked = counts["answered_per_second"], counts["asked_per_second"]
    for second in range(healed_at, len(asked)):
        if second < len(answered) and answered[second] >= 0.9 * asked[second]:
            return second - healed_at + 1
    return len(asked) - healed_at + 1


def entry_baseline(settings, **changes):
    """Copies the settings with a baseline policy for the entry instances."""
    changed = copy.deepcopy(settings)
    changed["deployment"].setdefault("entry_settings", {}).update(changes)
    return changed


def leaving(settings, open_run):
    """Planned stop of a target and an entry instance under load."""
    with open_run() as run:
        result = run.run_loads()["load"]
        events = log_events(run, settings["leaver"])
        reports = [line for line in events if line["event"] == "left"]
        codes = [code == 0 for code in run.exit_codes.values()]
    print({kind: result[kind]["refused_by_code"] for kind in ("lookups", "completions")})
    values = {"cut_off": result["lookups"]["cut_off"] + result["completions"]["cut_off"],
              "refused": result["lookups"]["refused"] + result["completions"]["refused"],
              "last_new_work_s": reports[-1]["last_work_ms"] / 1000 if reports else None}
    return values, {**live_promises(result), "exit_codes_zero": all(codes)}


def log_events(run, name):
    """Reads the log of `name`: programs log to standard output, stand-ins to standard error."""
    folder = run.deployment.folder
    lines = [line for kind in ("log", "out")
             for line in (folder / f"{name}.{kind}").read_text().splitlines()]
    return [json.loads(line) for line in lines if line.startswith("{")]


def weights(settings, open_run):
    with open_run() as run:
        watch = VersionMonitor(run, "coach-llm")
        result = run.run_loads()["load"]
        delays = watch.finish()
    values = trainer_figures(result)
    values["versions_seen"] = len(delays)
    values["all_samplers_s"] = round(max(delays, default=0), 2) if delays else None
    return values, {**trainer_promises(result), **live_promises(result)}


class VersionMonitor:
    """Measures how long each declared version takes to be loaded by every sampler."""

    def __init__(self, run, pool):
        import threading
        self.run, self.pool = run, pool
        self.declared, self.loaded = {}, {}
        self.ended = False
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def _watch(self):
        d = self.run.deployment
        while not self.ended:
            now = time.monotonic()
            pools = {p["pool"]: p["version"] for p in d.status()["pools"]}
            declared_version = pools.get(self.pool, 0)
            self.declared.setdefault(declared_version, now)
            engines = [t for t in d.targets() if t["service"] == self.pool]
            lowest = min((t["version"] for t in engines), default=0)
            for version in self.declared:
                if lowest >= version:
                    self.loaded.setdefault(version, now)
            time.sleep(0.1)

    def finish(self):
        self.ended = True
        self.thread.join(5)
        return [self.loaded[v] - t for v, t in self.declared.items() if v > 1 and v in self.loaded]


# Imported last because figures_rollouts uses the functions above.
from figures_rollouts import step  # noqa: E402,F401
