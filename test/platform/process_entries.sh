#!/usr/bin/env bash
# Entries of searchers that restart under the same id, and entries by other programs.
#
# Guards against calls to a process that has exited, orders that wait until their
# deadline, and the loss of all targets because one entry is unreadable.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2
on_both_relays() { # COMMAND...: succeeds on both relays
  "$@" 1 && "$@" 2
}
log_has() { grep -q "$1" "$LOGS/r1.log" "$LOGS/r2.log"; }
served_by() { # SEARCHER RELAY
  [ "$(ask "$2" /one/q "b$RANDOM")" = 200 ] && field X-Server-Stamp | grep -q "^$1"
}

# i-1 restarts at another address, that of searcher 5.  It is used, and an entry of the
# old process that is read after the new one is ignored.
unregister i-2
start s5 "$BUILD/test/standin" searcher $((SEARCHER_BASE + 5)) i-1
until_true 5 http "http://$(searcher_at 5)/runs/x" || fail "searcher 5 does not start"
register_started 1 i-1 a ready 1784833516000
until_true 5 log_has '"event":"E1408".*i-1 .*has started again' || fail "the first process start is not accepted"
mode "$(searcher_at 1)" silent
register_started 5 i-1 a ready 1784833517000
until_true 5 on_both_relays served_by i-1 || fail "the new process is not used"
register_started 1 i-1 a ready 1784833516000
until_true 5 log_has '"event":"E1207".*i-1: version .* was written by an earlier process' ||
  fail "the entry of the old process is not ignored"
for n in 1 2 3 4; do on_both_relays served_by i-1 || fail "an entry of the old process is in force"; done

# An order is sent to a process that has exited.  The entry of the new process shows this
# before the deadline: the outcome is unknown, and the order is not resent.
mode "$(searcher_at 5)" silent
begin=$(date +%s%N)
ask 1 /order/q o1 -X POST -d x >"$LOGS/o1" &
order=$!
sleep 0.15
register_started 1 i-1 a ready 1784833518000
mode "$(searcher_at 1)" ok
wait $order
elapsed_ms=$((($(date +%s%N) - begin) / 1000000))
[ "$(cat "$LOGS/o1")" = 502 ] || fail "the order got $(cat "$LOGS/o1")"
[ "$elapsed_ms" -lt 950 ] || fail "the order was answered after $elapsed_ms ms, at its deadline"
[ "$(runs o1)" = 0 ] || fail "the order was resent"

# Invalid entries: the other entries of the page stay in force, also for a relay that starts
# and reads all of them.
register_raw i-90 "$(printf '\xff\xfe{"[')"
register_raw i-91 '{"service":"a","address":"127.0.0.1:1"}'
register_raw i-92 '{"service":"a","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":"many","state":"ready","warmup_left_ms":0,"seq":1}'
register_raw i-93 '"'
until_true 5 log_has '"event":"E1207".*i-91: invalid entry, field .zone.' || fail "no log line about the invalid entry"
for n in 1 2 3 4; do on_both_relays served_by i-1 || fail "invalid entries hide the valid ones"; done
for r in 1 2; do stop r$r KILL; done
for r in 1 2; do start_relay $r z$r; done
for r in 1 2; do until_true 10 relay_ready $r || fail "relay $r does not start with invalid entries in the store"; done
[ "$(ask 1 /all/q all1)" = 200 ] || fail "no response with invalid entries in the store"
[ "$(field X-Missing-Parts)" = 0 ] || fail "invalid entries hide a shard"

# An invalid entry under the id of a valid one ends new requests to that target.
register 2 i-2 a ready
mode "$(searcher_at 1)" shed # otherwise i-2 might get no request at all
until_true 5 on_both_relays served_by i-2 || fail "i-2 is not used again"
mode "$(searcher_at 1)" ok
register_raw i-2 '{"service":7}'
target_removed() { grep -q '"event":"E1403".*i-2 .*no longer listed' "$LOGS/r$1.log"; }
until_true 5 on_both_relays target_removed || fail "an invalid entry does not remove its target"
for n in 1 2 3 4; do on_both_relays served_by i-1 || fail "requests go to a target with an invalid entry"; done
say "entries: ok"
