"""Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the
case could not run. TROUBLE=0 leaves the disruption out."""

import asyncio
import os
import pathlib
import sys
import traceback

from deployment import CannotRun, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(play, seconds=115):
    """`play(record)` returns the sentences that say how the rule was broken."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.add(f"disruption: {'on' if TROUBLE else 'off'}")

    async def bounded():
        async with asyncio.timeout(seconds):
            return await play(record)

    try:
        broken = asyncio.run(bounded())
    except CannotRun as problem:
        record.add(f"could not run: {problem}")
        print(f"could not run: {problem}")
        sys.exit(2)
    except Exception:  # A fault of the case itself.
        record.add("could not run:\n" + traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    for sentence in broken:
        record.add(f"BROKEN: {sentence}")
        print(f"broken: {sentence}")
    if not broken:
        record.add("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
