#!/usr/bin/env bash
# Quarantines in a store that comes back from a copy taken before them.
#
# Guards against a quarantine that is lost at the next restart of all relays, or lifted by the
# loss itself, and against one that returns although an operator has lifted it.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT

restart_crashed() {
  local i
  GENERATION=$((GENERATION + 1))
  for i in 1 2 3 4; do is_running $i || restart_searcher $i; done
}
ctl() { "$BUILD/merlinringctl" --entry "127.0.0.1:$(relay_port "$1" 4)" "${@:2}"; }
quarantine_count_is() { [ "$(ctl "$1" quarantine show | grep -c quarantined)" = "$2" ]; }
stored_quarantines() { http "http://$STORE/objects/quarantine" | grep -o '"quarantined"' | wc -l; }
stored_quarantines_are() { [ "$(stored_quarantines)" = "$1" ]; }

start_platform 3
copy_store
for i in 1 2 3 4 5 6; do
  ask $((i % 3 + 1)) /one/crash "crash$i" >/dev/null
  sleep 0.2
  restart_crashed
done
for r in 1 2 3; do until_true 5 quarantine_count_is $r 1 || fail "relay $r has no quarantine"; done
until_true 10 stored_quarantines_are 1 || fail "the store has no quarantine"

# The restored store lacks the quarantine: it stays in force, and is written again.
restore_store cut
until_true 15 stored_quarantines_are 1 || fail "the quarantine is not written again"
for r in 1 2 3; do quarantine_count_is $r 1 || fail "relay $r has lost the quarantine"; done

# The copy holds the quarantine, and an operator has lifted it since: it stays lifted.
copy_store
content=$(ctl 1 quarantine show --json | sed -n 's/.*"content": "\(.*\)".*/\1/p')
ctl 1 quarantine lift "$content" >/dev/null || fail "the quarantine is not lifted"
for r in 1 2 3; do until_true 5 quarantine_count_is $r 0 || fail "relay $r still has the quarantine"; done
until_true 10 stored_quarantines_are 0 || fail "the store still has the quarantine"
restore_store mute
for ((i = 0; i < 30; i++)); do
  for r in 1 2 3; do quarantine_count_is $r 0 || fail "the quarantine has returned at relay $r"; done
  sleep 0.3
done
until_true 15 stored_quarantines_are 0 || fail "the lift is not written again"
say "restored quarantine: ok"
