# Helpers for the demo, soak, slopes and process test scripts: a small system on loopback.
# Requires BUILD, the build directory.

FIRST_PORT=${MR_FIRST_PORT:-17000} # of 500; two runs at once need different ones
PLATFORM=127.0.0.1:$FIRST_PORT
HTTP_BASE=$((FIRST_PORT + 100))
PEER_BASE=$((FIRST_PORT + 200))
SHOP_PORT=$((FIRST_PORT + 300))
FARM_PORT=$((FIRST_PORT + 400))
RECORDS=5000
SHARDS=12
LOGS=$(mktemp -d)

LOG_GLOB='d*.log'
. "$(dirname "${BASH_SOURCE[0]}")/helpers.sh"

ctl() { "$BUILD/merlinringctl" --platform $PLATFORM --entry "127.0.0.1:$((HTTP_BASE + 1))" "$@"; }

# put KIND NAME VERSION JSON
put() { http -X PUT "http://$PLATFORM/v1/objects/$1/$2?version=$3" --data-binary "$4" >/dev/null; }

put_vm() { # ID PORT ROLE STATE
  http -X PUT "http://$PLATFORM/v1/vms?id=$1" \
    --data-binary "{\"ip\":\"127.0.0.1\",\"port\":$2,\"role\":\"$3\",\"state\":\"$4\"}" >/dev/null
}

# shard_map PREFIX PORT TARGETS SLOTS CONNECTIONS SINGLE: two replicas of each shard, except
# for shard number SINGLE, which only the last target serves (-1: none).
shard_map() {
  local i out='{"snapshot":"s1","targets":['
  for ((i = 0; i < $3; i++)); do
    out+="{\"id\":\"$1-$i\",\"ip\":\"127.0.0.1\",\"port\":$(($2 + i)),"
    out+="\"domain\":\"domain-$((i % 3 + 1))\",\"slots\":$4,\"connections\":$5},"
  done
  out="${out%,}],\"shards\":["
  for ((i = 0; i < SHARDS; i++)); do
    local weight=$((RECORDS / SHARDS + (i < RECORDS % SHARDS)))
    local replicas="\"$1-$((i % $3))\",\"$1-$(((i + 1) % $3))\""
    [ "$i" != "$6" ] || replicas="\"$1-$(($3 - 1))\""
    out+="{\"name\":\"$(printf 'shard-%02d' $i)\",\"weight\":$weight,\"replicas\":[$replicas]},"
  done
  printf '%s' "${out%,}]}"
}

start_searcher() { # NAME PORT COUNT SLOTS CONNECTIONS CONNECT_US
  start "$1" "$BUILD/searcherd" --port "$2" --count "$3" --slots "$4" --connections "$5" \
    --connect-us "$6" --service-us 2000 --records $RECORDS --shards $SHARDS --seed 7 \
    ${CRASH_ON:+--crash-on "$CRASH_ON"}
}

DAEMON=merlinringd # or the build whose safeguards tests can switch off

start_daemon() { # NUMBER DOMAIN
  start "d$1" "$BUILD/$DAEMON" --name "d$1" --ip 127.0.0.1 --domain "domain-$2" \
    --http-port $((HTTP_BASE + $1)) --peer-port $((PEER_BASE + $1)) --platform $PLATFORM \
    --keep-ms 1000
}

daemon_ready() { http -f "http://127.0.0.1:$((HTTP_BASE + $1))/v1/ready"; }

# Sends an order and prints the JSON response: DAEMON TICKET DEADLINE_MS
order() {
  http -X POST --data-binary '{"record":"r17"}' \
    "http://127.0.0.1:$((HTTP_BASE + $1))/v1/services/shop-search/orders?ticket=$2&deadline_ms=$3"
}

ticket() { # DAEMON
  http -X POST "http://127.0.0.1:$((HTTP_BASE + $1))/v1/services/shop-search/tickets" |
    sed 's/.*"ticket":"\([^"]*\)".*/\1/'
}

# Sets faults or the state of a shop searcher: NUMBER SETTINGS
control() { http -X PUT "http://127.0.0.1:$((SHOP_PORT + $1))/control?$2" >/dev/null; }
control_all() { for i in 0 1 2; do control $i "$1"; done; }

# Prints the number of orders that ran on all shop searchers together.
orders_run() {
  local i sum=0
  for i in 0 1 2; do
    sum=$((sum + $(http "http://127.0.0.1:$((SHOP_PORT + i))/stats" | sed 's/.*"orders":\([0-9]*\).*/\1/')))
  done
  echo $sum
}

faults() { http -X PUT "http://$PLATFORM/faults?$1" >/dev/null; }

has() { case "$1" in *"$2"*) return 0 ;; esac; return 1; }
expect() { has "$1" "$2" || fail "$3: expected $2, got $1"; }

# Prints a search response as one line of JSON: DAEMON SERVICE QUERY
search() {
  http "http://127.0.0.1:$((HTTP_BASE + $1))/v1/services/$2/search?q=${3// /%20}&deadline_ms=500"
}

search_complete() { search "$@" | grep -q '"complete":true'; }

# DAEMON COUNT: true if DAEMON lists COUNT members as alive.
sees_members() {
  [ "$(http "http://127.0.0.1:$((HTTP_BASE + $1))/v1/members" | grep -o '"state":"alive"' | wc -l)" = "$2" ]
}

start_system() {
  start platform "$BUILD/platformd" --port "${PLATFORM#*:}" --vms-lag-ms 500
  until_true 5 http "http://$PLATFORM/stats" || fail "the platform stand-in did not start"
  local i
  for i in 0 1 2; do start_searcher "shop-$i" $((SHOP_PORT + i)) 1 5 40 6000; done
  start_searcher farm $FARM_PORT 13 6 100 1000
  for i in 1 2 3; do
    put_vm "d$i" $((PEER_BASE + i)) entry live
    start_daemon $i $i
  done
  for i in 1 2 3; do until_true 10 sees_members $i 3 || fail "d$i does not see 3 members"; done
  put shardmaps shop-search 0 "$(shard_map shop $SHOP_PORT 3 5 40 11)"
  put shardmaps farmer-portal 0 "$(shard_map farm $FARM_PORT 13 6 100 -1)"
  put documents shop-search 0 '{"service":"shop-search","orders":true}'
  put documents farmer-portal 0 '{"service":"farmer-portal","deadline_ms":500}'
  for i in 1 2 3; do
    until_true 10 daemon_ready $i || fail "daemon d$i is not ready"
    until_true 10 search_complete $i shop-search ripe || fail "d$i does not serve shop-search"
    until_true 10 search_complete $i farmer-portal honey || fail "d$i does not serve farmer-portal"
  done
}
