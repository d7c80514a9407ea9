#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/review-standin ] || ! [ -x target/mulleingate ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review-standin case 3 review/3
