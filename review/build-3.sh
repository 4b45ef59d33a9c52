#!/usr/bin/env bash
# Builds the scenarios of the third review, with their stand-ins, into target/review-3/. They need the
# packages of the deploy file only, and the programs that its build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
build() {
  local case=$1
  g++ -std=c++20 -O1 -Wall -Wextra -o "$out/case-$case" "review/$case/scenario.cc" -lboost_json -pthread
}
for source in review/*/scenario.cc; do
  case=$(basename "$(dirname "$source")")
  build "$case" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit "$status"
