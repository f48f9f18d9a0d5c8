#!/usr/bin/env bash
# A key is added while one of two relays is cut off from the store and stopped, so that it does
# not have the new configuration when it receives a request with this key.
#
# Guards against a 401 for a key that exists: the caller does not retry it, so that the request is
# lost.  Also checks that a removed key and an unknown one are refused on both relays, that a relay
# without peers refuses in bounded time, that no key is logged, and that nothing is sent while the
# configuration has no organisations.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PROXY_PORT=$((FIRST_PORT + 1))
ROUNDS=5

# configure_keys VERSION KEYS: one organisation with KEYS (a JSON list), and a route to service a.
configure_keys() {
  http -X PUT "http://$STORE/objects/config/main" --data-binary \
    "{\"version\":$1,\"routes\":[
      {\"name\":\"one\",\"host\":\"h.test\",\"path_prefix\":\"/one/\",\"kind\":\"safe\",
       \"timeout_ms\":2000,\"latency_target_ms\":400,\"priority\":0,\"service\":\"a\",
       \"max_attempts\":2}],
     \"services\":[{\"name\":\"a\",\"max_conns\":40}],
     \"tenants\":[{\"name\":\"o1\",\"api_keys\":$2}],
     \"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,\"header_timeout_ms\":500,
       \"idle_timeout_ms\":15000}}" >/dev/null
}

status_with_key() { ask "$1" /one/q "k$RANDOM" -H "X-Key: $2"; } # RELAY KEY
is_served() { [ "$(status_with_key "$1" "$2")" = 200 ]; }
is_denied() { [ "$(status_with_key "$1" "$2")" = 401 ]; }
metric() { http "http://127.0.0.1:$(relay_port "$1" 4)/metrics" | sed -n "s/^merlinring_$2 //p"; } # RELAY NAME

# Sends a request to relay 2, which is stopped, and writes its status to LOGS/status.
ask_stopped() {
  RESPONSE=$LOGS/stopped
  mkdir -p "$RESPONSE"
  status_with_key 2 "$1" >"$LOGS/status"
}

start_platform 0
start proxy "$BUILD/test/tcp_proxy" $PROXY_PORT "${STORE#*:}"
start_relay 1 z1
STORE=127.0.0.1:$PROXY_PORT start_relay 2 z2
for r in 1 2; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
for r in 1 2; do
  until_true 5 is_served $r none || fail "relay $r does not serve without organisations"
  [ "$(metric $r denial_queries_total)" = 0 ] || fail "relay $r sent a query without organisations"
done

configure_keys 2 '["secret-0"]'
for r in 1 2; do
  until_true 5 is_denied $r secret-none || fail "relay $r does not deny an unknown key"
  until_true 5 is_served $r secret-0 || fail "relay $r does not know the first key"
done

# From here on, relay 2 learns of changes only from relay 1.
kill -STOP "${PIDS[proxy]}"
for round in $(seq 1 $ROUNDS); do
  kill -STOP "${PIDS[r2]}"
  configure_keys $((2 + round)) "[\"secret-$round\"]"
  until_true 3 is_served 1 "secret-$round" || fail "relay 1 does not know key $round"
  ask_stopped "secret-$round" &
  pid=$!
  sleep 0.2
  kill -CONT "${PIDS[r2]}"
  wait $pid
  status=$(cat "$LOGS/status")
  say "round $round: $status"
  [ "$status" = 200 ] || [ "$status" = 503 ] || fail "round $round: the relay that is behind answered $status"
  until_true 3 is_served 2 "secret-$round" || fail "relay 2 does not know key $round"
  is_denied 2 "secret-$((round - 1))" || fail "relay 2 serves the removed key $((round - 1))"
  is_denied 1 "secret-$((round - 1))" || fail "relay 1 serves the removed key $((round - 1))"
  sleep 1 # until each relay sees the other as alive again
done
admitted=$(metric 2 denial_admitted_total)
say "admitted after a check: $admitted"
[ "$admitted" -gt 0 ] || fail "no request of $ROUNDS arrived before its configuration"

# Its only peer does not answer: 401 after two queries.
kill -STOP "${PIDS[r1]}"
began=${EPOCHREALTIME/[.,]/}
is_denied 2 secret-none || fail "relay 2 does not deny an unknown key without an answer of its peer"
took=$(((${EPOCHREALTIME/[.,]/} - began) / 1000))
say "denied without an answer after $took ms"
[ "$took" -lt 1000 ] || fail "relay 2 took $took ms without an answer of its peer"
is_served 2 "secret-$ROUNDS" || fail "relay 2 does not serve a known key without its peer"
kill -CONT "${PIDS[r1]}"

! grep -q secret "$LOGS"/r*.log || fail "a key is logged"
for r in 1 2; do
  ! http "http://127.0.0.1:$(relay_port $r 4)/metrics" | grep -q secret || fail "a key is in the metrics of relay $r"
done
say "key added: ok"
