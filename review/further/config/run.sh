#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
exec env PYTHONPATH="$PWD:$PWD/target/deps" python3 review/further/config/case.py
