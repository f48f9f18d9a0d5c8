#!/usr/bin/env bash
# A request that ends its searchers, at the moment at which all relays start again.
#
# What callers see: after a loss of all relays the first seconds are worse than the loss.
# A request that had ended three searchers, and that was held back, comes again in the
# moment at which the relays start.  They serve as soon as they know the routes and the
# targets, and read what is quarantined after that; so it goes to one searcher of each
# shard at once, and ends them all.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

INSISTING=()

# Starts anew, under another id, each searcher that has ended.
revive() {
  local i
  GENERATION=$((GENERATION + 1))
  for i in 1 2 3 4; do
    lives $i || restart_ended $i
  done
}

# Such requests, one after the other, from before RELAY listens until it has served for
# some time.
insist() { # RELAY SECONDS
  local i end=$((SECONDS + $2))
  for ((i = 0; SECONDS < end; i++)); do
    curl -s -o /dev/null --max-time 2 -H "Host: h.test" -H "X-Request-Id: insist$1-$i" \
      -H "X-Deadline-Ms: 1000" "http://127.0.0.1:$(relay_port "$1" 0)$CRASH"
    sleep 0.02
  done
}

# Until PATH is quarantined, and the store knows.  30 s later one call of it may go out again.
quarantine() { # PATH
  local i count
  count=$(kept)
  CRASH=$1
  for i in 1 2 3; do
    ask $i "$CRASH" "crash$i" >/dev/null
    sleep 0.3
    revive
    until_true 10 all_whole || fail "searches are not whole again"
  done
  more_kept() { [ "$(kept)" -gt "$count" ]; }
  until_true 5 more_kept || fail "the store has no quarantine: $(http "http://$STORE/objects/quarantine")"
}
kept() { http "http://$STORE/objects/quarantine" | grep -o '"quarantined"' | wc -l; }

# start_all: all relays are killed and start again, and are asked all the while for what is
# quarantined.
start_all() { # MODE of the store, down and shed for a while; SECONDS to ask
  local before r
  before=$(cat "$LOGS"/s*.log | grep -c '^run crash\|^run insist')
  for r in 1 2 3; do stop r$r KILL; done
  for r in 1 2 3; do start_relay $r "z$r"; done
  for r in 1 2 3; do insist $r $2 & INSISTING[r]=$!; done
  if [ "$1" = down ] || [ "$1" = shed ]; then
    sleep 1.7
    mode "$STORE" ok
  fi
  for r in 1 2 3; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
  wait "${INSISTING[@]}"
  REACHED=$(($(cat "$LOGS"/s*.log | grep -c '^run crash\|^run insist') - before))
}

# Where the store answers, at once or late or after an outage, or lists the routes and then
# falls silent for a while, not one call may go out.
declare -A ASKED_FOR=([ok]=2 [slow]=2 [down]=5 [shed]=7)
check_starts() { # MODES of the store
  local store
  for store in "$@"; do
    mode "$STORE" "$store"
    start_all $store ${ASKED_FOR[$store]}
    say "start of all relays, the store $store: $REACHED calls reached searchers"
    [ $REACHED = 0 ] || fail "$REACHED calls of a quarantined request reached searchers"
    until_true 10 all_whole || fail "searches are not whole after the relays' start"
  done
}
quarantine /all/crash
check_starts ok ok slow slow down down
mode "$STORE" ok
quarantine /all/crash-again
check_starts shed shed

# Where the store refuses to list quarantines, and nothing else, searches are served all the
# same, soon.
mode "$STORE" error
for r in 1 2 3; do stop r$r KILL; done
for r in 1 2 3; do start_relay $r "z$r"; done
for r in 1 2 3; do until_true 3 relay_ready $r || fail "relay $r is not ready without quarantines"; done
until_true 10 all_whole || fail "searches are not whole without quarantines"
say "quarantine at a start: ok"
