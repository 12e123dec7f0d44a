#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/fleet_2.py
PYTHONPATH=target/deps:platform:review:. python3 -c "import fleet_2"
