#!/usr/bin/env bash
# make slopes: measures the cost of a daemon with real processes on loopback, and that of
# control traffic by fleet size.  These are the figures of docs/CAPACITY.md.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
WIDE_PORT=$((FIRST_PORT + 1000))
WIDE=300
TICKS=$(getconf CLK_TCK)

cpu() { # CPU time of all daemons, in clock ticks
  local name sum=0
  for name in d1 d2 d3; do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/${PIDS[$name]}/stat")))
  done
  echo $sum
}

metric() { # NAME: the sum over all daemons
  local i sum=0
  for i in 1 2 3; do
    sum=$((sum + $(http "http://127.0.0.1:$((HTTP_BASE + i))/metrics" | awk -v m="merlinring_$1_total" '$1 == m {print $2}')))
  done
  echo $sum
}

rss() { awk '/VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }

instructions() { # SECONDS: user-space instructions of all daemons; empty if unavailable
  perf stat -x, -e instructions:u -p "${PIDS[d1]},${PIDS[d2]},${PIDS[d3]}" sleep "$1" 2>&1 |
    awk -F, '/instructions/ && $1 + 0 > 0 {print $1}'
}

measure() { # LABEL SERVICE RATE SECONDS
  local cpu0 calls0 searches0 calls searches ticks count
  "$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --service "$2" --rate "$3" --seconds 2 --deadline-ms 1000 >/dev/null
  cpu0=$(cpu); calls0=$(metric shard_calls); searches0=$(metric searches)
  instructions "$4" >"$LOGS/instructions" &
  local counter=$!
  "$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --service "$2" --rate "$3" --seconds "$4" --deadline-ms 1000 >"$LOGS/load.txt"
  ticks=$(($(cpu) - cpu0)); calls=$(($(metric shard_calls) - calls0)); searches=$(($(metric searches) - searches0))
  wait $counter
  count=$(cat "$LOGS/instructions")
  say "$1: $(cat "$LOGS/load.txt")"
  awk -v l="$1" -v t=$ticks -v hz="$TICKS" -v c=$calls -v s=$searches -v i="${count:-0}" 'BEGIN {
    printf "%s: CPU %.1f us per shard call, %.0f us per query of %.1f calls", l, t / hz * 1e6 / c, t / hz * 1e6 / s, c / s
    if (i > 0) printf ", %.0f instructions per shard call", i / c
    print "" }'
}

start_system
sleep 3 # waits until the system is idle
cpu0=$(cpu); bytes0=$(metric peer_control_bytes); calls0=$(metric platform_calls)
sleep 10 # measurement interval
awk -v t=$(($(cpu) - cpu0)) -v hz="$TICKS" -v b=$(($(metric peer_control_bytes) - bytes0)) \
  -v p=$(($(metric platform_calls) - calls0)) 'BEGIN {
  printf "idle, each of 3 daemons: %.2f %% of a core, %.0f control bytes/s, %.2f platform calls/s\n", t / hz * 10 / 3, b / 30, p / 30 }'
say "memory of a daemon, idle: $(rss d1) kB"
for rate in 50 150; do measure "shop-search, $rate/s" shop-search $rate 5; done
say "memory of a daemon, after load: $(rss d1) kB"

SHARDS=$WIDE RECORDS=6000
for i in 0 1 2; do
  start "wide-$i" "$BUILD/searcherd" --port $((WIDE_PORT + 100 * i)) --count 100 --slots 5 \
    --connections 40 --connect-us 6000 --service-us 2000 --records $RECORDS --shards $SHARDS
done
put shardmaps wide 0 "$(shard_map wide $WIDE_PORT $WIDE 5 40 -1)"
put documents wide 0 '{"service":"wide","cell_shards":100,"deadline_ms":500}'
for i in 1 2 3; do until_true 20 search_complete $i wide honey || fail "d$i does not serve the wide service"; done
say "memory of a daemon with $WIDE targets: $(rss d1) kB"
for rate in 5 15; do measure "wide, $rate/s" wide $rate 5; done
say "memory of a daemon, after the wide load: $(rss d1) kB"
for i in 0 1 2; do stop "wide-$i" KILL; done
stop_all
"$BUILD/bench_control"
