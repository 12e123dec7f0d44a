#!/bin/sh
# The stand-ins use the standard library only; compiling them shows that they can be started.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
