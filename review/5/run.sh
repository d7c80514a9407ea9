#!/usr/bin/env bash
# Plays the case claims. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. The program ends by itself after 118 seconds at most, and its processes end with it.
set -u
cd "$(dirname "$0")"
root=../..
if [ ! -x "$root/target/mulleingate" ] || [ ! -x "$root/target/review-probe" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
exec "$root/target/review-probe" claims record.txt "$root/target/mulleingate"
