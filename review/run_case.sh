#!/usr/bin/env bash
# run_case.sh NUMBER: runs a case of the review. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
if [ ! -x "out/review/case-$1" ] || [ ! -x target/bin/godwit-edge ]; then
  echo "build deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 2 118 "out/review/case-$1" "review/$1/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
