#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into out/review. The routers
# come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p out/review
compiler=${CXX:-c++}
flags=(-std=c++17 -O1 -Wall -Wextra -pthread)

objects=()
pids=()
for source in review/standins/*.cc; do
  object=out/review/$(basename "$source" .cc).o
  objects+=("$object")
  "$compiler" "${flags[@]}" -c -o "$object" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  "$compiler" "${flags[@]}" -o "out/review/case-$number" "$source" "${objects[@]}"
done
