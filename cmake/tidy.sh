#!/usr/bin/env bash
# Runs clang-tidy on one source. A clean result is remembered beside the
# compiler cache under a digest of the source and the project headers it reads.
set -euo pipefail
source_file=$1
results="${CCACHE_DIR:-$HOME/.cache/ccache}/tidy"
mkdir -p "$results"

# Prints the source and, transitively, the project headers that it includes.
closure() {
  local seen=" $source_file " queue=("$source_file") file name path
  while [ ${#queue[@]} -gt 0 ]; do
    file=${queue[0]}
    queue=("${queue[@]:1}")
    echo "$file"
    for name in $(sed -n 's/^#include "\(.*\)"$/\1/p' "$file"); do
      for path in libs/*/include/"$name" "$(dirname "$file")/$name" libs/*/src/"$name"; do
        if [ -f "$path" ] && [[ "$seen" != *" $path "* ]]; then
          seen+="$path "
          queue+=("$path")
        fi
      done
    done
  done
}

key=$( (cat .clang-tidy cmake/tidy.sh; closure | sort | xargs cat; echo "$source_file") |
  sha256sum | cut -d' ' -f1)
[ -e "$results/$key" ] && exit 0
if ! clang-tidy --quiet -p out "$source_file" 2> /dev/null; then
  echo "clang-tidy failed on $source_file" >&2
  exit 1
fi
touch "$results/$key"
