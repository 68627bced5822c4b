#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are Python programs that need only
# the standard library (3.11 or later), so that there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-2/*.py {6,7,8,9,10}/case.py <<'EOF'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), name)
EOF
