#!/usr/bin/env bash
# Builds the programs of the second review into target/review-2.
# Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -pthread -Ireview/standins-2)
g++ "${flags[@]}" -c review/standins-2/platform.cc -o target/review-2/platform.o
for source in review/*/script.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review-2/platform.o -lboost_json \
    -o "target/review-2/script-$name"
done
