"""Runs a small deployment of one of the two users until it is interrupted.

Entry instance N of zone Z listens for operators at 127.RUN.Z.(9 + N):8102,
where RUN is 10 for Joto and 11 for Hutchworks.
"""

import signal
import sys

import demo
import deployment

RUNS = {"joto": 10, "hutchworks": 11}


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in RUNS:
        sys.exit(f"usage: scripts/run-example [{'|'.join(RUNS)}]")
    user = demo.USERS[sys.argv[1]]
    manifest = (deployment.ROOT / "examples" / user["folder"] / "manifest.json").read_text()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    shape = {**demo.shape(user), "entries": 3, "engines": 3}
    with deployment.Deployment(shape, RUNS[sys.argv[1]]) as d:
        deployment.wait_for(lambda: d.apply(manifest)[0] == 200, 15, "manifest not accepted")
        d.wait_ready()
        print(f"ready; operators' listener: {d.operators()}; settings, logs and data: {d.folder}",
              flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    main()
