#!/usr/bin/env bash
# A graceful shutdown aborts no request in flight; a kill breaks no guarantee.
#
# 1. SIGTERM under load: callers that use addresses for their time to live get no failure,
#    and the process exits with 0.
# 2. SIGKILL under load: the other daemons keep serving.
# 3. With draining switched off, the shutdown aborts requests.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system

# Slow responses, so that some requests are in flight at any time.
control_all slow_factor=10
load() { "$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --rate 25 --seconds 6 --deadline-ms 900 >"$LOGS/load.txt"; }
searches() { http "http://127.0.0.1:$((HTTP_BASE + $1))/metrics" | awk '$1 == "merlinring_searches_total" {print $2}'; }
serving() { [ "$(searches "$1")" -gt $(($2 + 5)) ]; } # DAEMON, count before the load
before=$(searches 2)
load &
pid=$!
until_true 5 serving 2 "$before" || fail "d2 serves nothing"
stop d2 TERM || fail "d2 exited with $?"
wait $pid || fail "requests failed in a graceful shutdown: $(cat "$LOGS/load.txt")"
grep -q '"refused":0,"failed":0' "$LOGS/load.txt" || fail "requests were refused in a graceful shutdown: $(cat "$LOGS/load.txt")"

before=$(searches 3)
load &
pid=$!
until_true 5 serving 3 "$before" || fail "d3 serves nothing"
stop d3 KILL
wait $pid # requests at d3 itself may fail
control_all slow_factor=1
until_true 10 search_complete 1 shop-search ripe || fail "d1 does not serve complete responses"

stop d1 KILL
DAEMON=test/merlinringd_unsafe
MERLINRING_GUARDS_OFF=2000 start_daemon 1 1 # draining
until_true 10 daemon_ready 1 || fail "the unsafe d1 did not start"
until_true 10 search_complete 1 shop-search ripe || fail "the unsafe d1 does not serve"
control_all slow_factor=10
before=$(searches 1)
load &
pid=$!
until_true 5 serving 1 "$before" || fail "the unsafe d1 serves nothing"
stop d1 TERM
wait $pid && fail "without draining, requests should fail"
say "stop: ok"
