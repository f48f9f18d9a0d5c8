#!/usr/bin/env bash
# A search that crashes its searchers, with merlinring's own dialect, and a restart of all
# daemons.
#
# Guards against a quarantined search that crashes every searcher again after a restart of
# all daemons.  This happens if the quarantine is only replicated between daemons, so that
# it is lost with the last of them.  The platform stores it, and a daemon that starts has to
# read it before it accepts searches.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
CRASH_ON=doom
start_system

shop_is_running() { http "http://127.0.0.1:$((SHOP_PORT + $1))/stats" >/dev/null 2>&1; } # NUMBER
all_complete() { search_complete 1 shop-search ripe && search_complete 2 shop-search ripe && search_complete 3 shop-search ripe; }

# Restarts each crashed shop searcher, and adds their number to CRASHES.
restart_crashed() {
  local i
  sleep 0.3
  for i in 0 1 2; do
    shop_is_running $i && continue
    CRASHES=$((CRASHES + 1))
    wait "${PIDS[shop-$i]}" 2>/dev/null
    start_searcher "shop-$i" $((SHOP_PORT + i)) 1 5 40 6000
  done
  until_true 10 all_complete || fail "searches are not complete again"
}

# Sends the same search to each daemon twice, until it crashes no more searchers.
CRASHES=0
for i in 1 2 3 1 2 3; do
  search $i shop-search doom >/dev/null
  restart_crashed
done
say "a search that crashes searchers, six times: $CRASHES crashed"
[ $CRASHES -ge 3 ] || fail "only $CRASHES searchers crashed"
quarantine_stored() { http "http://$PLATFORM/v1/objects/quarantine?since=0&wait_ms=0" | grep -q quarantined; }
until_true 5 quarantine_stored || fail "the platform has no quarantine: $(http "http://$PLATFORM/v1/objects/quarantine?since=0&wait_ms=0")"

send_repeatedly() { # DAEMON
  local i end=$((SECONDS + 5))
  while [ $SECONDS -lt $end ]; do
    search $1 shop-search doom >/dev/null 2>&1
    sleep 0.02
  done
}

SENDERS=()
for round in 1 2; do
  CRASHES=0
  for i in 1 2 3; do stop d$i KILL; done
  for i in 1 2 3; do start_daemon $i $i; done
  for i in 1 2 3; do send_repeatedly $i & SENDERS[i]=$!; done
  for i in 1 2 3; do until_true 10 daemon_ready $i || fail "daemon d$i is not ready"; done
  wait "${SENDERS[@]}"
  restart_crashed
  say "restart $round of all daemons: $CRASHES searchers crashed"
  [ $CRASHES = 0 ] || fail "$CRASHES searchers crashed by a quarantined search"
done
say "quarantine of daemons: ok"
