#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review
python3 -c 'import harness' || exit 2
exec python3 "$here/case.py"
