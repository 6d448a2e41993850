#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into out/review-2: the store's
# stand-in of the project and the programs of the cases.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=out/review-2
cmake -S . -B "$build/store" -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
cmake --build "$build/store" --target standin-metastore
for source in review/{6,7,8,9,10}/case.cc; do
  if [ -f "$source" ]; then
    number=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra \
      "$source" review/standins-2/*.cc -o "$build/case-$number" -pthread
  fi
done
