#!/usr/bin/env python3
"""Runs the cases of untrusted clients against the real programs.

Usage: run.py [--all] [CASE ...]. Cases that KNOWN-RED.txt names as
"hostile_clients/CASE | ..." are printed and left out, unless they are named
here or --all is given.
"""

import sys

import cases
import common

PREFIX = "hostile_clients/"


def known_red():
    lines = (common.ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split(" |")[0].removeprefix(PREFIX): line
            for line in lines if line.startswith(PREFIX)}


def run_case(case, deployment):
    for program in deployment.programs:
        program.begin_case()
    crowds = []
    try:
        crowds = case(deployment)
        deployment.check()
    finally:
        for crowd in crowds:
            crowd.close()
    deployment.check_answers()
    deployment.check()


def describe(deployment):
    parts = []
    for program in deployment.programs:
        if program.process.poll() is None:
            parts.append(f"{program.name} {program.growth() / common.MEGABYTE:.1f} MB, "
                         f"{program.descriptors()} descriptors")
    return "; ".join(parts)


def main(arguments):
    names = [name for name in arguments if name != "--all"]
    chosen = [case for case in cases.ALL if not names or case.__name__ in names]
    if names and len(chosen) != len(names):
        sys.exit(f"unknown case; known: {', '.join(case.__name__ for case in cases.ALL)}")
    red = {} if arguments else known_red()
    failed = []
    for case in chosen:
        if case.__name__ in red:
            print(f"known red: {red[case.__name__]}", flush=True)
            continue
        deployment = None
        try:
            # New processes, so that no case uses memory that another one left free.
            deployment = common.Deployment(**getattr(case, "deployment", {}))
            run_case(case, deployment)
            print(f"passed: {case.__name__} ({describe(deployment)})", flush=True)
        except common.CheckFailed as problem:
            measured = describe(deployment) if deployment else "not started"
            print(f"FAILED: {case.__name__}: {problem} ({measured})", flush=True)
            failed.append(case.__name__)
        finally:
            if deployment:
                deployment.end()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
