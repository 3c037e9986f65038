#!/bin/sh
# The stand-ins of the cases need only Python's standard library: nothing to build.
cd "$(dirname "$0")" && exec python3 -m compileall -q support
