#!/usr/bin/env bash
# Every response is from one snapshot and reports its true coverage.
#
# 1. A searcher responds from another snapshot: its responses are discarded, other replicas
#    serve, and shards without other replicas are reported as missing.
# 2. A searcher responds with the id of another call: as above.
# 3. The index is switched to a new snapshot under load: no response mixes the two.
# 4. A draining searcher gets no new calls after it has first refused one.
# 5. With the snapshot check switched off, responses of the wrong snapshot are merged.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start stalls watch_stalls
start_system

for fault in wrong_snapshot wrong_id; do
  control 2 $fault=1
  missing() { search 1 shop-search ripe | grep -q '"complete":false,"missing":\["shard-11"\]'; }
  until_true 5 missing || fail "$fault: shard-11 is not reported as missing"
  control 2 $fault=0
  until_true 5 search_complete 1 shop-search ripe || fail "$fault: coverage is not full again"
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
  fail "responses were not complete during the switch: $(cat "$LOGS/load.txt")"

control 0 draining=1
until_true 5 search_complete 1 shop-search ripe || fail "no full coverage with a draining searcher"
for i in 1 2 3; do search $i shop-search ripe >/dev/null; done
calls() { http "http://127.0.0.1:$SHOP_PORT/stats" | sed 's/.*"calls":\([0-9]*\).*/\1/'; }
before=$(calls)
for i in 1 2 3 1 2 3; do search $i shop-search ripe >/dev/null; done
[ "$(calls)" = "$before" ] || fail "a draining searcher got $(($(calls) - before)) new calls"

for i in 1 2 3; do stop d$i KILL; done
DAEMON=test/merlinringd_unsafe
export MERLINRING_GUARDS_OFF=1 # the snapshot check of replies
for i in 1 2 3; do start_daemon $i $i; done
for i in 1 2 3; do until_true 10 daemon_ready $i || fail "unsafe d$i did not start"; done
control 2 wrong_snapshot=1
until_true 10 search_complete 1 shop-search ripe ||
  fail "without the check responses of another snapshot should be merged"
say "search: ok"
