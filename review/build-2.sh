#!/bin/bash
# Builds the stand-ins that the scripts of the second review start (cases 6 to 10), into target/review-2/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec go build -tags review -o target/review-2/ ./review/standin2
