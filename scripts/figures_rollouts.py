"""Measurements of the experiments with rollouts; see figures.py."""

import copy

import figures


def control_baseline(settings, **changes):
    """Copies the settings with a baseline policy for the control instances."""
    changed = copy.deepcopy(settings)
    changed["deployment"].setdefault("control_settings", {}).update(changes)
    return changed


def idle_ratio(settings, result):
    """Returns the ratio of step time to its lower bound, and that bound in seconds."""
    shape = settings["deployment"]
    ideal = figures.ideal_step_seconds(result, shape["engine"], shape["engines"])
    return round(figures.trainer_figures(result)["step_seconds"] / ideal, 3), round(ideal, 3)


def step(settings, open_run):
    with open_run(control_baseline(settings, dispatch="fifo")) as run:
        baseline = run.run_loads()["load"]
    with open_run() as run:
        result = run.run_loads()["load"]
    values = figures.trainer_figures(result)
    values["idle_ratio"], values["ideal_seconds"] = idle_ratio(settings, result)
    values["baseline_idle_ratio"], _ = idle_ratio(settings, baseline)
    values["baseline_step_seconds"] = figures.trainer_figures(baseline)["step_seconds"]
    return values, figures.trainer_promises(result)
