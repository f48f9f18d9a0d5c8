#!/usr/bin/env bash
# Established connections stop responding permanently while new ones work.
#
# Callers keep getting complete responses within their deadline: calls on the silent
# connections get no response, hedges to other replicas serve the searches, a probe on a new
# connection shows that the target is up, and its connections are replaced.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system
PROXY_PORT=$((FIRST_PORT + 350))
start proxy "$BUILD/test/tcp_proxy" $PROXY_PORT $SHOP_PORT
version=$(http "http://$PLATFORM/v1/objects/shardmaps/shop-search" | sed 's/.*"version":\([0-9]*\).*/\1/')
put shardmaps shop-search "$version" \
  "$(shard_map shop $SHOP_PORT 3 5 40 -1 | sed "s/\"port\":$SHOP_PORT,/\"port\":$PROXY_PORT,/")"
uses_proxy() { has "$(http "http://127.0.0.1:$((HTTP_BASE + 1))/v1/targets" \
  "http://127.0.0.1:$((HTTP_BASE + 2))/v1/targets" "http://127.0.0.1:$((HTTP_BASE + 3))/v1/targets")" ":$PROXY_PORT"; }
proxy_in_use() { for i in 1 2 3; do search $i shop-search ripe >/dev/null; done; uses_proxy; }
until_true 10 proxy_in_use || fail "the proxy is not in use"
for i in 1 2 3 1 2 3; do search_complete $i shop-search ripe || fail "a search through the proxy is not complete"; done

kill -USR1 "${PIDS[proxy]}"
connections_replaced() {
  search_complete 1 shop-search ripe || fail "a response was not complete after the connections went silent"
  for i in 1 2 3; do
    http "http://127.0.0.1:$((HTTP_BASE + i))/metrics" | grep -q '^merlinring_renewals_total [1-9]' && return 0
  done
  return 1
}
until_true 20 connections_replaced || fail "the silent connections were not replaced"
target_states() { http "http://127.0.0.1:$((HTTP_BASE + 1))/v1/targets" "http://127.0.0.1:$((HTTP_BASE + 2))/v1/targets" \
  "http://127.0.0.1:$((HTTP_BASE + 3))/v1/targets"; }
has "$(target_states)" '"state":"down"' && fail "a target that is up was reported as down"
say "silent: ok"
