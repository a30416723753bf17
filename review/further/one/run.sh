#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps"
if ! python3 -c "import review.harness"; then
    echo "build the system first: target/deps is missing or incomplete" >&2
    exit 2
fi
exec python3 review/further/one/case.py
