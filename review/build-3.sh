#!/usr/bin/env bash
# Prepares what the scripts of cases 11 to 15 start, after the build of the
# deploy file. Their stand-ins are in Python and need no compilation: checks
# that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio; asyncio.timeout' # Python 3.11 or later.
