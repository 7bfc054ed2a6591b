#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/mangoweir ] || ! [ -x target/review-standin ]; then
	echo "build target/mangoweir by the deploy file and run review/build.sh first" >&2
	exit 2
fi
exec target/review-standin stuck review/3/record.txt
