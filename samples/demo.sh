#!/usr/bin/env bash
# Starts a small fleet on loopback, serves three requests through it, prints
# the outcomes and the ledger before and after, and stops it again. Exits
# non-zero when anything differs from what it says.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

bin=$PWD/out/bin
work=$(mktemp -d)
pids=()

# Stops the processes in reverse order of start: a router gives its budgets
# back while the platform still runs.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    kill "${pids[i]}" 2> /dev/null || true
    wait "${pids[i]}" 2> /dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "demo failed: $*" >&2
  tail -n 5 "$work"/*.err >&2 || true
  exit 1
}

# start NAME PROGRAM ARGUMENT... starts a process and sets $address once it
# listens.
start() {
  local name=$1
  shift
  : > "$work/$name.out"
  "$@" > "$work/$name.out" 2> "$work/$name.err" &
  pids+=($!)
  local tries
  for ((tries = 0; tries < 200; ++tries)); do
    address=$(sed -n 's/^listening on //p' "$work/$name.out")
    [ -n "$address" ] && return
    kill -0 "$!" 2> /dev/null || fail "$name ended early"
    sleep 0.05
  done
  fail "$name does not listen"
}

# wait_until COMMAND... waits until the command succeeds.
wait_until() {
  local tries
  for ((tries = 0; tries < 300; ++tries)); do
    "$@" && return
    sleep 0.1
  done
  fail "this never became true: $*"
}

start_agent() { # NAME DATA_CENTRE KIND BACKEND
  cat > "$work/$1.yaml" << T
process: $1
fleet: demo
data_centre: $2
platform: $platform
backend: $4
kind: $3
T
  start "$1" "$bin/godwit-agent" --settings "$work/$1.yaml"
}

start_router() { # NAME DATA_CENTRE
  cat > "$work/$1.yaml" << T
process: $1
fleet: demo
data_centre: $2
listen_port: 0
platform: $platform
T
  start "$1" "$bin/godwit-router" --settings "$work/$1.yaml"
}

ctl() { "$bin/godwitctl" --platform "$platform" "$@"; }

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]; }

has_links() { # ROUTER COUNT
  [ "$(curl -s "http://$1/status" | sed -n 's/.*"links":\([0-9]*\).*/\1/p')" = "$2" ]
}

# call NAME ROUTER PATH BODY HEADER... keeps the status in $status and the
# answer in $work/NAME.answer.
call() {
  local name=$1 router=$2 path=$3 body=$4
  shift 4
  local headers=()
  local header
  for header in "$@"; do
    headers+=(-H "$header")
  done
  status=$(curl -s -N -D "$work/$name.head" -o "$work/$name.answer" -w '%{http_code}' \
    -H 'Authorization: Bearer demo-key' "${headers[@]}" -d "$body" \
    "http://$router$path")
}

expect() { # TEXT FILE
  grep -q -- "$1" "$2" || {
    cat "$2" >&2
    fail "\"$1\" is not in $(basename "$2")"
  }
}

start platform "$bin/standin-platform" --port 0
platform=$address
start engine-1 "$bin/standin-engine" --port 0
engine_1=$address
start engine-2 "$bin/standin-engine" --port 0
engine_2=$address
start service "$bin/standin-service" --port 0
service=$address

start_agent engine-keelung keelung model_pool "$engine_1"
start_agent engine-banqiao banqiao model_pool "$engine_2"
start_agent dispatch-keelung keelung plain "$service"
start_router router-keelung keelung
router_1=$address
start_router router-banqiao banqiao
router_2=$address

cat > "$work/fleet.yaml" << T
classes:
  kiosk: {priority: 80, deadline_ms: 10000}
services:
  language:
    kind: model_pool
    model: fault-scribe
    backend_servers: [engine-keelung, engine-banqiao]
    max_output_tokens: 64
  dispatch:
    kind: plain
    backend_servers: [dispatch-keelung]
    call_cost: 5
organisations:
  kiosk-line:
    api_key_hashes: [$(printf %s demo-key | sha256sum | cut -d' ' -f1)]
    budget: kiosk-line-main
T

echo "== The operator applies a configuration and fills a budget"
ctl config apply "$work/fleet.yaml" --expect 0
ctl budget create kiosk-line-main --limit 2000 --op first-purchase
wait_until is_ready "$router_1"
wait_until is_ready "$router_2"
wait_until has_links "$router_1" 3
wait_until has_links "$router_2" 3
echo
echo "== The ledger before"
ctl budget show kiosk-line-main

echo
echo "== 1. A model question, streamed"
question='{"model":"fault-scribe","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Booth 14 has no dial tone"}]}'
call question "$router_1" /v1/chat/completions "$question" \
  'Content-Type: application/json' 'Idempotency-Key: question-1'
[ "$status" = 200 ] || { cat "$work/question.answer"; fail "the question got $status"; }
expect 'data: \[DONE\]' "$work/question.answer"
echo "status $status, $(grep -c '^data: ' "$work/question.answer") events, ends with [DONE]"

call again "$router_2" /v1/chat/completions "$question" \
  'Content-Type: application/json' 'Idempotency-Key: question-1'
cmp -s "$work/question.answer" "$work/again.answer" || fail "the retry got another answer"
echo "the same key through the other router: the same answer, byte for byte"

echo
echo "== 2. A dispatch ticket that must not run twice"
for router in "$router_1" "$router_2"; do
  call ticket "$router" /services/dispatch/tickets '{"booth":14}' \
    'Content-Type: application/json' 'Idempotency-Key: ticket-14' 'Godwit-Repeatable: false'
  [ "$status" = 200 ] || { cat "$work/ticket.answer"; fail "the ticket got $status"; }
  expect '"executions":1' "$work/ticket.answer"
  echo "status $status, $(cat "$work/ticket.answer")"
done

echo
echo "== 3. A request past the budget"
call beyond "$router_1" /v1/chat/completions \
  "{\"model\":\"fault-scribe\",\"messages\":[{\"role\":\"user\",\"content\":\"$(printf 'log line %.0s' $(seq 1 400))\"}]}" \
  'Content-Type: application/json'
[ "$status" = 402 ] || { cat "$work/beyond.answer"; fail "the request got $status"; }
expect '"kind":"budget_exhausted"' "$work/beyond.answer"
expect '"not_run":true' "$work/beyond.answer"
echo "status $status, $(cat "$work/beyond.answer")"

echo
echo "== The ledger after, once usage is settled"
billed() {
  ctl --json budget show kiosk-line-main | tr -d ' \n' | sed -n 's/.*"billed":\([0-9]*\).*/\1/p'
}
# Six words, eight tokens and a ticket of five.
settled() { [ "$(billed)" = 19 ]; }
wait_until settled
ctl budget show kiosk-line-main
echo
echo "the three outcomes are as stated: answered, answered once, refused as not run"
