#!/usr/bin/env bash
# A search that ends its searchers, in the product's own dialect, over a loss of all daemons.
#
# What callers see: after a restart of all daemons a search that was held back ends every
# searcher again.  Daemons told each other what is quarantined, and kept it nowhere: with the
# last of them it was forgotten.  Kept by the platform, it has to be read before a daemon
# that starts takes searches.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
CRASH_ON=doom
start_system

shop_lives() { http "http://127.0.0.1:$((SHOP_PORT + $1))/stats" >/dev/null 2>&1; } # NUMBER
all_complete() { search_complete 1 shop-search ripe && search_complete 2 shop-search ripe && search_complete 3 shop-search ripe; }

# Starts anew each shop searcher that has ended; counts them in ENDED.
revive() {
  local i
  sleep 0.3
  for i in 0 1 2; do
    shop_lives $i && continue
    ENDED=$((ENDED + 1))
    wait "${PIDS[shop-$i]}" 2>/dev/null
    start_searcher "shop-$i" $((SHOP_PORT + i)) 1 5 40 6000
  done
  until_true 10 all_complete || fail "searches are not complete again"
}

# The same search at each daemon in turn, until no searcher ends of it any more.
ENDED=0
for i in 1 2 3 1 2 3; do
  search $i shop-search doom >/dev/null
  revive
done
say "a search that ends searchers, six times: $ENDED ended"
[ $ENDED -ge 3 ] || fail "only $ENDED searchers ended"
kept() { http "http://$PLATFORM/v1/objects/quarantine?since=0&wait_ms=0" | grep -q quarantined; }
until_true 5 kept || fail "the platform has no quarantine: $(http "http://$PLATFORM/v1/objects/quarantine?since=0&wait_ms=0")"

insist() { # DAEMON
  local i end=$((SECONDS + 5))
  while [ $SECONDS -lt $end ]; do
    search $1 shop-search doom >/dev/null 2>&1
    sleep 0.02
  done
}

INSISTING=()
for round in 1 2; do
  ENDED=0
  for i in 1 2 3; do stop d$i KILL; done
  for i in 1 2 3; do start_daemon $i $i; done
  for i in 1 2 3; do insist $i & INSISTING[i]=$!; done
  for i in 1 2 3; do until_true 10 daemon_ready $i || fail "daemon d$i is not ready"; done
  wait "${INSISTING[@]}"
  revive
  say "start $round of all daemons: $ENDED searchers ended"
  [ $ENDED = 0 ] || fail "$ENDED searchers ended by a search that is quarantined"
done
say "quarantine of daemons: ok"
