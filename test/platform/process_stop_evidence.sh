#!/usr/bin/env bash
# Guards against evidence that is lost with a relay that stops: the last request that it answers has
# crashed searchers, and would crash others at the next relay.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

kill -TERM "${PIDS[r1]}"
sleep 2.2 # of 4 s; the relay ends after 2.6 s once no connection is open
status=$(ask 1 /one/crash-work-450 last)
wait "${PIDS[r1]}"
code=$?
unset "PIDS[r1]"
[ "$code" = 0 ] || fail "the relay exited with $code"
[ "$status" = 502 ] || fail "a request that crashes searchers got '$status'"
content=$(grep '"request":"last"' "$LOGS/r1.log" | grep -o '"content":"[0-9a-f]*"')
ended() { grep -h "\"E1410\".*$content" "$LOGS/r$1.log" | grep -o '"ended":[0-9]*' | tail -n 1; } # RELAY
[ "$(ended 1)" = '"ended":2' ] || fail "relay 1 has seen '$(ended 1)' of two crashes"
same_evidence() { [ "$(ended 2)" = "$(ended 1)" ]; }
until_true 2 same_evidence || fail "relay 2 knows '$(ended 2)' of relay 1's '$(ended 1)'"
say "evidence at a stop: ok"
