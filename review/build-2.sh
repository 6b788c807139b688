#!/bin/sh
# Builds the stand-ins of the cases from 6 on, after the build of the deploy file; they need no package.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2
