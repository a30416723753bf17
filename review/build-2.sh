#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/8 start: Python modules of this
# repository (the project's own among them), which need the standard library and target/deps alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins/http_server.py standins/store_server.py review/second review/[4-8]
python3 -c "import review.second.rig"
