#!/bin/sh
# Checks the stand-ins of the second review, which need no more than the build of the deploy file:
# Python 3.11 and target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/6/common python3 -c "import standins"
