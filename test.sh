#!/bin/sh
# Everything that a change has to pass: tests, lint, format, types.
# KNOWN-RED.txt names the tests that fail for a known fault, "TEST: CAUSE", one a line: passed over and printed.
# The tests run in four processes, or in TEST_PROCESSES: most of their time they wait.
set -e
cd "$(dirname "$0")"
known_red=$(sed -n 's/^\(tests[^ ]*\): .*/--deselect=\1/p' KNOWN-RED.txt)
# shellcheck disable=SC2086  # one argument a test
python -m pytest -q -n "${TEST_PROCESSES:-4}" $known_red
python -m ruff check .
python -m ruff format --check .
python -m mypy
if [ -s KNOWN-RED.txt ]; then
    echo "Known red, passed over:"
    cat KNOWN-RED.txt
fi
