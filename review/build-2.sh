#!/bin/sh
# Checks that all that the scripts of cases 6 to 10 start can be started: the entry and
# the project's stand-in for the store, which need the build of the deploy file, and the
# stand-ins in review/deployment, which need Python's standard library only.
set -e
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
PYTHONPATH=src:target/deps python3 -c 'import fighead.platform.daemon, fighead.platform.standin_daemon'
python3 -m py_compile review/deployment/*.py
