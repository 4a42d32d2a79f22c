#!/bin/sh
# Compiles the stand-ins of the scripts; they need nothing beyond the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q 1/common [1-5]/case.py
