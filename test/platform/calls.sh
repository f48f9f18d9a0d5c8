# Helpers for process tests that count requests which are cut off; after lib.sh.

# Requests that a relay has not read may end without an answer, at once.
UNREAD_AGE_MS=200

# Registers a searcher with more slots than requests that are open at once.
register() { # NUMBER ID SERVICE STATE
  http -X PUT "http://$STORE/objects/servers/$2" --data-binary \
    "{\"service\":\"$3\",\"address\":\"$(searcher_at "$1")\",\"zone\":\"z1\",\"version\":\"v1\",
      \"slots\":400,\"state\":\"$4\",\"warmup_left_ms\":0,\"seq\":1}" >/dev/null
}

long_route() { # NAME KIND FIELDS
  printf '{"name":"%s","host":"h.test","path_prefix":"/%s/","kind":"%s","timeout_ms":5000,
    "latency_target_ms":4000,"priority":0,"max_attempts":2,%s}' "$1" "$1" "$2" "$3"
}

# configure_routes VERSION ROUTES [FIELDS]: FIELDS are further ones, before a comma.
configure_routes() {
  http -X PUT "http://$STORE/objects/config/main" --data-binary \
    "{\"version\":$1,\"routes\":[$2],${3:-}
     \"services\":[{\"name\":\"a\",\"max_conns\":4000},{\"name\":\"b\",\"max_conns\":4000},
       {\"name\":\"c\",\"max_conns\":4000}],
     \"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":${MAX_BODY:-1000},
       \"header_timeout_ms\":500,\"idle_timeout_ms\":${IDLE_MS:-15000}}}" >/dev/null
}

# The routes of lib.sh with a time limit of 5 s.
configure_long_routes() { # VERSION
  configure_routes "$1" "$(long_route all safe '"gather":["a","b","c"],"top_k":4,"min_shard_share":0.5'),
    $(long_route one safe '"service":"a"'),$(long_route order unsafe '"service":"a"')"
}

# run_callers SECONDS RATE RELAY...: in the background, with addresses from these relays.
run_callers() {
  local seconds=$1 rate=$2 ports=() i
  shift 2
  for i in "$@"; do ports+=("$(relay_port "$i" 2)"); done
  "$BUILD/test/caller" "$seconds" "$rate" "${ports[@]}" >"$LOGS/caller" &
  CALLERS=$!
}

# Fails if a request was cut off that a searcher saw, or that is too old for one that was not read.
check_calls() {
  local lost=0 id port age bytes how ran
  tail -n 1 "$LOGS/caller"
  while read -r _ id port age bytes how; do
    ran=$(cat "$LOGS"/s*.log | grep -c "^run $id\$")
    say "request $id at port $port: $how after $age ms with $bytes bytes, ran $ran times"
    [ "$ran" = 0 ] && [ "$age" -le $UNREAD_AGE_MS ] && [ "$bytes" = 0 ] || lost=$((lost + 1))
  done < <(grep '^cut ' "$LOGS/caller")
  [ $lost = 0 ] || fail "$lost requests were cut off without an answer"
  grep -q 'answers: 200: [0-9]\{3\}' "$LOGS/caller" || fail "hardly any request was answered"
}
