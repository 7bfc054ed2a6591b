#!/bin/sh
# Builds the stand-ins of the review's scripts. The program of the deploy file is built by its own build line.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
