#!/bin/bash
# Plays the case, from the root of the project. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/tealpath ] && [ -x review/bin/standin ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec review/bin/standin events-in-pieces review/3
