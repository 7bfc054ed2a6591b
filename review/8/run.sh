#!/bin/bash
# Case 8: the VM that reads the store for a zone is killed right after the zone was taken back, cold. TROUBLE=0: it is not killed.
# Needs the build of deploy/system.toml and review/build-2.sh. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/mangoweir ] && [ -x target/review-2/standin2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2/standin2 -case reader-restarts -trouble=$trouble -binary target/mangoweir -record review/8/record.txt
