#!/usr/bin/env bash
# A machine cut off from the store; exits with 1 if the rule UNASKED is broken.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -m review.7.case
