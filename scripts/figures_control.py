"""Measurements of the experiments on the control group and the configuration."""

import collections
import copy
import http.client
import json
import os
import pathlib
import random
import resource
import shutil
import threading
import time

import deployment


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


class ManifestMonitor:
    """Polls the manifest that each entry instance serves.

    Records when each instance first served each version, and counts reverts to
    an older version, including those across restarts.
    """

    PERIOD_S = 0.03

    def __init__(self, run):
        self.run, self.ended = run, False
        self.names = run.deployment.names("entry")
        self.observed = {name: [] for name in self.names}  # (time, version), by time.
        self.reverts = 0
        self.threads = [threading.Thread(target=self._watch, args=(name,), daemon=True)
                        for name in self.names]
        for thread in self.threads:
            thread.start()

    def _watch(self, name):
        d, observed = self.run.deployment, self.observed[name]
        while not self.ended:
            version = served_version(d, name)
            if version:
                if observed and version < observed[-1][1]:
                    self.reverts += 1
                    print(f"{name} went back from {observed[-1][1]} to {version}", flush=True)
                if not observed or version != observed[-1][1]:
                    observed.append((time.monotonic(), version))
            time.sleep(self.PERIOD_S)

    def at(self, name, version):
        """When `name` first served `version` or a newer one; None if never."""
        return next((moment for moment, observed in self.observed[name]
                     if observed >= version), None)

    def finish(self):
        self.ended = True
        for thread in self.threads:
            thread.join(6)


def served_version(d, name):
    """Returns the manifest version, or 0 if the instance is not ready or does not answer."""
    try:
        if deployment.call(d.operators(name), "GET", "/readyz", timeout=1)[0] != 200:
            return 0
        return deployment.call(d.operators(name), "GET", "/v1/manifest", timeout=1)[1]["version"]
    except (OSError, http.client.HTTPException, ValueError):
        return 0


class Operators:
    """Changes the manifest through random entry instances and records the outcomes."""

    def __init__(self, run, entries):
        self.run, self.entries = run, entries
        self.random = random.Random(run.seed)
        self.version = served_version(run.deployment, entries[0])
        self.accepted = {}                             # Version to time.
        self.change_ids_by_version = collections.defaultdict(set)  # Version to change ids.
        self.two_winners = self.applied_twice = self.unanswered = 0

    def manifest(self, number):
        changed = copy.deepcopy(self.run.settings["manifest"])
        changed["services"]["refill-api"]["deadline"] = f"{2000 + number}ms"
        return json.dumps(changed)

    def apply(self, change_id, number, version, at=None):
        """Retries through entry instances until one accepts the change or reports a conflict."""
        for _ in range(40):
            name = at or self.random.choice(self.entries)
            at = None
            try:
                _, body = self.run.deployment.apply(self.manifest(number), version, change_id, name)
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            if isinstance(body, dict) and body.get("outcome") in ("accepted", "conflict"):
                if body["outcome"] == "accepted":
                    self.change_ids_by_version[body["version"]].add(change_id)
                    self.accepted.setdefault(body["version"], time.monotonic())
                return body
            time.sleep(0.05)
        self.unanswered += 1
        return {"outcome": "none", "version": version}

    def change(self, number, raced, resent):
        change_ids = [f"change-{number}-{competitor}" for competitor in range(2 if raced else 1)]
        outcomes = [None] * len(change_ids)

        def submit(i):
            outcomes[i] = self.apply(change_ids[i], 1000 * i + number, self.version)
        threads = [threading.Thread(target=submit, args=(i,)) for i in range(len(change_ids))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = [o for o in outcomes if o["outcome"] == "accepted"]
        self.two_winners += len(winners) > 1
        if resent:
            again = self.apply(change_ids[0], number, self.version)
            self.applied_twice += (again["outcome"], again["version"]) != (
                outcomes[0]["outcome"], outcomes[0]["version"])
        self.version = max(o["version"] for o in outcomes)

    def history_faults(self):
        """Counts duplicated changes, and versions whose change was not the accepted one."""
        entry = self.run.deployment.operators(self.entries[0])
        history = deployment.call(entry, "GET", "/v1/history")[1]["changes"]
        counts = collections.Counter(change["change_id"] for change in history)
        wrong = sum(bool(self.change_ids_by_version[change["version"]]) and
                    change["change_id"] not in self.change_ids_by_version[change["version"]]
                    for change in history)
        return sum(count - 1 for count in counts.values()), wrong


def config(settings, open_run):
    """Concurrent and resent changes while instances restart, then a cut-off zone."""
    with open_run() as run:
        d = run.deployment
        away, restarted = settings["away"], settings["restarted"]
        steady = [n for n in d.names("entry") if n not in (away, *restarted)]
        monitor, operators = ManifestMonitor(run), Operators(run, steady)
        d.processes[away].kill()
        rng, down = random.Random(run.seed + 1), {}
        rejoins, downtimes = [], collections.defaultdict(list)
        for number in range(settings["changes"]):
            operators.change(number, rng.random() < settings["raced_share"],
                             rng.random() < settings["resent_share"])
            if number % settings["restart_every"] == settings["restart_every"] - 1:
                for name, since in list(down.items()):
                    rejoins.append((name, restart(d, name), operators.version))
                    downtimes[name].append((since, time.monotonic()))
                    del down[name]
                name = restarted[number // settings["restart_every"] % len(restarted)]
                d.processes[name].kill()
                down[name] = time.monotonic()
        for name in [*down, away]:
            rejoins.append((name, restart(d, name), operators.version))
        time.sleep(settings["settle_s"])
        delays = [monitor.at(name, version) - moment if monitor.at(name, version) else 1e9
                  for version, moment in operators.accepted.items() for name in steady]
        rejoin_seconds = [first_after(monitor, name, at, version) for name, at, version in rejoins]
        repeated, wrong = operators.history_faults()
        cut = restart_in_cut_zone(run, monitor, operators, settings)
        monitor.finish()
    values = {"changes": len(operators.accepted), "unanswered": operators.unanswered,
              "in_force_p50_s": round(percentile(delays, 0.5), 3),
              "in_force_p99_s": round(percentile(delays, 0.99), 3),
              "in_force_max_s": round(max(delays), 3),
              "reverts": monitor.reverts,
              "two_winners": operators.two_winners + wrong +
                             sum(len(ids) > 1 for ids in operators.change_ids_by_version.values()),
              "applied_twice": operators.applied_twice + repeated,
              "rejoins": len(rejoin_seconds), "rejoin_s": round(max(rejoin_seconds), 3), **cut}
    return values, {"accepted_configuration_never_reverts": monitor.reverts == 0}


def restart(d, name):
    d.processes[name].restart()
    return time.monotonic()


def first_after(monitor, name, at, version):
    """Seconds from `at` until `name` served `version` or a newer one."""
    moments = [m for m, observed in monitor.observed[name] if observed >= version and m >= at]
    return moments[0] - at if moments else 1e9


def restart_in_cut_zone(run, monitor, operators, settings):
    """Restarts entry instances of a cut-off zone one after the other."""
    d, zone = run.deployment, settings["cut_zone"]
    names = d.names("entry", zone)
    outside = [name for name in operators.entries if name not in names]
    d.cut_zone(zone, "silent")
    before = max(monitor.observed[name][-1][1] for name in names)
    operators.entries = outside
    operators.change(9000, False, False)   # Not visible to the cut-off zone.
    times, older = [], 0
    for name in names[:settings["cut_restarts"]]:
        d.processes[name].kill()
        began = restart(d, name)
        try:
            deployment.wait_for(lambda at=name: served_version(d, at) > 0, 8, name)
            times.append(time.monotonic() - began)
            older += served_version(d, name) < before
        except TimeoutError:
            times.append(1e9)
    d.cut_zone(zone, "pass")
    healed = time.monotonic()
    try:
        deployment.wait_for(lambda: all(served_version(d, n) >= operators.version for n in names),
                            10, "the zone does not catch up")
        heal = time.monotonic() - healed
    except TimeoutError:
        heal = 1e9
    return {"cut_zone_rejoin_s": round(max(times), 3), "cut_zone_older": older,
            "cut_zone_heal_s": round(heal, 3)}


def isolated_control(settings, open_run):
    """Leaders that can't learn that they were deposed while orders are due."""
    with open_run() as run:
        parts = [isolate_leader(run, settings, "cut"), isolate_leader(run, settings, "frozen")]
    values = {f"{kind}_{key}": value for kind, part in zip(("cut", "frozen"), parts)
              for key, value in part.items()}
    for key in ("orders_by_deposed", "acks_by_deposed", "false_not_run", "acknowledged_lost"):
        values[key] = sum(part[key] for part in parts)
    values["failover_s"] = max(part["failover_s"] for part in parts)
    values["orders_due_at_cut"] = min(part["orders_due"] for part in parts)
    return values, {"never_reverts": values["acknowledged_lost"] == 0,
                    "not_run_is_true": values["false_not_run"] == 0}


def isolate_leader(run, settings, kind):
    d = run.deployment
    status = d.status()
    leader, term = status["leader"], status["term"]
    zone = d.zone_of[leader]
    inside = d.names("entry", zone)
    outside = [name for name in d.names("entry") if name not in inside]
    operators = ManifestChanges(run, kind)
    next_version = max(t["version"] for t in d.targets(outside[0])) + 1
    publish(d, outside[0], next_version)
    deployment.wait_for(lambda: orders_of(d, term) > 0 or kind == "frozen", 8, "no order was given")
    time.sleep(1)
    due = sum(t["version"] < next_version for t in d.targets(outside[0]))
    began = time.monotonic()
    if kind == "cut":
        d.cut_zone(zone, "silent")
    else:
        d.processes[leader].send_signal(deployment.signal.SIGSTOP)
    probe = threading.Thread(target=operators.first_accepted, args=(outside, began), daemon=True)
    probe.start()
    time.sleep(settings["lease_s"] + 0.1)
    given = orders_of(d, term)
    end = began + settings[f"{kind}_s"]
    number = 0
    while time.monotonic() < end:
        number += 1
        publish(d, outside[number % len(outside)], next_version + number)
        if kind == "cut":
            for operation in (operators.publish_inside, operators.apply_inside):
                threading.Thread(target=operation, args=(inside[number % len(inside)], number),
                                 daemon=True).start()
        time.sleep(0.5)
    if kind == "cut":
        time.sleep(7)  # Until all requests inside the zone are answered.
    view = deployment.call(d.operators(inside[0]), "GET", "/v1/status")[1] if kind == "cut" else {}
    if kind == "cut":
        d.cut_zone(zone, "pass")
    else:
        d.processes[leader].send_signal(deployment.signal.SIGCONT)
    time.sleep(4)
    probe.join(10)
    print(f"{kind}: {leader} of term {term}, at the end in its zone leader="
          f"{view.get('leader')} term={view.get('term')} quorum={view.get('quorum')}; "
          f"orders given by {orders_by_term(d)}; answers inside {dict(operators.inside)}", flush=True)
    lost, false = operators.check_history(outside[0])
    return {"orders_due": due, "orders_by_deposed": orders_of(d, term) - given,
            "acks_by_deposed": operators.acked_inside,
            "failover_s": round(operators.failover, 3),
            "false_not_run": false, "acknowledged_lost": lost}


def publish(d, entry, version):
    try:
        return deployment.call(d.address(entry, deployment.CALLER_PORT), "POST", "/v1/weights",
                               {"pool": "coach-llm", "version": version}, timeout=8)[0]
    except (OSError, http.client.HTTPException):
        return 0


def orders_by_term(d):
    """Orders accepted by all engines, by the term of the leader."""
    total = collections.Counter()
    for name in d.names("engine"):
        report = deployment.call(d.address(name, deployment.TARGET_PORT), "GET", "/v1/orders")[1]
        for term, counts in report["terms"].items():
            total[int(term)] += counts["accepted"]
    return dict(total)


def orders_of(d, term):
    return orders_by_term(d).get(term, 0)


class ManifestChanges:
    """Applies changes inside and outside a zone and checks them against the history."""

    def __init__(self, run, label):
        self.run, self.label = run, label
        self.failover, self.acked_inside = 1e9, 0
        self.acknowledged, self.refused = [], []
        self.inside = collections.Counter()
        self.base = run.deployment.status()["manifest_version"]

    def first_accepted(self, outside, began):
        """Resends one change, under the same id, until it is accepted."""
        for number in range(100):
            try:
                _, body = self.run.deployment.apply(
                    self.run.settings["manifest"], self.base, f"{self.label}-out",
                    outside[number % len(outside)])
            except (OSError, http.client.HTTPException):
                continue
            if isinstance(body, dict) and body.get("outcome") == "accepted":
                self.failover = time.monotonic() - began
                self.acknowledged.append(f"{self.label}-out")
                return
            time.sleep(0.05)

    def publish_inside(self, at, number):
        self.acked_inside += publish(self.run.deployment, at, 1000 + number) == 200

    def apply_inside(self, at, number):
        change_id = f"{self.label}-in-{number}"
        try:
            _, body = self.run.deployment.apply(self.run.settings["manifest"], self.base, change_id, at)
        except (OSError, http.client.HTTPException):
            self.inside["no answer"] += 1
            return
        verdict = body.get("outcome") or ("not_run" if '"not_run"' in json.dumps(body)
                                          else "may_have_run")
        self.inside[verdict] += 1
        self.acked_inside += verdict in ("accepted", "conflict")
        if verdict == "not_run":
            self.refused.append(change_id)

    def check_history(self, entry):
        """Returns (acknowledged changes that are missing, refused ones that were applied)."""
        history = deployment.call(self.run.deployment.operators(entry), "GET", "/v1/history")[1]
        ids = {change["change_id"] for change in history["changes"]}
        return (sum(c not in ids for c in self.acknowledged), sum(c in ids for c in self.refused))


class ContinuousChanges:
    """Changes the manifest continuously and records the acknowledged changes."""

    def __init__(self, run):
        self.run, self.ended = run, False
        self.entries = run.deployment.names("entry")
        self.version = run.deployment.status()["manifest_version"]
        self.acknowledged, self.texts, self.corrupt = {}, {}, 0
        self.last_at = time.monotonic()
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def text(self, number):
        changed = copy.deepcopy(self.run.settings["manifest"])
        changed["services"]["refill-api"]["deadline"] = f"{1000 + number}ms"
        return json.dumps(changed)

    def submit(self, number, version):
        for attempt in range(60):
            try:
                _, body = self.run.deployment.apply(
                    self.text(number), version, f"steady-{number}",
                    self.entries[attempt % len(self.entries)])
                if isinstance(body, dict) and body.get("outcome") in ("accepted", "conflict"):
                    return body
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        return {"outcome": "none", "version": version}

    def _work(self):
        number = 0
        while not self.ended:
            number += 1
            body = self.submit(number, self.version)
            if body["outcome"] == "accepted":
                self.acknowledged[number] = (self.version, body["version"])
                self.texts[body["version"]] = self.text(number)
                self.last_at = time.monotonic()
            self.version = body["version"]
            self.check_served(self.entries[number % len(self.entries)])
            time.sleep(0.02)

    def check_served(self, name):
        try:
            served = deployment.call(self.run.deployment.operators(name), "GET", "/v1/manifest",
                                     timeout=1)[1]
        except (OSError, http.client.HTTPException):
            return
        known = self.texts.get(served["version"])
        self.corrupt += known is not None and served["manifest"] != known

    def finish(self):
        """Resends the last 900 acknowledged changes; returns how many lost their first outcome."""
        self.ended = True
        self.thread.join(20)
        lost = 0
        for number, (expected, version) in list(self.acknowledged.items())[-900:]:
            again = self.submit(number, expected)
            lost += (again["outcome"], again["version"]) != ("accepted", version)
        return lost


def disk(settings, open_run):
    """Disks lost, torn, damaged and full during continuous changes."""
    with open_run() as run:
        d = run.deployment
        changes = ContinuousChanges(run)
        first, second, third = d.names("control")
        time.sleep(1)
        times = {"lost": replace_disk(run, first)}
        times["second_lost"] = replace_disk(run, second)
        for name in (first, second, third):
            d.processes[name].kill()
        truncate_log(d, first, 5)
        append_to_log(d, second, b"\x01torn")
        for name in (third, second, first):
            d.processes[name].restart()
        times["torn"] = seconds_until_voting(run, d.names("control"))
        for part in ("log", "snapshot"):
            times["flipped_" + part] = flip_bits(run, third, part)
        times["full"] = fill_disks(run, changes, (first, second), settings["full_s"])
        time.sleep(1)
        damaged_files = sum(len(list((d.folder / f"{name}.data").glob("*.damaged")))
                     for name in d.names("control"))
        lost = changes.finish()
        for name in d.names("entry"):
            d.processes[name].kill()
            d.processes[name].restart()
        d.wait_ready()
        for name in d.names("entry"):
            changes.check_served(name)
    values = {"acknowledged": len(changes.acknowledged), "acknowledged_lost": lost,
              "corrupt_served": changes.corrupt, "set_aside": damaged_files,
              "acknowledged_on_full_disks": times.pop("full"),
              **{key + "_s": round(value, 2) for key, value in times.items()}}
    return values, {"never_reverts": lost == 0}


def seconds_until_voting(run, names, seconds=12):
    began = time.monotonic()

    def all_vote():
        replicas = run.deployment.status().get("replicas", [])
        return (len([r for r in replicas if r["voting"] and r["reachable"]]) == 3 and
                {r["id"] for r in replicas} >= set(names))
    deployment.wait_for(all_vote, seconds, f"{names} do not vote again")
    return time.monotonic() - began


def seconds_until_disk_replaced(run, name):
    """Seconds until the group has removed the old disk and counts the new one."""
    began = time.monotonic()

    def counts():
        return any(r["id"] == name and r["voting"] and r["reachable"]
                   for r in run.deployment.status()["replicas"])
    while counts() and time.monotonic() - began < 1.2:
        time.sleep(0.005)
    seconds_until_voting(run, [name])
    return time.monotonic() - began


def replace_disk(run, name):
    d = run.deployment
    d.processes[name].kill()
    shutil.rmtree(d.folder / f"{name}.data")
    d.processes[name].restart()
    return seconds_until_disk_replaced(run, name)


def truncate_log(d, name, size):
    path = d.folder / f"{name}.data" / "log"
    os.truncate(path, path.stat().st_size - size)


def append_to_log(d, name, data):
    with open(d.folder / f"{name}.data" / "log", "ab") as log:
        log.write(data)


def flip_bits(run, name, part):
    d = run.deployment
    d.processes[name].kill()
    path = d.folder / f"{name}.data" / part
    if not path.exists():
        raise RuntimeError(f"{path.name} is not there")
    data = bytearray(path.read_bytes())
    rng = random.Random(run.seed)
    for _ in range(3):
        data[rng.randrange(len(data) // 4, len(data) // 2)] ^= 1 << rng.randrange(8)
    path.write_bytes(data)
    d.processes[name].restart()
    return seconds_until_disk_replaced(run, name)


def fill_disks(run, changes, names, seconds):
    """Simulates full disks on a majority by limiting the size of files.

    Returns how many changes were acknowledged from one second after that on.
    """
    d = run.deployment
    for name in names:
        pid = d.processes[name].handle.pid
        size = (d.folder / f"{name}.data" / "log").stat().st_size
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size // 2, resource.RLIM_INFINITY))
    time.sleep(1)
    before = len(changes.acknowledged)
    time.sleep(seconds)
    given = len(changes.acknowledged) - before
    print({name: d.processes[name].handle.poll() for name in names}, flush=True)
    for name in names:
        pid = d.processes[name].handle.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE,
                         (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    seconds_until_voting(run, names)
    return given


def random_faults(d, settings, seed):
    """Draws random faults, each repaired after 0.8 to 3.5 s. At most one zone or
    control instance is faulty at a time."""
    rng, faults = random.Random(seed), []
    moment, majority_free_at = settings["faults_from_s"], 0
    busy_until = collections.defaultdict(float)
    while moment < settings["faults_until_s"]:
        kind = rng.choice(["engine", "service", "entry", "control", "zone"])
        length = round(rng.uniform(0.8, 3.5), 2)
        moment = round(moment + rng.uniform(0.5, 1.5) * settings["fault_every_s"], 2)
        if kind in ("control", "zone"):
            if moment < majority_free_at:
                continue
            majority_free_at = moment + length + 1.5
        if kind == "zone":
            zone, mode = rng.choice(d.zones), rng.choice(["cut", "silent"])
            faults += [{"at": moment, "do": "cut", "zone": zone, "mode": mode},
                       {"at": moment + length, "do": "heal", "zone": zone}]
            continue
        who = rng.choice(d.names(kind))
        if moment < busy_until[who]:
            continue
        busy_until[who] = moment + length + 1
        fault, repair = rng.choice([("kill", "restart"), ("freeze", "thaw")])
        if kind == "service":
            # A killed service loses the record of the orders it ran, which the checks need.
            fault, repair = "freeze", "thaw"
        faults += [{"at": moment, "do": fault, "who": who},
                   {"at": moment + length, "do": repair, "who": who}]
    return faults


def chaos(settings, open_run):
    import figures
    with open_run() as run:
        d = run.deployment
        services = ",".join(d.address(name, deployment.TARGET_PORT) for name in d.names("service"))
        loads = copy.deepcopy(settings["loads"])
        loads["live"]["order-targets"] = services
        monitor, changes = ManifestMonitor(run), ContinuousChanges(run)
        faults = random_faults(d, settings, run.seed)
        results = run.run_loads(loads, faults, settings["limit_s"])
        lost = changes.finish()
        final = changes.version
        try:
            deployment.wait_for(lambda: all(served_version(d, n) >= final for n in d.names("entry")),
                                10, "the last version is not in force everywhere")
            everywhere = True
        except TimeoutError:
            everywhere = False
        monitor.finish()
    live, training = results["live"], results["training"]
    orders = live["orders"]
    values = {**figures.trainer_figures(training),
              "faults": len(faults) // 2, "manifest_changes": len(changes.acknowledged),
              "acknowledged_lost": lost, "reverts": monitor.reverts,
              "corrupt_manifests": changes.corrupt,
              "ran_twice": orders["ran_twice"], "false_not_run": orders["false_not_run"],
              "false_answer": orders["false_answer"]}
    for kind in ("lookups", "completions", "orders"):
        values[f"{kind}_answered"] = round(live[kind]["answered"] / max(1, live[kind]["asked"]), 4)
        print(kind, live[kind]["refused_by_code"], live[kind].get("wrong_by_cause"))
    promises = {**figures.trainer_promises(training), **figures.live_promises(live),
                "not_run_is_true": orders["false_not_run"] == 0,
                "runs_known": orders["runs_known"] and orders["false_answer"] == 0,
                "non_idempotent_runs_at_most_once": orders["ran_twice"] == 0,
                "accepted_configuration_never_reverts": monitor.reverts == 0 and lost == 0,
                "accepted_configuration_in_force_everywhere": everywhere}
    return values, promises


def control_cost(settings, open_run):
    """Cost of simulated membership, then of real processes by deployment size."""
    values = stub_costs(settings["stub_seconds"])
    sizes = settings["sizes"]
    rows = []
    for size in sizes:
        changed = copy.deepcopy(settings)
        changed["deployment"]["entries"] = size
        with open_run(changed) as run:
            rows.append(process_costs(run, settings))
        print(size, rows[-1], flush=True)
    for size, row in zip(sizes, rows):
        values.update({f"{key}_{size}": round(value, 4) for key, value in row.items()})
    for key in ("entry_cpu_percent", "leader_cpu_percent", "entry_mb", "leader_mb"):
        slope = (rows[-1][key] - rows[0][key]) / (sizes[-1] - sizes[0])
        values[key + "_at_350"] = round(rows[-1][key] + slope * (350 - sizes[-1]), 3)
    values["cpu_percent_per_node"] = max(values["entry_cpu_percent_at_350"],
                                         values["leader_cpu_percent_at_350"])
    values["memory_mb"] = max(values["entry_mb_at_350"], values["leader_mb_at_350"])
    return values, {}


def stub_costs(seconds):
    import subprocess
    lines = subprocess.run([deployment.BIN / "bench-membership_cost", str(seconds)],
                           capture_output=True, text=True, timeout=60, check=True).stdout
    values = {}
    for row in map(json.loads, lines.splitlines()):
        if row.get("instances") in (20, 60, 120, 350):
            size = row["instances"]
            values[f"gossip_bytes_per_second_per_node_{size}"] = row["with_tcp_ip"]
            values[f"gossip_cpu_percent_per_node_{size}"] = row["cpu_percent_per_node"]
            values[f"gossip_memory_mb_{size}"] = row["memory_mb_per_node"]
    return values


def cpu_seconds(process):
    """CPU time of all threads, from schedstat (ns) because clock ticks are too coarse."""
    total = 0
    for stat in pathlib.Path(f"/proc/{process.handle.pid}/task").glob("*/schedstat"):
        total += int(stat.read_text().split()[0])
    return total / 1e9


def resident_mb(process):
    with open(f"/proc/{process.handle.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def process_costs(run, settings):
    """Cost of idle processes, and the additional cost of each manifest change."""
    d = run.deployment
    leader, entries = run.leader(), d.names("entry")
    watched = [d.processes[name] for name in [leader, *entries]]

    def cpu_seconds_during(work):
        began, before = time.monotonic(), [cpu_seconds(p) for p in watched]
        work()
        after, elapsed = [cpu_seconds(p) for p in watched], time.monotonic() - began
        return [a - b for a, b in zip(after, before)], elapsed

    def changes():
        version = d.status()["manifest_version"]
        for number in range(settings["changes"]):
            d.apply(run.settings["manifest"], version + number, f"cost-{number}")
            time.sleep(0.1)
    idle, elapsed = cpu_seconds_during(lambda: time.sleep(settings["idle_s"]))
    busy, busy_elapsed = cpu_seconds_during(changes)
    extra = [b - i * busy_elapsed / elapsed for b, i in zip(busy, idle)]
    return {"entry_cpu_percent": 100 * sum(idle[1:]) / len(entries) / elapsed,
            "leader_cpu_percent": 100 * idle[0] / elapsed,
            "entry_ms_per_change": 1000 * sum(extra[1:]) / len(entries) / settings["changes"],
            "leader_ms_per_change": 1000 * extra[0] / settings["changes"],
            "entry_mb": max(resident_mb(p) for p in watched[1:]),
            "leader_mb": resident_mb(watched[0])}
