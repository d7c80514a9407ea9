#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use only Go's standard library. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -o target/review-lab review/lab/*.go
GOWORK=off go build -o target/review-probe review/probe/*.go
