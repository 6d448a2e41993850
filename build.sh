#!/usr/bin/env bash
# Installs what the project needs, builds it, and runs the demo or the tests.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

usage() {
  cat <<'T'
Usage: ./build.sh COMMAND

  demo            build, then serve three requests through separate processes
  test [LABEL]    build, then run the tests (all, or those with one ctest label)
  build           install packages and build
  format          rewrite sources with clang-format
  lint            check formatting and run clang-tidy
T
}

missing_packages() {
  local name
  while read -r name; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || echo "$name"
  done < packages.txt
}

install_packages() {
  local missing
  missing=$(missing_packages)
  [ -z "$missing" ] && return
  apt-get update -q
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
}

build() {
  install_packages
  if [ ! -f out/build.ninja ]; then
    cmake -G Ninja -S . -B out
  fi
  cmake --build out
}

sources() {
  git ls-files --cached --others --exclude-standard '*.cc' '*.h'
}

lint() {
  sources | xargs clang-format --dry-run --Werror
  tests_and_units=$(sources | grep '\.cc$')
  echo "$tests_and_units" | xargs -P "$(nproc)" -n 1 ./cmake/tidy.sh
}

# Names of the tests that KNOWN-RED.txt lists, one entry a line, NAME first.
known_reds() {
  sed -n 's/^\([a-z0-9_]\{1,\}\):.*/\1/p' KNOWN-RED.txt
}

# Tests of whole fleets of processes run after the others, which keep every core
# busy; their limits on silence are those of the product.
run_tests() { # [LABEL]
  local common=(--test-dir out --output-on-failure --no-tests=ignore -j "$(nproc)")
  local reds
  reds=$(known_reds | paste -sd '|')
  if [ -n "$reds" ]; then
    echo "passed over, see KNOWN-RED.txt:"
    cat KNOWN-RED.txt
  fi
  if [ -n "$1" ]; then
    common+=(-L "^$1\$")
  fi
  if ! ctest "${common[@]}" -N | grep -c 'Test *#' > /dev/null; then
    echo "no test has the label $1" >&2
    return 2
  fi
  ctest "${common[@]}" -E "^(process_.*${reds:+|$reds})\$"
  ctest "${common[@]}" -R '^process_' -E "^(${reds:-none})\$"
}

case "${1:-}" in
  demo)
    build
    exec ./samples/demo.sh
    ;;
  test)
    build
    run_tests "${2:-}"
    ;;
  build) build ;;
  format) sources | xargs clang-format -i ;;
  lint)
    build
    lint
    ;;
  *)
    usage
    exit 2
    ;;
esac
