#!/bin/sh
# Runs this case; exit status 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run 'build' of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$folder/check.py"
