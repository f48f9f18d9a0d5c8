#!/usr/bin/env bash
# Configuration and targets under a store that fails, and a planned stop.
#
# What callers see if it goes wrong: old routes after a change, work sent to
# searchers that leave, no target at all after an outage, requests cut off.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

served_by() { [ "$(ask "$1" /one/q "b$RANDOM")" = 200 ] && field X-Server-Stamp | grep -q "^$2"; }
shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

# A change is in force on every relay within its bound, whoever watches.
configure 2 '"a","b"'
for r in 1 2 3; do until_true 3 shards $r 2 || fail "relay $r does not follow the change"; done

# A searcher that leaves gets nothing more.
announce 1 i-1 a draining
for r in 1 2 3; do
  until_true 3 served_by $r i-2 || fail "relay $r"
done
sleep 1
for r in 1 2 3; do
  for i in 1 2 3 4; do served_by $r i-2 || fail "relay $r still uses a searcher that leaves"; done
done
announce 1 i-1b a ready # its next process is another target, and answers as i-1
withdraw i-1

# The store loses its history: a full listing takes the place of the changes.
mode $STORE gone
configure 3 '"a","b","c"'
for r in 1 2 3; do until_true 5 shards $r 3 || fail "relay $r after lost history"; done

# The store goes silent, then is down: serving goes on, and a relay that starts
# in the outage learns everything from the others.
mode $STORE silent
stop r3 KILL
start_relay 3 z3
until_true 8 relay_ready 3 || fail "no start during an outage"
shards 3 3 || fail "a relay that started in an outage serves wrongly"
mode $STORE down
sleep 1
for r in 1 2 3; do shards $r 3 || fail "relay $r does not serve in an outage"; done
mode $STORE ok
configure 4 '"a","b"'
for r in 1 2 3; do until_true 6 shards $r 2 || fail "relay $r after the outage"; done

# A planned stop under load cuts nobody off, and its address is not handed out.
mode "$(searcher_at 2)" slow
load() {
  local i bad=0
  for i in $(seq 1 40); do
    [ "$(ask 2 /one/q "l$i" --connect-timeout 1)" = 200 ] || bad=$((bad + 1))
    [ "$(http "http://127.0.0.1:$(relay_port 1 2)/resolve?name=h&region=r&zone=z1" |
      grep -c ":$(relay_port 2 0)\"")" = 0 ] && break
  done
  printf '%d' $bad >"$LOGS/bad"
}
load &
pid=$!
sleep 0.5
stop r2 TERM || fail "the stop exited with $?"
wait $pid
[ "$(cat "$LOGS/bad")" = 0 ] || fail "$(cat "$LOGS/bad") requests were cut off by a planned stop"
grep -q '"event":"E1003"' "$LOGS/r2.log" || fail "no line of the stop"

# Wrong settings: a clear error that names the field, and no start.
sed 's/"grace_s":4,//' "$LOGS/r1.json" >"$LOGS/wrong.json"
MERLINRING_CONFIG="$LOGS/wrong.json" "$BUILD/merlinring-relay" --check >"$LOGS/check.txt" 2>&1 &&
  fail "wrong settings pass"
grep -q "bounds.grace_s" "$LOGS/check.txt" || fail "the error does not name the field: $(cat "$LOGS/check.txt")"
MERLINRING_CONFIG="$LOGS/r1.json" "$BUILD/merlinring-relay" --check >/dev/null || fail "right settings fail"
say "store: ok"
