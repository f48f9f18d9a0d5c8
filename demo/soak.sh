#!/usr/bin/env bash
# make soak: load with random faults for some minutes; fails if an order runs twice, if
# service is not complete after the faults, or if memory or descriptors leak.
# soak.sh BUILD [SECONDS] [SEED]
set -u
BUILD=$1
DURATION=${2:-180}
RANDOM=${3:-7}
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_system

rss() { awk '/VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }
descriptors() { find "/proc/${PIDS[$1]}/fd" -type l | wc -l; }
clear_faults() {
  for i in 0 1 2; do
    control $i 'slow_factor=1&silent=0&draining=0&wrong_snapshot=0&wrong_id=0&dead=0&drop_orders=0'
  done
  faults 'down=0&stale=0&slow_ms=0&lose_writes=0'
}
inject_fault() {
  local i=$((RANDOM % 3))
  case $((RANDOM % 9)) in
    0) control $i slow_factor=10 ;;
    1) control $i silent=1 ;;
    2) control $i wrong_snapshot=1 ;;
    3) control $i wrong_id=1 ;;
    4) control $i dead=1 ;;
    5) faults down=1 ;;
    6) faults slow_ms=300 ;;
    7) ctl document edit shop-search top_k=$((1 + RANDOM % 20)) >/dev/null 2>&1 ;;
    8) kill -STOP "${PIDS[d3]}"; sleep 2; kill -CONT "${PIDS[d3]}" ;;
  esac
}

"$BUILD/load" --entry 127.0.0.1:$((HTTP_BASE + 1)) --rate 40 --seconds "$DURATION" --deadline-ms 500 >"$LOGS/load.txt" &
load=$!
# Two rounds of faults before the first measurement, so that it includes the memory and
# connections that are kept on purpose.
for _ in 1 2; do inject_fault; sleep 1; clear_faults; sleep 1; done
rss0=$(rss d1) fds0=$(descriptors d1)
end=$((SECONDS + DURATION - 10)) orders=0
while [ $SECONDS -lt $end ]; do
  inject_fault
  t=$(ticket 1)
  for i in 1 2 1; do order $i "$t" 300 >/dev/null 2>&1; done
  orders=$((orders + 1))
  sleep 1
  clear_faults
  sleep 0.5
  for i in 0 1 2; do
    http "http://127.0.0.1:$((SHOP_PORT + i))/stats" | grep -q '"tickets_run_twice":0' || fail "an order ran twice"
  done
done
wait $load
cat "$LOGS/load.txt"
until_true 40 search_complete 1 shop-search ripe || fail "searches are not complete after the faults"
say "orders sent three times each: $orders, none ran twice; d1: $rss0 -> $(rss d1) kB, $fds0 -> $(descriptors d1) descriptors"
[ "$(rss d1)" -lt $((rss0 + 20000)) ] || fail "memory grew"
[ "$(descriptors d1)" -lt $((fds0 + 100)) ] || fail "descriptors leak"
say "soak: ok"
