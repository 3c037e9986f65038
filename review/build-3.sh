#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 start from what the build of the deploy
# file has installed. Nothing needs to be compiled or downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m py_compile review/support-3/*.py
python3 - <<'CHECK'
import sys

sys.path.insert(0, "src")
import fighead.platform.standin_daemon
CHECK
python3 review/support-3/worker.py --help > /dev/null
echo "The stand-ins of the cases are ready."
