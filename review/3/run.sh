#!/usr/bin/env bash
# All relays but one of khomas-b are cut off from the store, one after the other, while the
# configuration changes.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
WITH_PROXIES=1

APPLY_MS=3000 # config_apply_ms
now() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }

# Adds the route /added-VERSION/ to those that are there.
ROUTES=
change() { # VERSION
  ROUTES+="{\"name\":\"added-$1\",\"host\":\"h.test\",\"path_prefix\":\"/added-$1/\",\"kind\":\"safe\",
   \"timeout_ms\":8000,\"latency_target_ms\":800,\"priority\":2,\"service\":\"farmer-portal\",\"max_attempts\":2},"
  configure "$1" "$ROUTES"
}

cut_off() { # SIGNAL RELAYS...
  local signal=$1 r
  shift
  [ "$TROUBLE" = 0 ] || for r in "$@"; do kill "-$signal" "${PIDS[proxy$r]}"; done
}

start_all 5 6 24 28 0
broken=0
asked=0
for round in 1 2 3 4 5 6 7; do
  left=$((2 + round % 3)) # the relay of khomas-b that reaches the store: 2, 3 or 4
  cut=()
  for r in 0 1 2 3 4 5; do [ $r = $left ] || cut+=($r); done
  say "$(now) round $round: relays ${cut[*]} are cut off from the store"
  cut_off USR1 "${cut[@]}"
  sleep 0.5
  version=$((7 + round))
  change $version || cannot_run "the store"
  acknowledged=$(now)
  say "$acknowledged version $version acknowledged"
  while [ $(($(now) - acknowledged)) -lt $((APPLY_MS + 100)) ]; do sleep 0.1; done
  for n in 1 2 3 4; do
    sent=$(now)
    status=$("$STANDIN" get "$(port $left 0)" "/added-$version/x" "q$round-$n")
    asked=$((asked + 1))
    say "$sent request q$round-$n to relay $left, $((sent - acknowledged)) ms after the acknowledgement: $status"
    [ "$status" != 404 ] || broken=$((broken + 1))
    sleep 0.8
  done
  say "$(now) round $round: the cuts end"
  cut_off USR2 "${cut[@]}"
  sleep 5
done
say "CONFIG: $broken of $asked requests refused with 404 as only an older version allows"
[ $broken = 0 ]
exit $?
