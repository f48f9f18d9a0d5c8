# Helpers for the process tests of the platform adapter: a store, searchers and relays run
# as separate processes on loopback.  Requires BUILD, the build directory.

FIRST_PORT=${MR_FIRST_PORT:-18000} # of 300; two runs at once need different ones
STORE=127.0.0.1:$FIRST_PORT
SEARCHER_BASE=$((FIRST_PORT + 100))
RELAY_BASE=$((FIRST_PORT + 200)) # ten ports each: front, ready, directory, control, metrics
LOGS=$(mktemp -d)

LOG_GLOB='r*.log'
. "$(dirname "${BASH_SOURCE[0]}")/../../demo/helpers.sh"

mode() { http -X PUT "http://$1/mode/$2" >/dev/null; } # ADDRESS MODE

copy_store() { http -X PUT "http://$STORE/copy" >/dev/null; }
restore_store() { http -X PUT "http://$STORE/restore/$1" >/dev/null; } # cut | mute

searcher_at() { printf '127.0.0.1:%d' $((SEARCHER_BASE + $1)); }

# Registers searcher NUMBER as ID of SERVICE in STATE.
register() {
  http -X PUT "http://$STORE/objects/servers/$2" --data-binary \
    "{\"service\":\"$3\",\"address\":\"$(searcher_at "$1")\",\"zone\":\"z1\",\"version\":\"v1\",
      \"slots\":5,\"state\":\"$4\",\"warmup_left_ms\":0,\"seq\":1}" >/dev/null
}

# As register, with the start time of the searcher, Unix ms, as fifth argument.
register_started() {
  http -X PUT "http://$STORE/objects/servers/$2" --data-binary \
    "{\"service\":\"$3\",\"address\":\"$(searcher_at "$1")\",\"zone\":\"z1\",\"version\":\"v1\",
      \"slots\":5,\"state\":\"$4\",\"warmup_left_ms\":0,\"seq\":1,\"born\":$5}" >/dev/null
}

# ID BYTES; through a pipe, as an argument may not be as long as an entry.
register_raw() { printf '%s' "$2" | http -X PUT "http://$STORE/raw/servers/$1" --data-binary @- >/dev/null; }

unregister() { http -X DELETE "http://$STORE/objects/servers/$1" >/dev/null; } # ID

start_searcher() { # NUMBER ID SERVICE
  start "s$1" "$BUILD/test/standin" searcher $((SEARCHER_BASE + $1)) "$2"
  until_true 5 http "http://$(searcher_at "$1")/runs/x" || fail "searcher $1 does not start"
  register "$1" "$2" "$3" ready
}

# Services and ids of the searchers, by number.
SERVICES=([1]=a [2]=a [3]=b [4]=c)
IDS=([1]=i-1 [2]=i-2 [3]=i-3 [4]=i-4)
GENERATION=0

is_running() { http "http://$(searcher_at "$1")/runs/x" >/dev/null 2>&1; } # NUMBER

# Restarts searcher NUMBER, which has exited, with the id of this generation.
restart_searcher() { # NUMBER
  wait "${PIDS[s$1]}" 2>/dev/null
  unregister "${IDS[$1]}"
  IDS[$1]="i-$1-$GENERATION"
  start_searcher "$1" "${IDS[$1]}" "${SERVICES[$1]}"
}

# configure VERSION SHARDS [FIELDS [ROUTES]]: routes /all/ to all SHARDS, and /one/ (idempotent) and /order/
# (not idempotent) to the service "a".  FIELDS and ROUTES are further fields and routes, each
# before a comma.
configure() {
  http -X PUT "http://$STORE/objects/config/main" --data-binary \
    "{\"version\":$1,\"routes\":[${4:-}
      {\"name\":\"all\",\"host\":\"h.test\",\"path_prefix\":\"/all/\",\"kind\":\"safe\",
       \"timeout_ms\":2000,\"latency_target_ms\":400,\"priority\":1,\"gather\":[$2],
       \"max_attempts\":2,\"top_k\":4,\"min_shard_share\":0.5},
      {\"name\":\"one\",\"host\":\"h.test\",\"path_prefix\":\"/one/\",\"kind\":\"safe\",
       \"timeout_ms\":2000,\"latency_target_ms\":400,\"priority\":0,\"service\":\"a\",
       \"max_attempts\":2},
      {\"name\":\"order\",\"host\":\"h.test\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",
       \"timeout_ms\":1000,\"latency_target_ms\":400,\"priority\":0,\"service\":\"a\",
       \"max_attempts\":2}],
     ${3:-}\"services\":[{\"name\":\"a\",\"max_conns\":40},{\"name\":\"b\",\"max_conns\":40},
       {\"name\":\"c\",\"max_conns\":40}],
     \"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,\"header_timeout_ms\":500,
       \"idle_timeout_ms\":15000}}" >/dev/null
}

relay_port() { printf '%d' $((RELAY_BASE + 10 * $1 + $2)); } # NUMBER ROLE (0..4)

# EXTRA_BOUNDS, EXTRA_LIMITS: further fields of the bounds and limits, each after a comma.
start_relay() { # NUMBER ZONE
  local r=$1
  cat >"$LOGS/r$r.json" <<JSON
{"node_name":"r$r","ip":"127.0.0.1","metrics_port":$(relay_port "$r" 4),"zone":"$2","region":"reg",
 "seeds":["127.0.0.1:$(relay_port 1 3)","127.0.0.1:$(relay_port 2 3)"],
 "listen":{"front":"127.0.0.1:$(relay_port "$r" 0)","ready":"127.0.0.1:$(relay_port "$r" 1)",
  "directory":"127.0.0.1:$(relay_port "$r" 2)","control":"127.0.0.1:$(relay_port "$r" 3)"},
 "limits":{"cpu_share":0.25,"cores":1,"max_fds":1000,"link_mbps":1000${EXTRA_LIMITS:-}},
 "bounds":{"grace_s":${GRACE_S:-4},"budget_window_s":10,"retry_budget_ratio":0.2,"retry_budget_slack":600${EXTRA_BOUNDS:-}},
 "platform":{"address":"$STORE"}}
JSON
  MERLINRING_CONFIG="$LOGS/r$r.json" start "r$r" "$BUILD/merlinring-relay"
}

restart_relays() { # COUNT
  local r
  for ((r = 1; r <= $1; r++)); do stop r$r KILL; done
  for ((r = 1; r <= $1; r++)); do start_relay $r z$r; done
}

metric() { # RELAY NAME: a counter or gauge without labels
  http "http://127.0.0.1:$(relay_port "$1" 4)/metrics" | sed -n "s/^merlinring_$2 \([0-9]*\)$/\1/p"
}

relay_ready() { http -f "http://127.0.0.1:$(relay_port "$1" 1)/ready"; } # NUMBER

# Directory for the response; concurrent callers use one each.
RESPONSE=$LOGS

# ask RELAY PATH ID [CURL ARGUMENTS]: prints the status, and writes the header and body to
# RESPONSE/head and RESPONSE/body.
ask() {
  local relay=$1 path=$2 id=$3
  shift 3
  http -o "$RESPONSE/body" -D "$RESPONSE/head" -w '%{http_code}' -H "Host: h.test" -H "X-Request-Id: $id" \
    -H "X-Deadline-Ms: 3000" "$@" "http://127.0.0.1:$(relay_port "$relay" 0)$path"
}

search_complete() { [ "$(ask "$1" /all/q "q$RANDOM")" = 200 ] && [ "$(field X-Missing-Parts)" = 0 ]; }
all_complete() { search_complete 1 && search_complete 2 && search_complete 3; }

field() { sed -n "s/^$1: \(.*\)\r$/\1/ip" "$RESPONSE/head"; } # NAME: header field of the last response

runs() { # ID: the number of runs on all searchers
  local i sum=0
  for i in 1 2 3 4; do
    [ -n "${PIDS[s$i]:-}" ] || continue
    sum=$((sum + $(http "http://$(searcher_at $i)/runs/$1")))
  done
  printf '%d' $sum
}

# Starts a store, four searchers (two of service a, one each of b and c) and relays.
start_platform() { # RELAYS
  local i
  start store "$BUILD/test/standin" store "$FIRST_PORT"
  until_true 5 http "http://$STORE/objects/config" || fail "the store does not start"
  configure 1 '"a","b","c"'
  start_searcher 1 i-1 a
  start_searcher 2 i-2 a
  start_searcher 3 i-3 b
  start_searcher 4 i-4 c
  for ((i = 1; i <= $1; i++)); do start_relay $i "z$i"; done
  for ((i = 1; i <= $1; i++)); do until_true 10 relay_ready $i || fail "relay $i is not ready"; done
}
