#!/usr/bin/env bash
# Guards against requests that a planned stop leaves without an answer, or answers falsely.  A
# daemon that has not ended when its grace period is over is killed here, as by a supervisor.
#
# 1. An order that waits for an issuer that never answers, and a search for targets that never
#    answer, with deadlines of 60 s, under constant traffic.
# 2. Requests on connections opened before SIGTERM, new ones until the listener closes, and a
#    repeated order that has run.
# 3. SIGTERM twice, and a process that is stopped until after its grace period, when it gets a
#    search and repeated orders that have run, its own and another daemon's.
# 4. SIGTERM during a start without a platform.
# 5. A repeated order that has run, at a daemon without other traffic, as it ends.
# 6. A caller that sends requests and never reads.  Whether all replies that were begun fit into the
#    kernel's buffers is chance; test_http_server has the bytes that do not.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT

GRACE_MS=6000
export MERLINRING_GRACE_MS=$GRACE_MS
start_system
D1=127.0.0.1:$((HTTP_BASE + 1))
SEARCH="/v1/services/shop-search/search?q=ripe&deadline_ms=500"
failures=()

now_ms() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }
sleep_until() { # MS after the signal
  local left=$((signalled + $1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}
begin_stop() { signalled=$(now_ms) && kill -TERM "${PIDS[d1]}"; }
restart() {
  start_daemon 1 1
  until_true 10 daemon_ready 1 || fail "d1 is not ready after its restart"
  until_true 10 search_complete 1 shop-search ripe || fail "d1 does not serve after its restart"
}

# Waits for d1 until MS after the signal, then kills it.
await_end() { # MS NAME [PATTERN OF E1006]
  (
    sleep_until "$1"
    kill -KILL "${PIDS[d1]}"
  ) 2>/dev/null &
  local killer=$!
  wait "${PIDS[d1]}" 2>/dev/null
  local code=$?
  took=$(($(now_ms) - signalled))
  kill "$killer" 2>/dev/null
  wait "$killer" 2>/dev/null
  unset "PIDS[d1]"
  [ "$code" = 0 ] || failures+=("$2: d1 ended with $code $took ms after SIGTERM")
  local summary=${3:-'"cut":0,.*"unwritten_bytes":0'}
  grep -q "\"event\":\"E1006\".*$summary" "$LOGS/d1.log" ||
    failures+=("$2: no E1006 with $summary: $(grep '"event":"E1006"' "$LOGS/d1.log")")
}

# Sends requests on new connections until the listener is closed; writes one line for each that was
# cut off.
send_constantly() { # FILE [CURL ARGUMENTS]
  local code
  while :; do
    curl -sS --max-time 5 "${@:2}" -o "$LOGS/body.$BASHPID" "http://$D1$SEARCH" 2>>"$LOGS/curl.txt"
    code=$?
    [ "$code" != 7 ] || return 0 # connection refused
    [ "$code" = 0 ] || echo "curl $code, $(($(now_ms) - signalled)) ms after SIGTERM" >>"$1"
    sleep 0.02
  done
}

# Sends ten requests a second on one HTTP/2 connection; writes the exit code of each.
send_on_http2() { # FILE
  curl -s --http2 --max-time 5 --rate 10/s -w '%{exitcode}\n' -o /dev/null \
    "http://$D1$SEARCH&request_id=[1-70]" >"$1" 2>/dev/null
}

# Opens a connection before the signal and sends a request on it AT ms after it, unless the daemon
# has closed it by then.  Writes the response to FILE, nothing if it was cut off.
send_kept() { # FILE AT REQUEST
  local fd
  exec {fd}<>"/dev/tcp/127.0.0.1/$((HTTP_BASE + 1))" || return
  until [ -e "$LOGS/signalled" ]; do sleep 0.01; done
  signalled=$(cat "$LOGS/signalled")
  sleep_until "$2"
  if read -r -t 0 -u "$fd"; then
    echo closed >"$1"
    return
  fi
  printf '%b' "$3" >&"$fd"
  timeout 3 cat <&"$fd" >"$1"
}

# 1
version=$(http "http://$PLATFORM/v1/objects/documents/farmer-portal" | sed 's/.*"version":\([0-9]*\).*/\1/')
put documents farmer-portal "$version" '{"service":"farmer-portal","deadline_ms":500,"max_deadline_ms":60000}'
takes_long_deadline() { has "$(http "http://$D1/v1/services/farmer-portal/search?q=honey&deadline_ms=60000")" '"result":10'; }
until_true 10 takes_long_deadline || fail "d1 does not take a deadline of 60 s"
t=$(ticket 2)
kill -STOP "${PIDS[d2]}" "${PIDS[farm]}"
curl -sS --max-time 30 -o "$LOGS/search" \
  "http://$D1/v1/services/farmer-portal/search?q=honey&deadline_ms=60000" 2>"$LOGS/search.txt" &
search_pid=$!
curl -sS --max-time 30 -X POST --data-binary '{"record":"r17"}' -o "$LOGS/order" \
  "http://$D1/v1/services/shop-search/orders?ticket=$t&deadline_ms=60000" 2>"$LOGS/order.txt" &
callers=($!)
send_on_http2 "$LOGS/http2" &
callers+=($!)
sleep 0.3
begin_stop
for option in --http1.1 --http1.1 --http2; do
  send_constantly "$LOGS/constant" $option &
  callers+=($!)
done
await_end $GRACE_MS "constant traffic" '"failed":2,"cut":0,.*"unwritten_bytes":0'
wait "${callers[@]}"
wait "$search_pid"
kill -CONT "${PIDS[d2]}" "${PIDS[farm]}"
say "search: $(cat "$LOGS/search" "$LOGS/search.txt" 2>/dev/null)"
has "$(cat "$LOGS/search" 2>/dev/null)" '"coverage":{"covered":0,"total":5000,' ||
  failures+=("a search without any shard got '$(cat "$LOGS/search" "$LOGS/search.txt" 2>/dev/null)'")
say "constant traffic: d1 ended $took ms after SIGTERM, $(cat "$LOGS/constant" 2>/dev/null | wc -l) requests cut off, order: $(cat "$LOGS/order" "$LOGS/order.txt" 2>/dev/null)"
say "HTTP/2, exit codes of curl: $(sort "$LOGS/http2" | uniq -c | tr '\n' ' ')"
grep -qvx '0\|7' "$LOGS/http2" && failures+=("HTTP/2: curl ended with $(grep -vx '0\|7' "$LOGS/http2" | tr '\n' ' ')")
[ ! -s "$LOGS/constant" ] || failures+=("constant traffic: $(wc -l <"$LOGS/constant") requests cut off: $(head -n 1 "$LOGS/constant")")
has "$(cat "$LOGS/order" 2>/dev/null)" '"ran":"unknown"' ||
  failures+=("an order that may have run got '$(cat "$LOGS/order" "$LOGS/order.txt" 2>/dev/null)'")

# 2
restart
get="GET $SEARCH HTTP/1.1\r\nHost: h\r\n\r\n"
t=$(ticket 1)
other=$(ticket 3)
expect "$(order 1 "$t" 1000)" '"result":102' "an order before the stop"
expect "$(order 3 "$other" 1000)" '"result":102' "an order at another daemon before the stop"
post='POST /v1/services/shop-search/orders?ticket=%s HTTP/1.1\r\nHost: h\r\nContent-Length: 16\r\n\r\n{"record":"r17"}'
rm -f "$LOGS/signalled"
callers=()
for at in 300 1000 1900 1950 2000 2050 2075 2100 2125 2150 2175 2200 2225 2250 2275 2300 2325 2350 2400; do
  send_kept "$LOGS/kept.$at" $at "$get" &
  callers+=($!)
done
# shellcheck disable=SC2059
send_kept "$LOGS/repeated" 2120 "$(printf "$post" "$t")" &
callers+=($!)
# shellcheck disable=SC2059
send_kept "$LOGS/forwarded" 2130 "$(printf "$post" "$other")" &
callers+=($!)
sleep 0.5
begin_stop
echo "$signalled" >"$LOGS/signalled.new" && mv "$LOGS/signalled.new" "$LOGS/signalled"
(
  sleep_until 1900
  send_constantly "$LOGS/late"
) &
callers+=($!)
await_end $GRACE_MS "kept connections"
wait "${callers[@]}"
cut=0
for file in "$LOGS"/kept.*; do
  [ -s "$file" ] || cut=$((cut + 1))
  has "$(cat "$file")" 'HTTP/1.1 200' && ! grep -qi '^connection: close' "$file" &&
    failures+=("kept connections: ${file##*.} ms after SIGTERM: the end of the connection is not announced")
done
say "kept connections: d1 ended $took ms after SIGTERM, $cut cut off, $(grep -l '^closed' "$LOGS"/kept.* | wc -l) closed before, new ones cut off: $(cat "$LOGS/late" 2>/dev/null | wc -l)"
[ "$cut" = 0 ] || failures+=("kept connections: $cut requests cut off")
[ ! -s "$LOGS/late" ] || failures+=("new connections: $(head -n 1 "$LOGS/late")")
for file in repeated forwarded; do
  say "$file order: $(tail -n 1 "$LOGS/$file")"
  has "$(cat "$LOGS/$file")" '"ran":"not run"' && failures+=("a $file order that has run was answered 'not run'")
done

# 3
restart
unused=$(ticket 1)
own=$(ticket 1)
other=$(ticket 3)
expect "$(order 1 "$own" 1000)" '"result":102' "an order before the stop"
expect "$(order 3 "$other" 1000)" '"result":102' "an order at another daemon before the stop"
t=$(ticket 2)
kill -STOP "${PIDS[d2]}"
curl -sS --max-time 30 -X POST --data-binary '{"record":"r17"}' -o "$LOGS/order" \
  "http://$D1/v1/services/shop-search/orders?ticket=$t&deadline_ms=60000" 2>"$LOGS/order.txt" &
callers=($!)
sleep 0.3
begin_stop
sleep_until 200
kill -TERM "${PIDS[d1]}"
kill -STOP "${PIDS[d1]}"
http "http://$D1$SEARCH" >"$LOGS/stopped" 2>&1 & # arrives while the process is stopped
callers+=($!)
sleep_until $((GRACE_MS - 2000))
http "http://$D1$SEARCH" >"$LOGS/stopped.late" 2>&1 &
callers+=($!)
order 1 "$own" 1000 >"$LOGS/stopped.own" 2>&1 &
callers+=($!)
order 1 "$other" 1000 >"$LOGS/stopped.other" 2>&1 &
callers+=($!)
order 1 "$unused" 1000 >"$LOGS/stopped.unused" 2>&1 &
callers+=($!)
sleep_until $((GRACE_MS + 200))
kill -CONT "${PIDS[d1]}"
await_end $((GRACE_MS + 3000)) "a stopped process"
wait "${callers[@]}"
kill -CONT "${PIDS[d2]}"
say "a stopped process: d1 ended $took ms after SIGTERM; $(cat "$LOGS/order") $(cat "$LOGS/stopped.late")"
has "$(cat "$LOGS/order")" '"ran":"unknown"' || failures+=("a stopped process: the order got '$(cat "$LOGS/order" "$LOGS/order.txt")'")
has "$(cat "$LOGS/stopped.late")" '"result":' || failures+=("a stopped process: a search got '$(cat "$LOGS/stopped.late")'")
has "$(cat "$LOGS/stopped.own")" '"result":102' || failures+=("a stopped process: its own order that has run got '$(cat "$LOGS/stopped.own")'")
has "$(cat "$LOGS/stopped.other")" '"ran":"unknown"' || failures+=("a stopped process: another daemon's order that has run got '$(cat "$LOGS/stopped.other")'")
has "$(cat "$LOGS/stopped.unused")" '"result":203' || failures+=("a stopped process: an order that has not run got '$(cat "$LOGS/stopped.unused")'")

# 4
PLATFORM=127.0.0.1:$((FIRST_PORT + 499)) start_daemon 1 1
until_true 5 http "http://$D1/v1/status" || fail "d1 does not answer without a platform"
begin_stop
await_end $GRACE_MS "a start without a platform"
say "a start without a platform: d1 ended $took ms after SIGTERM"

# 5
restart
t=$(ticket 1)
expect "$(order 1 "$t" 1000)" '"result":102' "an order before the stop"
rm -f "$LOGS/signalled"
callers=()
for at in 2020 2080 2140 2200 2260; do
  # shellcheck disable=SC2059
  send_kept "$LOGS/end.$at" $at "$(printf "$post" "$t")" &
  callers+=($!)
done
sleep 0.5
begin_stop
echo "$signalled" >"$LOGS/signalled.new" && mv "$LOGS/signalled.new" "$LOGS/signalled"
await_end $GRACE_MS "an idle daemon"
wait "${callers[@]}"
say "an idle daemon: d1 ended $took ms after SIGTERM; repeated orders: $(grep -h -o '^closed\|"ran":"[a-z ]*"' "$LOGS"/end.* | sort | uniq -c | tr '\n' ' ')"
grep -q '"ran":"not run"' "$LOGS"/end.* && failures+=("a repeated order that has run was answered 'not run'")

# 6
restart
exec {reader}<>"/dev/tcp/127.0.0.1/$((HTTP_BASE + 1))"
(
  trap '' PIPE
  while printf 'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n%.0s' {1..100}; do :; done >&"$reader" 2>/dev/null
) &
sender=$!
sleep 2 # until the buffers of the connection are full
begin_stop
await_end $GRACE_MS "a caller that does not read" '"connections":1,'
say "a caller that does not read: d1 ended $took ms after SIGTERM; $(grep -E 'E1006|E1708' "$LOGS/d1.log")"
kill "$sender" 2>/dev/null
exec {reader}>&-
wait "$sender" 2>/dev/null

for failure in "${failures[@]}"; do printf 'FAILED: %s\n' "$failure" >&2; done
[ ${#failures[@]} = 0 ] || fail "${#failures[@]} checks"
say "stop requests: ok"
