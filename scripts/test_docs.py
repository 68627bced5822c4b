"""Runs the commands in the documentation as printed, on the example deployment.

Bash runs the code blocks marked `sh` in order, from the root of the repository
and with build/bin in PATH. Each must exit with 0, or with N if it is marked
`sh ends N`. Blocks in other languages are not run.
"""

import os
import re
import signal
import subprocess
import sys

import deployment

DOCS = ["docs/INTERFACE.md", "docs/CONFIGURATION.md", "docs/OPERATIONS.md"]
BLOCK = re.compile(r"^```sh(?: ends (\d+))?\n(.*?)^```$", re.S | re.M)


def blocks():
    for name in DOCS:
        for code, text in BLOCK.findall((deployment.ROOT / name).read_text()):
            yield name, int(code or 0), text


def start():
    example = subprocess.Popen([sys.executable, "scripts/run_example.py", "joto"],
                               stdout=subprocess.PIPE, text=True)
    if not example.stdout.readline().startswith("ready"):
        example.wait()
        sys.exit("the example deployment did not start")
    return example


def main():
    os.chdir(deployment.ROOT)
    os.environ["PATH"] = f"{deployment.BIN}:{os.environ['PATH']}"
    example = start()
    failed = run = 0
    try:
        for name, expected, text in blocks():
            run += 1
            done = subprocess.run(["bash", "-euc", text], capture_output=True, text=True,
                                  timeout=60)
            print(f"{name}: {text.strip()}\n{done.stdout}{done.stderr}", flush=True)
            if done.returncode != expected:
                failed += 1
                print(f"FAILED: ended with {done.returncode}, not {expected}")
    finally:
        example.send_signal(signal.SIGTERM)
        example.wait(30)
    print(f"{run} blocks run, {failed} failed")
    sys.exit(1 if failed or not run else 0)


if __name__ == "__main__":
    main()
