#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases into target/review/. It needs no more than the build of the
# deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "target/review/$(basename "$source" .cc).o"
done
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review/standins "$source" target/review/*.o \
    -o "target/review/case-$number" -lboost_json -pthread
done
