#!/bin/sh
# Checks that the stand-ins of the scripts can run; they are Python and need no build.
# The programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
python3 -m py_compile standins.py [1-5]/case.py
rm -rf "$PYTHONPYCACHEPREFIX"
