#!/usr/bin/env bash
# A request that crashes its searchers, sent while all relays restart.
#
# Guards against a crash of one searcher of each shard right after a restart of all relays.
# This happens if the relays serve as soon as they have the routes and targets, but read
# the quarantine only after that, while a request that has crashed three searchers and
# was quarantined is repeated.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

SENDERS=()

# Restarts each crashed searcher with a new id.
restart_crashed() {
  local i
  GENERATION=$((GENERATION + 1))
  for i in 1 2 3 4; do
    is_running $i || restart_searcher $i
  done
}

# Sends such requests one after the other for SECONDS, from before RELAY listens.
send_repeatedly() { # RELAY SECONDS
  local i end=$((SECONDS + $2))
  for ((i = 0; SECONDS < end; i++)); do
    curl -s -o /dev/null --max-time 2 -H "Host: h.test" -H "X-Request-Id: insist$1-$i" \
      -H "X-Deadline-Ms: 1000" "http://127.0.0.1:$(relay_port "$1" 0)$CRASH"
    sleep 0.02
  done
}

# Sends requests to PATH until its quarantine is in the store.  30 s later a relay may send one
# call of it as a trial.
quarantine() { # PATH
  local i count
  count=$(stored_quarantines)
  CRASH=$1
  for i in 1 2 3; do
    ask $i "$CRASH" "crash$i" >/dev/null
    sleep 0.3
    restart_crashed
    until_true 10 all_complete || fail "searches are not complete again"
  done
  more_stored() { [ "$(stored_quarantines)" -gt "$count" ]; }
  until_true 5 more_stored || fail "the store has no quarantine: $(http "http://$STORE/objects/quarantine")"
}
stored_quarantines() { http "http://$STORE/objects/quarantine" | grep -o '"quarantined"' | wc -l; }

# Kills and restarts all relays while quarantined requests are sent to them.
restart_under_load() { # MODE of the store (down and shed end after 1.7 s), SECONDS of requests
  local before r
  before=$(cat "$LOGS"/s*.log | grep -c '^run crash\|^run insist')
  for r in 1 2 3; do stop r$r KILL; done
  for r in 1 2 3; do start_relay $r "z$r"; done
  for r in 1 2 3; do send_repeatedly $r $2 & SENDERS[r]=$!; done
  if [ "$1" = down ] || [ "$1" = shed ]; then
    sleep 1.7
    mode "$STORE" ok
  fi
  for r in 1 2 3; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
  wait "${SENDERS[@]}"
  CALLS=$(($(cat "$LOGS"/s*.log | grep -c '^run crash\|^run insist') - before))
}

# No call may be sent if the store responds at once, late or after an outage, or if it lists
# the configuration and then does not respond for a while.
declare -A SEND_SECONDS=([ok]=2 [slow]=2 [down]=5 [shed]=7)
check_starts() { # MODES of the store
  local store
  for store in "$@"; do
    mode "$STORE" "$store"
    restart_under_load $store ${SEND_SECONDS[$store]}
    say "restart of all relays, store mode $store: $CALLS calls reached searchers"
    [ $CALLS = 0 ] || fail "$CALLS calls of a quarantined request reached searchers"
    until_true 10 all_complete || fail "searches are not complete after the restart of the relays"
  done
}
quarantine /all/crash
check_starts ok ok slow slow down down
mode "$STORE" ok
quarantine /all/crash-again
check_starts shed shed

# If the store fails only to list quarantines, the relays still serve searches soon after the
# start.
mode "$STORE" error
for r in 1 2 3; do stop r$r KILL; done
for r in 1 2 3; do start_relay $r "z$r"; done
for r in 1 2 3; do until_true 3 relay_ready $r || fail "relay $r is not ready without quarantines"; done
until_true 10 all_complete || fail "searches are not complete without quarantines"
say "quarantine at a restart: ok"
