#!/usr/bin/env bash
# A request that crashes every searcher that starts it.
#
# Guards against repeated outages of several seconds in which hardly any search succeeds,
# because up to thirty targets of all shards have crashed at once.  This happens if a relay
# attributes the crashes to the targets, resends the parts to other targets, and treats
# each repeat of the request as a new one.  Evidence of the cause: crashes follow only this
# request, at each target about 40 ms after it was started.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

# Number of calls of such requests that reached searchers, and of crashed searchers.
CALLS=0
CRASHES=0

# Updates the counts since the last call, and restarts each crashed searcher with a new
# id.
restart_crashed() {
  local i count
  GENERATION=$((GENERATION + 1))
  for i in 1 2 3 4; do
    count=$(grep -c '^run crash' "$LOGS/s$i.log")
    CALLS=$((CALLS + count - COUNTED[i]))
    COUNTED[i]=$count
    is_running $i && continue
    COUNTED[i]=0
    CRASHES=$((CRASHES + 1))
    restart_searcher $i
  done
}
COUNTED=([1]=0 [2]=0 [3]=0 [4]=0) # such calls in a searcher's log at the last count

# crash RELAY PATH ID [CURL ARGUMENTS]: sends such a request; it must never succeed.
crash() {
  local status
  status=$(ask "$@")
  case "$status" in
    5??) ;;
    *) fail "$3 at relay $1 has status $status" ;;
  esac
}

# A search over all shards, and one repeat by its caller at another relay at once.  In the
# original fault a search of ten parts caused twenty calls; here it has three parts, and
# there are only four searchers.
crash 1 /all/crash crash1
crash 2 /all/crash crash2
sleep 0.3
restart_crashed
say "a search over all shards and its repeat: $CALLS calls reached searchers, $CRASHES crashed"
[ $CRASHES -le 4 ] || fail "$CRASHES searchers crashed by one search and its repeat"
until_true 10 all_complete || fail "searches are not complete again"

# After the time in which the quarantine spreads, the request is repeated at every relay: at
# most three more calls reach searchers, and other requests are not affected.
sleep 4.5
CALLS=0
CRASHES=0
for i in 1 2 3 4 5 6; do
  crash $((i % 3 + 1)) /all/crash "crash-again$i"
  search_complete $(((i + 1) % 3 + 1)) || fail "another search is affected: $(cat "$LOGS/head")"
done
sleep 0.3
restart_crashed
say "later, six times: $CALLS calls reached searchers, $CRASHES crashed"
[ $CALLS -le 3 ] || fail "$CALLS calls of a request that had crashed three searchers reached searchers"

# six_times PATH ID WHAT [CURL ARGUMENTS]: sends the request six times.  The third crash
# quarantines it, so that at most four calls reach searchers.
six_times() {
  local i path=$1 id=$2 what=$3
  shift 3
  CALLS=0
  for i in 1 2 3 4 5 6; do
    crash $((i % 3 + 1)) "$path" "$id$i" "$@"
    sleep 0.2
    restart_crashed
    until_true 10 all_complete || fail "searches are not complete again"
  done
  say "$what, six times: $CALLS calls reached searchers"
  [ $CALLS -le 4 ] || fail "$CALLS calls of $what reached searchers"
}

# A request to one service, and an order, which is never resent.
six_times /one/crash crash-one "a request to one service"
six_times /order/crash crash-order "an order" -X POST -d same

# The same if searchers still accept connections shortly after the call's connection has
# closed: an immediate probe then connects to the listener of a process that is exiting.
six_times /one/crash-late crash-late "a request that crashes searchers late"

# All relays are killed at once: the quarantine must be read from the store.
for r in 1 2 3; do stop r$r KILL; done
for r in 1 2 3; do start_relay $r "z$r"; done
for r in 1 2 3; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
until_true 10 all_complete || fail "searches are not complete after the relays' start"
CALLS=0
crash 1 /all/crash crash-after1
crash 2 /all/crash crash-after2
crash 3 /one/crash crash-after3
sleep 0.3
restart_crashed
[ $CALLS = 0 ] || fail "after a restart of all relays $CALLS calls reached searchers"

# Operators list the quarantine and lift it at one relay for all; the request is then sent
# to a searcher again.
ctl() { "$BUILD/merlinringctl" --entry "127.0.0.1:$(relay_port "$1" 4)" "${@:2}"; }
ctl 1 quarantine show | grep -q quarantined || fail "no quarantine is listed: $(ctl 1 quarantine show)"
quarantine_count_is() { [ "$(ctl "$1" quarantine show | grep -c quarantined)" = "$2" ]; }
quarantine_count_is 2 4 || fail "relay 2 lists: $(ctl 2 quarantine show)"
for content in $(ctl 1 quarantine show --json | sed -n 's/.*"content": "\(.*\)".*/\1/p'); do
  ctl 1 quarantine lift "$content" >/dev/null || fail "the quarantine of $content is not lifted"
done
for r in 1 2 3; do until_true 5 quarantine_count_is $r 0 || fail "relay $r still has a quarantine"; done
ctl 1 quarantine lift 00000000000000000000000000000000 2>/dev/null && fail "lifting an unknown quarantine succeeds"
ctl 1 quarantine lift never 2>/dev/null && fail "an invalid fingerprint is accepted"
CALLS=0
crash 2 /one/crash crash-lifted
sleep 0.3
restart_crashed
[ $CALLS -ge 1 ] || fail "a request is not sent after its quarantine was lifted"
http "http://127.0.0.1:$(relay_port 2 4)/metrics" | grep -q '^merlinring_relay_trials_total [1-9]' ||
  fail "no trial is counted"
say "quarantine: ok"
