#!/usr/bin/env bash
# Failure domains whose targets are to get no new work, while callers go on asking.
#
# Guards against calls that reach an evacuated domain: after a second, at a start of all
# relays, after an outage or lost history of the store, and against a domain that stays
# out of use when its evacuation is over.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

# Searchers 2 (of "a") and 4 (the only one of "c") are in another failure domain.
place() { # NUMBER
  announce_raw "${IDS[$1]}" "{\"service\":\"${SERVICES[$1]}\",\"address\":\"$(searcher_at "$1")\",
    \"zone\":\"far\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":2}"
}
evacuate() { http -X PUT "http://$STORE/objects/evacuations/$1" --data-binary '{}' >/dev/null; }
take_back() { http -X DELETE "http://$STORE/objects/evacuations/$1" >/dev/null; }
far_runs() { cat "$LOGS/s2.log" "$LOGS/s4.log" | grep -c '^run'; }
near_runs() { cat "$LOGS/s1.log" "$LOGS/s3.log" | grep -c '^run'; }

# Asks all relays for everything, for SECONDS.
ask_on() {
  local end=$((SECONDS + $1)) r
  while [ "$SECONDS" -lt "$end" ]; do
    for r in 1 2 3; do
      ask $r /all/q "e$RANDOM$RANDOM" >/dev/null
      ask $r /one/q "f$RANDOM$RANDOM" >/dev/null
    done
  done
}

# Nothing reaches the domain from now on, while all relays are asked.
check_empty() { # WHEN
  local before
  before=$(far_runs)
  ask_on 2
  [ "$(far_runs)" = "$before" ] || fail "$1: $(($(far_runs) - before)) calls reached an evacuated domain"
}
both_used() { ask_on 1 && [ "$(far_runs)" -gt "$1" ]; }
serves() { [ "$(ask "$1" /one/q "y$RANDOM")" = 200 ]; }

place 2
place 4
for r in 1 2 3; do until_true 5 whole $r || fail "relay $r is not whole"; done
FAR=$(far_runs)
until_true 5 both_used "$FAR" || fail "the far domain gets nothing in calm times"

evacuate far
sleep 1
check_empty "evacuated"
[ "$(ask 1 /all/q x1)" = 200 ] && [ "$(field X-Missing-Parts)" = 1 ] || fail "a shard of the domain alone is not left out"

# Only what has targets elsewhere is served; the rest is refused at once, and has not run.
evacuate z1
sleep 1
RUNS=$(($(far_runs) + $(near_runs)))
[ "$(ask 2 /one/q x2)" = 503 ] || fail "a service without a target that may be used is not refused"
[ -n "$(field Retry-After)" ] || fail "a refusal tells no time to come back"
[ "$(ask 2 /order/q x3 -X POST -d o)" = 503 ] || fail "an order is not refused"
[ "$(ask 2 /all/q x4)" = 503 ] || fail "a search without targets is not refused"
[ $(($(far_runs) + $(near_runs))) = "$RUNS" ] || fail "what was refused has run"
take_back z1
for r in 1 2 3; do until_true 3 serves $r || fail "relay $r: z1 stays out of use"; done
check_empty "the other domain is back"

# Taken back and set again within a second: the last word counts.
take_back far
evacuate far
sleep 1
check_empty "set again"

# All relays start anew while it holds; the second time the store is away for a while.
restart_all() {
  for r in 1 2 3; do stop r$r KILL; done
  for r in 1 2 3; do start_relay $r "z$r"; done
}
BEFORE=$(far_runs)
restart_all
ask_on 3
[ "$(far_runs)" = "$BEFORE" ] || fail "start of all: $(($(far_runs) - BEFORE)) calls reached an evacuated domain"
mode "$STORE" down
restart_all
ask_on 1
mode "$STORE" ok
ask_on 3
[ "$(far_runs)" = "$BEFORE" ] || fail "start in an outage: $(($(far_runs) - BEFORE)) calls reached an evacuated domain"

# The store has lost its history, and with it the event that would tell of the end.
mode "$STORE" gone
evacuate nowhere
sleep 1
check_empty "history lost"

# An entry that can't be read still stands.
take_back far
http -X PUT "http://$STORE/raw/evacuations/far" --data-binary 'not JSON' >/dev/null
sleep 1
check_empty "unreadable"

take_back far
FAR=$(far_runs)
until_true 8 both_used "$FAR" || fail "the domain stays out of use after its evacuation"
for r in 1 2 3; do until_true 5 whole $r || fail "relay $r is not whole after the evacuation"; done
say "evacuation: ok"
