#!/bin/bash
# Case 7: a route moves to another service, and the next desired state no longer names the old one. TROUBLE=0: no machine is restarted.
# Needs the build of deploy/system.toml and review/build-2.sh. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/mangoweir ] && [ -x target/review-2/standin2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2/standin2 -case service-left-out -trouble=$trouble -binary target/mangoweir -record review/7/record.txt
