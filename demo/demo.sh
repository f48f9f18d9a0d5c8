#!/usr/bin/env bash
# Starts a small system on loopback and checks merlinring's main guarantees; exits non-zero
# if a check fails.  demo.sh BUILD [up]: "up" only starts the system and keeps it running.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
trap 'exit 1' INT TERM

start_system
say "started: platform stand-in, 3 daemons in 3 failure domains, shop search (3 searchers of 5"
say "slots) and farmer portal (13 searchers of 6 slots), $RECORDS records in $SHARDS shards"

if [ "${2:-}" = up ]; then
  say "callers:   http://127.0.0.1:$((HTTP_BASE + 1)) to $((HTTP_BASE + 3)); logs in $LOGS"
  say "try:       export MERLINRING_ENTRY=127.0.0.1:$((HTTP_BASE + 1)) MERLINRING_PLATFORM=$PLATFORM"
  say "           $BUILD/merlinringctl status"
  say "           $BUILD/merlinringctl search shop-search ripe round"
  say "           $BUILD/merlinringctl order shop-search '{\"record\":\"r17\"}'"
  say "           $BUILD/merlinringctl document edit --wait shop-search top_k=5"
  say "           $BUILD/load --entry 127.0.0.1:$((HTTP_BASE + 1)) --rate 100 --seconds 10"
  say "Press Ctrl-C to stop."
  trap 'exit 0' INT TERM
  wait
  exit 0
fi

say "== addresses for a caller in domain-2"
ctl addresses --domain domain-2 || fail "no addresses returned"

say "== a search with full coverage"
ctl search --deadline-ms 500 shop-search ripe round in stock || fail "the search is not complete"

say "== the same search while the only searcher of shard-11 is down"
stop shop-2 KILL
shard_missing() { search 1 shop-search ripe | grep -q '"complete":false,"missing":\["shard-11"\]'; }
until_true 10 shard_missing || fail "the response does not list the missing shard"
ctl search --deadline-ms 500 --hits 3 shop-search ripe round
[ $? -eq 6 ] || fail "a partial answer should exit with 6"
start_searcher shop-2 $((SHOP_PORT + 2)) 1 5 40 6000
until_true 10 search_complete 1 shop-search ripe || fail "coverage is not full after the restart of the searcher"
say "searcher restarted, full coverage again"

say "== an order, then its ticket again at another daemon"
ticket=$(ctl ticket shop-search) || fail "no ticket"
ctl order --ticket "$ticket" shop-search '{"record":"r17","rounds":4}' || fail "the order failed"
again=$("$BUILD/merlinringctl" --entry 127.0.0.1:$((HTTP_BASE + 2)) order --ticket "$ticket" \
  shop-search '{"record":"r17","rounds":4}') || fail "the repeated order failed"
say "$again"
twice=0
for i in 0 1 2; do
  http "http://127.0.0.1:$((SHOP_PORT + i))/stats" | grep -q '"tickets_run_twice":0' || twice=1
done
[ $twice -eq 0 ] || fail "the order ran twice"

say "== an operator's edit, applied on every daemon"
ctl document edit --wait shop-search top_k=7 || fail "the edit was not applied"
ctl document edit shop-search top_k=0 && fail "an invalid document was accepted"

say "== a graceful shutdown of d2 under load"
"$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --rate 100 --seconds 8 --deadline-ms 500 \
  >"$LOGS/load.txt" &
load=$!
sleep 2 # some load before the stop; no check depends on this time
stop d2 TERM || fail "d2 exited with $?"
wait $load || fail "requests failed during the shutdown: $(cat "$LOGS/load.txt")"
cat "$LOGS/load.txt"
grep -q '"refused":0,"failed":0' "$LOGS/load.txt" || fail "requests were refused during the shutdown"
say "d2 exited with 0; no request failed"
say "demo finished in $SECONDS s"
