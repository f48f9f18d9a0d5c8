#!/usr/bin/env bash
# Guards against requests that a planned stop cuts off without an answer, whenever they are sent: at
# any moment around it, on new connections and on those that were open before, to searchers that are
# full, some with work that would last beyond the end of the process.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/calls.sh"
trap stop_all EXIT
register() { # NUMBER ID SERVICE STATE
  http -X PUT "http://$STORE/objects/servers/$2" --data-binary \
    "{\"service\":\"$3\",\"address\":\"$(searcher_at "$1")\",\"zone\":\"z1\",\"version\":\"v1\",
      \"slots\":2,\"state\":\"$4\",\"warmup_left_ms\":0,\"seq\":1}" >/dev/null
}
start_platform 2
configure_long_routes 2
WORK_MS=(20 720 1300)

GRACE_MS=4000
FIRST_MS=-500
LAST_MS=$GRACE_MS
STEP_MS=100
# Requests that are sent earlier than this are read: the listener closes at 0.7 of the grace period.
READ_UNTIL_MS=2500
now_ms() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }
sleep_until() { # MS after the signal
  local left=$((signalled + $1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

# send KIND AT WORK_MS: sends a request on descriptor FD, or on a new connection if FD is 0, and
# writes to LOGS/KIND.AT: the status (0: no answer), when it was sent, and how long it took, ms.
send() {
  local kind=$1 at=$2 fd=$FD id=$1$(($2 - FIRST_MS)) status sent
  sleep_until "$at"
  if [ "$fd" = 0 ]; then
    exec {fd}<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)" || return # no listener: nothing was sent
  fi
  sent=$(now_ms)
  printf 'GET /one/work-%d HTTP/1.1\r\nHost: h.test\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n' \
    "$3" "$id" >&"$fd"
  status=$(timeout 6 head -n 1 <&"$fd" | cut -d' ' -f2)
  printf '%d %d %d\n' "${status:-0}" $((sent - signalled)) $(($(now_ms) - sent)) >"$LOGS/$kind.$at"
}

KEPT=()
for ((at = FIRST_MS; at <= LAST_MS; at += STEP_MS)); do
  exec {fd}<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)"
  KEPT+=("$fd")
done
signalled=$(($(now_ms) - FIRST_MS + 300))
n=0
for ((at = FIRST_MS; at <= LAST_MS; at += STEP_MS)); do
  work=${WORK_MS[n % 3]}
  FD=0 send new "$at" $work 2>/dev/null &
  CALLS+=($!)
  FD=${KEPT[n]} send kept "$at" $work 2>/dev/null &
  CALLS+=($!)
  n=$((n + 1))
done
sleep_until 0
kill -TERM "${PIDS[r1]}"
wait "${CALLS[@]}"
wait "${PIDS[r1]}"
code=$?
unset "PIDS[r1]"

lost=0
served=0
declare -A ANSWERED # by half second, from SIGTERM on
for kind in new kept; do
  for ((at = FIRST_MS; at <= LAST_MS; at += STEP_MS)); do
    status=0 sent=$at took=0
    [ ! -e "$LOGS/$kind.$at" ] || read -r status sent took <"$LOGS/$kind.$at"
    [ "$status" != 200 ] || served=$((served + 1))
    [ "$status" = 0 ] || [ "$sent" -lt 0 ] || ANSWERED[$kind$((sent / 500))]=1
    # A request that crosses the close of its connection has not been read.
    [ "$status" != 0 ] || { [ "$took" -le $UNREAD_AGE_MS ] && [ "$sent" -gt $READ_UNTIL_MS ]; } || {
      say "$kind connection: a request sent $sent ms after SIGTERM has no answer after $took ms"
      lost=$((lost + 1))
    }
  done
done
[ $lost = 0 ] || fail "$lost requests were cut off without an answer"
# The test proves something only if requests are read in each half second until the listener closes.
[ "${#ANSWERED[@]}" -ge $((2 * READ_UNTIL_MS / 500)) ] || fail "requests were read only in ${!ANSWERED[*]}"
grep -q '"cut":0,' "$LOGS/r1.log" || fail "the relay cut requests off: $(grep '"cut"' "$LOGS/r1.log")"
[ "$code" = 0 ] || fail "the relay exited with $code"
say "stop at any moment: ok, $served requests served"
