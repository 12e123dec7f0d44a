#!/bin/bash
# Builds what the scripts of the third review start: the stand-ins are Python modules, which are
# compiled and imported once with the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
set -e
python3 -m compileall -q standins review/fleet_3.py review/1[1-5]
PYTHONPATH=target/deps:. python3 -c "import review.fleet_3"
