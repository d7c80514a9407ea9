#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts. They use only Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -o target/review-standin review/*.go
