#!/usr/bin/env bash
# Guards against requests whose connections end without an answer while all relays are replaced,
# one after the other: requests on kept connections, to old addresses, and with long work.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT

RELAYS=4
PAUSE=1.25 # between the starts of two stops
RATE=200
GRACE_S=6
# Requests that a relay has not read may end without an answer, at once.
UNREAD_AGE_MS=200

# Registers a searcher with more slots than requests that are open at once.
register() { # NUMBER ID SERVICE STATE
  http -X PUT "http://$STORE/objects/servers/$2" --data-binary \
    "{\"service\":\"$3\",\"address\":\"$(searcher_at "$1")\",\"zone\":\"z1\",\"version\":\"v1\",
      \"slots\":400,\"state\":\"$4\",\"warmup_left_ms\":0,\"seq\":1}" >/dev/null
}

route() { # NAME KIND FIELDS
  printf '{"name":"%s","host":"h.test","path_prefix":"/%s/","kind":"%s","timeout_ms":5000,
    "latency_target_ms":4000,"priority":0,"max_attempts":2,%s}' "$1" "$1" "$2" "$3"
}

configure_long_routes() {
  http -X PUT "http://$STORE/objects/config/main" --data-binary \
    "{\"version\":2,\"routes\":[$(route all safe '"gather":["a","b","c"],"top_k":4,"min_shard_share":0.5'),
      $(route one safe '"service":"a"'),$(route order unsafe '"service":"a"')],
     \"services\":[{\"name\":\"a\",\"max_conns\":4000},{\"name\":\"b\",\"max_conns\":4000},
       {\"name\":\"c\",\"max_conns\":4000}],
     \"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,\"header_timeout_ms\":500,
       \"idle_timeout_ms\":15000}}" >/dev/null
}

start_platform $RELAYS
configure_long_routes
directories=()
for ((i = 1; i <= 2 * RELAYS; i++)); do directories+=("$(relay_port $i 2)"); done
"$BUILD/test/caller" 16 $RATE "${directories[@]}" >"$LOGS/caller" &
caller=$!
sleep 4 # so that old address answers are in use
for ((i = 1; i <= RELAYS; i++)); do
  start_relay $((RELAYS + i)) "z$i"
  until_true 10 relay_ready $((RELAYS + i)) || fail "the replacement of relay $i is not ready"
  kill -TERM "${PIDS[r$i]}"
  sleep $PAUSE
done
wait $caller || fail "the callers ended with $?"
for ((i = 1; i <= RELAYS; i++)); do
  wait "${PIDS[r$i]}"
  code=$?
  unset "PIDS[r$i]"
  [ "$code" = 0 ] || fail "relay $i exited with $code"
done

tail -n 1 "$LOGS/caller"
lost=0
while read -r _ id port age bytes how; do
  ran=$(grep -c "^run $id\$" "$LOGS"/s*.log | awk -F: '{ n += $2 } END { print n }')
  say "request $id at port $port: $how after $age ms with $bytes bytes, ran $ran times"
  [ "$ran" = 0 ] && [ "$age" -le $UNREAD_AGE_MS ] && [ "$bytes" = 0 ] || lost=$((lost + 1))
done < <(grep '^cut ' "$LOGS/caller")
[ $lost = 0 ] || fail "$lost requests were cut off without an answer"
grep -q 'answers: 200: [0-9]\{3\}' "$LOGS/caller" || fail "hardly any request was answered"
say "roll: ok"
