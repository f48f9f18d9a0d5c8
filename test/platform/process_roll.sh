#!/usr/bin/env bash
# Guards against requests whose connections end without an answer while all relays are replaced,
# one after the other: requests on kept connections, to old addresses, and with long work.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/calls.sh"
trap stop_all EXIT

RELAYS=4
PAUSE=1.25 # between the starts of two stops
GRACE_S=6

start_platform $RELAYS
configure_long_routes 2
run_callers 16 200 $(seq 1 $((2 * RELAYS)))
sleep 4 # so that old address answers are in use
for ((i = 1; i <= RELAYS; i++)); do
  start_relay $((RELAYS + i)) "z$i"
  until_true 10 relay_ready $((RELAYS + i)) || fail "the replacement of relay $i is not ready"
  kill -TERM "${PIDS[r$i]}"
  sleep $PAUSE
done
wait "$CALLERS" || fail "the callers ended with $?"
for ((i = 1; i <= RELAYS; i++)); do
  wait "${PIDS[r$i]}"
  code=$?
  unset "PIDS[r$i]"
  [ "$code" = 0 ] || fail "relay $i exited with $code"
done
check_calls
say "roll: ok"
