"""Runs a complete deployment under load; exits with 1 if a promise was broken.

The deployment has three zones, 13 entry instances, 3 control instances, 9
samplers, 3 plain targets and 2 trainers with 512 samples each. During the run
a new weight version is published, an engine and an entry instance are killed,
and other processes are stopped as planned.
"""

import sys
import time

import deployment

USERS = {
    "joto": {
        "folder": "01-joto", "zones": ["kigali-a", "kigali-b", "kigali-c"],
        "pool": "coach-llm", "service": "refill-api",
        "trainers": ["reorder-coach", "dispatch-coach"],
    },
    "hutchworks": {
        "folder": "02-hutchworks", "zones": ["waycross-shop", "valdosta-yard", "tifton-depot"],
        "pool": "quote-tutors", "service": "order-desk",
        "trainers": ["joinery-tutor", "finishes-tutor"],
    },
}

KILL_AT_S = 4.0
STOP_AT_S = 6.0
# Same ratio to the length of a step as weights every 7 minutes to steps of 6
# minutes.
PUBLISH_EVERY_S = 8
LOAD_DURATION_S = 12
STOPPED_PROCESSES = ("entry-3", "service-2", "engine-5", "control-2")


def shape(user):
    return {
        "zones": user["zones"], "entries": 13, "controls": 3, "engines": 9, "services": 3,
        "engine": {"pool": user["pool"], "slots": 16, "weights-version": 1,
                   "token-interval": "2ms", "slowdown": 0.3},
        "service": {"service": user["service"]},
        "store": {"transfer-time": "100ms", "concurrent": 2},
    }


def load_options(d, user):
    names = d.names("entry")
    return {
        "entries": ",".join(d.address(name, deployment.CALLER_PORT) for name in names),
        "readiness": ",".join(d.address(name, deployment.OPERATOR_PORT) for name in names),
        "duration": f"{LOAD_DURATION_S}s", "deadline": "2s",
        "lookups": 200, "lookup-service": user["service"],
        "completions": 5, "completion-service": user["pool"],
        "orders": 20, "order-service": user["service"],
        "order-targets": ",".join(d.address(name, deployment.TARGET_PORT)
                                  for name in d.names("service")),
        "trainer": user["trainers"], "pool": user["pool"], "samples": 512,
        "publish-every": f"{PUBLISH_EVERY_S}s",
    }


def sleep_until(began, seconds):
    time.sleep(max(0, began + seconds - time.monotonic()))


def run(user):
    manifest = (deployment.ROOT / "examples" / user["folder"] / "manifest.json").read_text()
    with deployment.Deployment(shape(user)) as d:
        deployment.wait_for(lambda: d.apply(manifest)[0] == 200, 15, "manifest not accepted")
        d.wait_ready()
        print(f"{len(d.processes)} processes are ready in {len(d.zones)} zones", flush=True)
        began = time.monotonic()
        load = d.start_load("load", load_options(d, user))
        sleep_until(began, KILL_AT_S)
        d.processes["engine-2"].kill()
        d.processes["entry-5"].kill()
        print("killed engine-2 and entry-5", flush=True)
        sleep_until(began, STOP_AT_S)
        codes = {name: d.processes[name].stop(30) for name in STOPPED_PROCESSES}
        print(f"planned stop of {', '.join(STOPPED_PROCESSES)}: exit codes {list(codes.values())}",
              flush=True)
        result = d.result(load, 50)
        print(load.output().rsplit("\n", 2)[0])
        burn = deployment.subprocess.run(
            [deployment.BIN / "limpethatchctl", "burn", "--at", d.operators("entry-1")],
            capture_output=True, text=True)
        print(burn.stdout)
        return result, codes


def broken_promises(result, codes):
    """Returns the names of the promises that were broken."""
    trainers = result["trainers"]
    total = lambda key: sum(trainer[key] for trainer in trainers)
    kinds = [result[kind] for kind in ("lookups", "completions", "orders")]
    checks = {
        "every sample once": total("delivered") == total("asked") and not total("doubled"),
        "no sample older than its bound": not total("stale"),
        "every sample names its versions": not total("mislabelled"),
        "every answer whole and the caller's own": not any(kind["wrong"] for kind in kinds),
        "orders run at most once": not result["orders"].get("ran_twice", 0),
        "\"not run\" is true": not result["orders"].get("false_not_run", 0),
        "a planned stop ends well": not any(codes.values()),
    }
    return [name for name, holds in checks.items() if not holds]


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in USERS:
        sys.exit(f"usage: scripts/demo [{'|'.join(USERS)}]")
    result, codes = run(USERS[sys.argv[1]])
    trainers = result["trainers"]
    print(f"{'trainer':16} {'asked':>6} {'delivered':>9} {'lost':>5} {'doubled':>7} {'stale':>6} "
          f"{'staleness':>9}")
    for trainer in trainers:
        print(f"{trainer['name']:16} {trainer['asked']:6} {trainer['delivered']:9} "
              f"{trainer['lost']:5} {trainer['doubled']:7} {trainer['stale']:6} "
              f"{trainer['staleness_mean']:9.2f}")
    failures = broken_promises(result, codes)
    print("every promise held" if not failures else "BROKEN: " + "; ".join(failures))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
