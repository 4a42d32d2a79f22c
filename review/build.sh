#!/bin/sh
# Compiles the stand-ins of the scripts; they need nothing beyond the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]*/case.py
