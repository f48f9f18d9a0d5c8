#!/usr/bin/env bash
# Configuration and targets with a failing store, and a graceful shutdown.
#
# Guards against outdated routes after a change, requests to draining searchers, the loss of
# all targets after an outage, and requests that a shutdown aborts.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

served_by() { [ "$(ask "$1" /one/q "b$RANDOM")" = 200 ] && field X-Server-Stamp | grep -q "^$2"; }
shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

# A change is in force on every relay within 3 s, also on those that do not watch.
configure 2 '"a","b"'
for r in 1 2 3; do until_true 3 shards $r 2 || fail "relay $r does not follow the change"; done

# A draining searcher gets no more requests.
register 1 i-1 a draining
for r in 1 2 3; do
  until_true 3 served_by $r i-2 || fail "relay $r"
done
sleep 1
for r in 1 2 3; do
  for i in 1 2 3 4; do served_by $r i-2 || fail "relay $r still uses a draining searcher"; done
done
register 1 i-1b a ready # its next process is another target that identifies itself as i-1
unregister i-1

# The store loses its history: relays list all objects instead of reading changes.
mode $STORE gone
configure 3 '"a","b","c"'
for r in 1 2 3; do until_true 5 shards $r 3 || fail "relay $r after lost history"; done

# The store does not respond, then is down: the relays keep serving, and one that starts
# during the outage gets all data from the others.
mode $STORE silent
stop r3 KILL
start_relay 3 z3
until_true 8 relay_ready 3 || fail "the relay does not start during an outage"
shards 3 3 || fail "a relay that started in an outage does not serve all shards"
mode $STORE down
sleep 1
for r in 1 2 3; do shards $r 3 || fail "relay $r does not serve in an outage"; done
mode $STORE ok
configure 4 '"a","b"'
for r in 1 2 3; do until_true 6 shards $r 2 || fail "relay $r after the outage"; done

# A graceful shutdown under load aborts no request, and the address is no longer listed.
mode "$(searcher_at 2)" slow
load() {
  local i failures=0
  for i in $(seq 1 40); do
    [ "$(ask 2 /one/q "l$i" --connect-timeout 1)" = 200 ] || failures=$((failures + 1))
    [ "$(http "http://127.0.0.1:$(relay_port 1 2)/resolve?name=h&region=r&zone=z1" |
      grep -c ":$(relay_port 2 0)\"")" = 0 ] && break
  done
  printf '%d' $failures >"$LOGS/failures"
}
load &
pid=$!
sleep 0.5
stop r2 TERM || fail "the relay exited with $?"
wait $pid
[ "$(cat "$LOGS/failures")" = 0 ] || fail "$(cat "$LOGS/failures") requests failed during a graceful shutdown"
grep -q '"event":"E1003"' "$LOGS/r2.log" || fail "no log line about the shutdown"

# Invalid settings: the check fails with an error that names the field.
sed 's/"grace_s":4,//' "$LOGS/r1.json" >"$LOGS/wrong.json"
MERLINRING_CONFIG="$LOGS/wrong.json" "$BUILD/merlinring-relay" --check >"$LOGS/check.txt" 2>&1 &&
  fail "invalid settings pass the check"
grep -q "bounds.grace_s" "$LOGS/check.txt" || fail "the error does not name the field: $(cat "$LOGS/check.txt")"
MERLINRING_CONFIG="$LOGS/r1.json" "$BUILD/merlinring-relay" --check >/dev/null || fail "valid settings fail the check"
say "store: ok"
