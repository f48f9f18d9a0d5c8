#!/usr/bin/env bash
# Every answer comes from one snapshot and states its coverage truthfully.
#
# 1. A searcher answers from another snapshot: its answers are discarded, other
#    replicas serve, and what only it serves is stated as missing.
# 2. A searcher answers with another call's id: the same.
# 3. The index moves to a new snapshot under load: no answer mixes the two.
# 4. A draining searcher gets no new calls after its first sign.
# 5. With the snapshot check switched off, the wrong answers are merged.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start stalls watch_stalls
start_system

for fault in wrong_snapshot wrong_id; do
  control 2 $fault=1
  missing() { search 1 shop-search ripe | grep -q '"complete":false,"missing":\["shard-11"\]'; }
  until_true 5 missing || fail "$fault: shard-11 is not stated as missing"
  control 2 $fault=0
  until_true 5 search_complete 1 shop-search ripe || fail "$fault: coverage did not return"
done

"$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --rate 60 --seconds 5 --deadline-ms 500 \
  >"$LOGS/load.txt" &
load=$!
control_all add_snapshot=s2
version=$(http "http://$PLATFORM/v1/objects/shardmaps/shop-search" | sed 's/.*"version":\([0-9]*\).*/\1/')
put shardmaps shop-search "$version" "$(shard_map shop $SHOP_PORT 3 5 40 11 | sed 's/"s1"/"s2"/')"
on_s2() { has "$(search "$1" shop-search ripe)" '"snapshot":"s2"'; }
for i in 1 2 3; do until_true 10 on_s2 $i || fail "d$i does not use the new snapshot"; done
control_all drop_snapshot=s1
wait $load || fail "searches failed during the switch: $(cat "$LOGS/load.txt")"
grep -q '"partial":0,"refused":0,"failed":0' "$LOGS/load.txt" ||
  fail "answers were not whole during the switch: $(cat "$LOGS/load.txt")"

control 0 draining=1
until_true 5 search_complete 1 shop-search ripe || fail "no full coverage beside a draining searcher"
for i in 1 2 3; do search $i shop-search ripe >/dev/null; done
calls() { http "http://127.0.0.1:$SHOP_PORT/stats" | sed 's/.*"calls":\([0-9]*\).*/\1/'; }
before=$(calls)
for i in 1 2 3 1 2 3; do search $i shop-search ripe >/dev/null; done
[ "$(calls)" = "$before" ] || fail "a draining searcher got $(($(calls) - before)) new calls"

for i in 1 2 3; do stop d$i KILL; done
DAEMON=test/merlinringd_unsafe
export MERLINRING_GUARDS_OFF=1 # the snapshot of replies
for i in 1 2 3; do start_daemon $i $i; done
for i in 1 2 3; do until_true 10 daemon_ready $i || fail "unsafe d$i did not start"; done
control 2 wrong_snapshot=1
until_true 10 search_complete 1 shop-search ripe ||
  fail "without the check answers of another snapshot should be merged"
say "search: ok"
