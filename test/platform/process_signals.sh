#!/usr/bin/env bash
# Guards against requests that are cut off because signals come in an unusual order, settings files
# are missing, or the process is not scheduled for a while, around a planned stop.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/calls.sh"
trap stop_all EXIT

STEADY=8 # the relay that is not stopped

sig() { kill "-$2" "${PIDS[r$1]}"; } # RELAY SIGNAL

# stall RELAY AT MS: stops the process AT seconds from now, for MS ms.
stall() {
  sleep "$2"
  sig "$1" STOP
  sleep "0.$3"
  sig "$1" CONT
}

# Without a configuration: the store is away, and no other relay runs.
STORE=127.0.0.1:$((FIRST_PORT + 99)) start_relay 9 z9
until_true 5 http -o "$LOGS/ready" "http://127.0.0.1:$(relay_port 9 1)/ready" || fail "relay 9 does not start"
ask 9 /one/q early >"$LOGS/early" &
early=$!
sleep 0.1
stop r9 TERM || fail "relay 9 exited with $?"
wait $early
[ "$(cat "$LOGS/early")" = 503 ] || fail "a request before the first configuration got '$(cat "$LOGS/early")'"

start_platform $STEADY
configure_long_routes 2
run_callers 9 200 1 2 3 4 5 6 7 $STEADY
sleep 3

# The settings file is missing before the stop, and invalid during it.
rm "$LOGS/r3.json"
sig 3 HUP
sleep 0.3
sig 1 TERM # twice
sig 2 INT  # then SIGTERM
sig 3 TERM # between two SIGHUPs
sig 4 TERM # stands still while it serves
sig 5 TERM # stands still when its last requests are read
sig 6 TERM # stands still when its last answers are due
# Stands still when the signal comes.
sig 7 STOP
sig 7 TERM
stall 4 1 600 &
stalls=($!)
stall 5 2.4 400 &
stalls+=($!)
stall 6 3.2 600 &
stalls+=($!)
sleep 0.4
sig 7 CONT
sig 1 TERM
sig 2 TERM
printf '{' >"$LOGS/r3.json"
sig 3 HUP
sig 1 HUP
wait "${stalls[@]}"
wait "$CALLERS" || fail "the callers ended with $?"
for i in 1 2 3 4 5 6 7; do
  wait "${PIDS[r$i]}"
  code=$?
  unset "PIDS[r$i]"
  [ "$code" = 0 ] || fail "relay $i exited with $code"
  grep -q '"event":"E1006".*"cut":0,' "$LOGS/r$i.log" || fail "relay $i cut requests off"
done
check_calls
say "signals: ok"
