#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out. Needs the build of the deploy file.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 -B case.py
status=$?
if [ "$status" -eq 1 ] && ! tail -n 1 record.txt | grep -q "the rule was broken"; then
  exit 2
fi
exit "$status"
