#!/usr/bin/env bash
# Searchers that send bytes without end: the calls fail over or end in time, their connections are
# closed, and the memory of the relay stays bounded, also for many calls at once.
set -u
BUILD=$1
EXTRA_LIMITS=',"memory_mb":64'
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start stalls watch_stalls
start_platform 1

# Of the relay: a quarter of memory_mb for unfinished answers, and what it needs beside them.
PEAK_KB_MAX=${MR_RSS_LIMIT_KB:-32000}
KINDS="head fields body chunks tiny-chunks extensions trailer interim other-ids empty-lines"
# What a call may take, with the buffers of the kernel.
TAKEN_MAX=$((24 * 1024 * 1024))

# Longest time in ms for which this script was not scheduled; added to the limits of time.
stalled() { cat "$LOGS/stall" 2>/dev/null || printf 0; }

now_ms() { printf '%d' $((${EPOCHREALTIME/[.,]/} / 1000)); }

peak_kb() { awk '/^VmHWM/ { print $2 }' "/proc/${PIDS[r1]}/status"; }

# ended KIND: lines of the searchers about responses of KIND whose connection was closed.
ended() { cat "$LOGS/s1.log" "$LOGS/s2.log" "$LOGS/s3.log" | grep "^endless $1 "; }
some_ended() { [ "$(ended "$1" | wc -l)" -ge "$2" ]; } # KIND COUNT

# check_ended KIND MS: each response of KIND took at most MS and TAKEN_MAX bytes.
check_ended() {
  local line ms bytes
  until_true 5 some_ended "$1" 1 || fail "$1: no call reached the faulty searcher, or it was not closed"
  while read -r line; do
    ms=${line#*ms=}
    ms=${ms%% *}
    bytes=${line#*bytes=}
    [ "$ms" -le $(($2 + $(stalled))) ] || fail "$1: the connection was closed after $ms ms"
    [ "$bytes" -le $TAKEN_MAX ] || fail "$1: $bytes bytes were taken"
  done < <(ended "$1")
}

# ask_in_time PATH ID MS STATUS...: the response comes within MS and has one of the statuses.
ask_in_time() {
  local path=$1 id=$2 limit=$3 began status took
  shift 3
  began=$(now_ms)
  status=$(ask 1 "$path" "$id" ${METHOD:-})
  took=$(($(now_ms) - began))
  case " $* " in *" $status "*) ;; *) fail "$id: status $status: $(cat "$LOGS/head")" ;; esac
  [ "$took" -le $((limit + $(stalled))) ] || fail "$id: the response took $took ms"
}

STARTED=$(now_ms)

# ask_second KIND MS: requests until one has reached the faulty searcher; the other one serves all.
ask_second() {
  local i
  mode "$(searcher_at 1)" "endless-$1"
  # With a newer start, the relay forgets what it has learned of the searcher.
  STARTED=$((STARTED + 1))
  register_started 1 i-1 a ready $STARTED
  for i in $(seq 1 100); do
    ask_in_time /one/q "$1-$i" 1500 200
    field X-Server-Stamp | grep -q "^i-2\.$1-$i$" || fail "$1: a response of the faulty searcher"
    grep -q "^run $1-" "$LOGS/s1.log" && break
    sleep 0.02
  done
  mode "$(searcher_at 1)" ok
  check_ended "$1" "$2"
}

# One searcher sends without end.  In small pieces its calls lose to hedges and are closed after a
# short time.
for kind in $KINDS; do
  ask_second "$kind" 1000
  ask_second "$kind-slow" 2500
done

# Both searchers do so: the caller is told in time, and an order is not sent twice.
for kind in other-ids body; do
  mode "$(searcher_at 1)" "endless-$kind"
  mode "$(searcher_at 2)" "endless-$kind"
  ask_in_time /one/q "b-$kind" 2500 502 503 504
  METHOD='-X POST -d x' ask_in_time /order/q "o-$kind" 900 502
  [ "$(runs "o-$kind")" = 1 ] || fail "$kind: an order ran $(runs "o-$kind") times"
  mode "$(searcher_at 1)" "endless-$kind-slow"
  mode "$(searcher_at 2)" "endless-$kind-slow"
  ask_in_time /one/q "c-$kind" 2400 502 504
  METHOD='-X POST -d x' ask_in_time /order/q "p-$kind" 1300 502 504
  [ "$(runs "p-$kind")" = 1 ] || fail "$kind, slow: an order ran $(runs "p-$kind") times"
  # The caller leaves; the call to the searcher ends by the time limit of the route.
  curl -s --max-time 0.3 -X POST -d x -H "Host: h.test" -H "X-Request-Id: l-$kind" -H "X-Deadline-Ms: 3000" \
    "http://127.0.0.1:$(relay_port 1 0)/order/q" >/dev/null
  until_true 3 grep -q "^endless $kind-slow l-$kind " "$LOGS/s1.log" "$LOGS/s2.log" ||
    fail "$kind: the call of a caller that left was not closed"
  check_ended "$kind-slow" 2500
  mode "$(searcher_at 1)" ok
  mode "$(searcher_at 2)" ok
done

# The only searcher of a shard does so: the shard is missing from the merged response.
for kind in other-ids body; do
  for speed in "" -slow; do
    mode "$(searcher_at 3)" "endless-$kind$speed"
    ask_in_time /all/q "a-$kind$speed" 2400 200
    [ "$(field X-Missing-Parts)" = 1 ] || fail "$kind$speed: $(field X-Missing-Parts) shards are missing"
    mode "$(searcher_at 3)" ok
  done
done

# Many large bodies at once, which are never complete.
usual_kb=$(peak_kb)
mode "$(searcher_at 1)" endless-large-body-slow
mode "$(searcher_at 2)" endless-large-body-slow
callers=()
for i in $(seq 1 24); do
  curl -s -o /dev/null --max-time 5 -H "Host: h.test" -H "X-Request-Id: m$i" -H "X-Deadline-Ms: 3000" \
    "http://127.0.0.1:$(relay_port 1 0)/one/q" &
  callers+=($!)
done
wait "${callers[@]}"
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok
say "peak memory: $usual_kb kB, with large bodies $(peak_kb) kB"
[ "$(peak_kb)" -le "$PEAK_KB_MAX" ] || fail "the relay used $(peak_kb) kB"
counter() { http "http://127.0.0.1:$(relay_port 1 4)/metrics" | sed -n "s/^merlinring_$1 //p"; } # NAME
[ "$(counter relay_evicted_answers_total)" -gt 0 ] || fail "no large body was given up for its memory"
[ "$(counter relay_oversized_answers_total)" -gt 0 ] || fail "no answer was given up for its size"
grep -q '"event":"E1414"' "$LOGS/r1.log" || fail "no log line about an answer that was given up"
until_true 5 search_complete 1 || fail "a later search is not complete"
say "longest time of a call: $(cat "$LOGS"/s[123].log | sed -n 's/^endless .* ms=\([0-9]*\) .*/\1/p' | sort -n | tail -n 1) ms"
say "endless answers: ok"
