#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
common=(review/standins-3/{http,store,engine,fleet,tenant_load}.cc)
for name in frozen_router dropped_tenant slow_reader returned_store; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" \
    "review/standins-3/$name.cc" "${common[@]}"
done
