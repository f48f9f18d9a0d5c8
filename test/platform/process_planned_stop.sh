#!/usr/bin/env bash
# Guards against requests that a planned stop of a relay cuts off without an answer: requests
# that it reads late in its grace period and that searchers take longer over than is left of it.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

GRACE_MS=4000
now_ms() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }
sleep_until() { # MS after the signal
  local left=$((signalled + $1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

# Sends a request on descriptor 8, and prints the status of the response; nothing if the
# connection ends without one.
send_kept() { # ID
  printf 'GET /one/%s HTTP/1.1\r\nHost: h.test\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n' "$1" "$1" >&8
  timeout 5 head -n 1 <&8 | cut -d' ' -f2
}

# call NAME AT PATH [CURL ARGUMENTS]: sends a request AT ms after the signal, and writes the status
# (000: no complete response) and the time of its end to LOGS/NAME.
call() {
  local name=$1 at=$2 path=$3
  shift 3
  mkdir -p "$LOGS/$name.d"
  sleep_until "$at"
  RESPONSE=$LOGS/$name.d ask 1 "$path" "$name" "$@" >"$LOGS/$name"
  printf ' %d\n' $(($(now_ms) - signalled)) >>"$LOGS/$name"
}

mode "$(searcher_at 1)" silent
mode "$(searcher_at 2)" silent
exec 8<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)"
signalled=$(now_ms)
kill -TERM "${PIDS[r1]}"
call new 2300 /one/q &
calls=($!)
call order 2400 /order/q -X POST -d x &
calls+=($!)
(
  sleep_until 2400
  send_kept kept >"$LOGS/kept"
) &
calls+=($!)
wait "${calls[@]}"
exec 8>&-
wait "${PIDS[r1]}"
code=$?
unset "PIDS[r1]"
ended=$(($(now_ms) - signalled))

# Both had been sent to searchers, and may have run.
for name in new order; do
  read -r status at <"$LOGS/$name"
  [ "$status" = 502 ] || fail "request '$name' was answered $status $at ms after SIGTERM (000: not at all)"
done
[ "$(cat "$LOGS/kept")" = 502 ] || fail "a request on a connection opened before SIGTERM was cut off"
[ "$code" = 0 ] || fail "the relay exited with $code"
[ "$ended" -lt "$GRACE_MS" ] || fail "the relay stopped $ended ms after SIGTERM"
say "planned stop: ok"
