#!/usr/bin/env bash
# Evacuation of failure domains under load.
#
# Guards against calls that reach an evacuated domain: one second after the evacuation
# began, after a restart of all relays, after an outage of the store or the loss of its
# history.  Also guards against a domain that stays out of use after its evacuation.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

# Searchers 2 (of "a") and 4 (the only one of "c") are in another failure domain.
move_to_far() { # NUMBER
  register_raw "${IDS[$1]}" "{\"service\":\"${SERVICES[$1]}\",\"address\":\"$(searcher_at "$1")\",
    \"zone\":\"far\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":2}"
}
evacuate() { http -X PUT "http://$STORE/objects/evacuations/$1" --data-binary '{}' >/dev/null; }
end_evacuation() { http -X DELETE "http://$STORE/objects/evacuations/$1" >/dev/null; }
far_runs() { cat "$LOGS/s2.log" "$LOGS/s4.log" | grep -c '^run'; }
near_runs() { cat "$LOGS/s1.log" "$LOGS/s3.log" | grep -c '^run'; }

# Sends requests to all relays for SECONDS.
send_requests() {
  local end=$((SECONDS + $1)) r
  while [ "$SECONDS" -lt "$end" ]; do
    for r in 1 2 3; do
      ask $r /all/q "e$RANDOM$RANDOM" >/dev/null
      ask $r /one/q "f$RANDOM$RANDOM" >/dev/null
    done
  done
}

# Checks that no request reaches the evacuated domain while all relays get requests.
check_empty() { # WHEN
  local before
  before=$(far_runs)
  send_requests 2
  [ "$(far_runs)" = "$before" ] || fail "$1: $(($(far_runs) - before)) calls reached an evacuated domain"
}
far_used() { send_requests 1 && [ "$(far_runs)" -gt "$1" ]; }
serves() { [ "$(ask "$1" /one/q "y$RANDOM")" = 200 ]; }

move_to_far 2
move_to_far 4
for r in 1 2 3; do until_true 5 search_complete $r || fail "searches at relay $r are not complete"; done
FAR=$(far_runs)
until_true 5 far_used "$FAR" || fail "the domain gets no requests before the evacuation"

evacuate far
sleep 1
check_empty "evacuated"
[ "$(ask 1 /all/q x1)" = 200 ] && [ "$(field X-Missing-Parts)" = 1 ] || fail "a shard with targets only in the domain is not reported as missing"

# Services with targets in other domains are served; other requests are refused at once and do
# not run.
evacuate z1
sleep 1
RUNS=$(($(far_runs) + $(near_runs)))
[ "$(ask 2 /one/q x2)" = 503 ] || fail "a request without a usable target is not refused"
[ -n "$(field Retry-After)" ] || fail "a refusal has no Retry-After field"
[ "$(ask 2 /order/q x3 -X POST -d o)" = 503 ] || fail "an order is not refused"
[ "$(ask 2 /all/q x4)" = 503 ] || fail "a search without targets is not refused"
[ $(($(far_runs) + $(near_runs))) = "$RUNS" ] || fail "a refused request ran"
end_evacuation z1
for r in 1 2 3; do until_true 3 serves $r || fail "relay $r: z1 stays out of use"; done
check_empty "after the end of the other evacuation"

# The evacuation is ended and set again within a second: the last change wins.
end_evacuation far
evacuate far
sleep 1
check_empty "set again"

# All relays restart during the evacuation; the second time the store is unavailable at first.
restart_all() {
  for r in 1 2 3; do stop r$r KILL; done
  for r in 1 2 3; do start_relay $r "z$r"; done
}
BEFORE=$(far_runs)
restart_all
send_requests 3
[ "$(far_runs)" = "$BEFORE" ] || fail "restart of all relays: $(($(far_runs) - BEFORE)) calls reached an evacuated domain"
mode "$STORE" down
restart_all
send_requests 1
mode "$STORE" ok
send_requests 3
[ "$(far_runs)" = "$BEFORE" ] || fail "restart in an outage: $(($(far_runs) - BEFORE)) calls reached an evacuated domain"

# The store loses its history, and with it the event of the end of an evacuation.
mode "$STORE" gone
evacuate nowhere
sleep 1
check_empty "history lost"

# An unreadable entry still counts as an evacuation.
end_evacuation far
http -X PUT "http://$STORE/raw/evacuations/far" --data-binary 'not JSON' >/dev/null
sleep 1
check_empty "unreadable"

end_evacuation far
FAR=$(far_runs)
until_true 8 far_used "$FAR" || fail "the domain stays out of use after its evacuation"
for r in 1 2 3; do until_true 5 search_complete $r || fail "searches at relay $r are not complete after the evacuation"; done
say "evacuation: ok"
