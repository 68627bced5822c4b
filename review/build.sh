#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies; this
# checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, tomllib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
'
