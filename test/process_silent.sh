#!/usr/bin/env bash
# Open connections go silent for good while new ones work.
#
# Callers keep getting whole answers within their deadline: calls on the lost
# connections stay unanswered, replicas serve by hedge, a probe on a new
# connection shows that the target lives, and its connections are replaced.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system
RELAY=17350
start relay "$BUILD/test/tcp_proxy" $RELAY $SHOP_PORT
version=$(http "http://$PLATFORM/v1/objects/shardmaps/shop-search" | sed 's/.*"version":\([0-9]*\).*/\1/')
put shardmaps shop-search "$version" \
  "$(shard_map shop $SHOP_PORT 3 5 40 -1 | sed "s/\"port\":$SHOP_PORT,/\"port\":$RELAY,/")"
by_relay() { has "$(http "http://127.0.0.1:$((HTTP_BASE + 1))/v1/targets" \
  "http://127.0.0.1:$((HTTP_BASE + 2))/v1/targets" "http://127.0.0.1:$((HTTP_BASE + 3))/v1/targets")" ":$RELAY"; }
warm() { for i in 1 2 3; do search $i shop-search ripe >/dev/null; done; by_relay; }
until_true 10 warm || fail "the relay is not in use"
for i in 1 2 3 1 2 3; do search_complete $i shop-search ripe || fail "not complete through the relay"; done

kill -USR1 "${PIDS[relay]}"
renewed() {
  search_complete 1 shop-search ripe || fail "an answer was not whole after the connections went silent"
  for i in 1 2 3; do
    http "http://127.0.0.1:$((HTTP_BASE + i))/metrics" | grep -q '^merlinring_renewals_total [1-9]' && return 0
  done
  return 1
}
until_true 20 renewed || fail "the lost connections were not replaced"
state() { http "http://127.0.0.1:$((HTTP_BASE + 1))/v1/targets" "http://127.0.0.1:$((HTTP_BASE + 2))/v1/targets" \
  "http://127.0.0.1:$((HTTP_BASE + 3))/v1/targets"; }
has "$(state)" '"state":"down"' && fail "a living target was taken for dead"
say "silent: ok"
