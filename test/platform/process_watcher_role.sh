#!/usr/bin/env bash
# Guards against changes of the configuration that a relay follows minutes late although it reaches
# the store: all other relays are cut off from it, a different one each time is left, and has to
# watch the store again after its own calls had failed in an earlier cut.  With "one-zone", all
# relays are in one failure domain, where those that watch for it are not the ones that are left.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT

APPLY_MS=3000 # a change is in force within this time
now_ms() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }

# Cuts all relays but one off from the store, or ends that.
toggle_cuts() { # RELAY
  local r
  for ((r = 1; r <= RELAYS; r++)); do [ $r = "$1" ] || kill -USR2 "${PIDS[proxy$r]}"; done
}

# Adds the route /added-VERSION/ to those that are there.
ROUTES=
add_route() { # VERSION
  ROUTES+="{\"name\":\"added-$1\",\"host\":\"h.test\",\"path_prefix\":\"/added-$1/\",\"kind\":\"safe\",
    \"timeout_ms\":2000,\"latency_target_ms\":400,\"priority\":0,\"service\":\"a\",\"max_attempts\":2},"
  configure "$1" '"a","b","c"' "" "$ROUTES"
}

follows() { # RELAY VERSION
  local end=$(($(now_ms) + APPLY_MS))
  while [ "$(ask "$1" "/added-$2/q" "q$2-$RANDOM")" != 200 ]; do
    [ "$(now_ms)" -lt $end ] || return 1
    sleep 0.05
  done
}

# run ZONE...: one relay in each of the zones; each is left in turn, twice.
run() {
  local r round version=1 failures=0
  RELAYS=$#
  start_platform 0
  for ((r = 1; r <= RELAYS; r++)); do
    start "proxy$r" "$BUILD/test/tcp_proxy" $((FIRST_PORT + 50 + r)) "$FIRST_PORT"
  done
  sleep 0.2
  for ((r = 1; r <= RELAYS; r++)); do
    STORE=127.0.0.1:$((FIRST_PORT + 50 + r)) start_relay $r "${!r}"
  done
  for ((r = 1; r <= RELAYS; r++)); do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
  sleep 2
  for ((round = 0; round < 2 * RELAYS; round++)); do
    r=$((1 + round % RELAYS))
    version=$((version + 1))
    toggle_cuts $r
    sleep 0.3
    add_route $version
    follows $r $version || {
      say "zones $*: relay $r does not follow version $version: $(grep E1306 "$LOGS/r$r.log" | tail -n 1)"
      failures=$((failures + 1))
    }
    toggle_cuts $r
    sleep 1.2
  done
  [ $failures = 0 ] || fail "zones $*: $failures of $((2 * RELAYS)) changes came late"
}

case ${2:-} in
one-zone) run z1 z1 z1 z1 z1 z1 ;;
*) run z1 z1 z1 z2 z2 z3 ;;
esac
say "watcher role: ok"
