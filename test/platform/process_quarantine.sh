#!/usr/bin/env bash
# A request that ends each searcher that begins it, as separate processes.
#
# What callers saw: for seconds hardly any search was answered, again and again, since
# up to thirty targets of all shards had ended at once.  One caller's request, the same
# each time, ended every target that began it; the relay took each end for the target's
# own, sent the part to the next one, and met the caller's repeat, at any relay, as a
# request that it had never seen.  Proof: the ends follow this request wherever it is
# sent, one by one, some 40 ms after it was begun, and nothing else.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

# Calls of such requests that reached searchers in all, and targets that they ended.
REACHED=0
ENDED=0

# Counts what has happened since the last time, and starts anew, under another id, each
# searcher that has ended.
revive() {
  local i count
  GENERATION=$((GENERATION + 1))
  for i in 1 2 3 4; do
    count=$(grep -c '^run crash' "$LOGS/s$i.log")
    REACHED=$((REACHED + count - SEEN[i]))
    SEEN[i]=$count
    lives $i && continue
    SEEN[i]=0
    ENDED=$((ENDED + 1))
    restart_ended $i
  done
}
SEEN=([1]=0 [2]=0 [3]=0 [4]=0) # such calls in a searcher's log, as counted last

# crash RELAY PATH ID [CURL ARGUMENTS]: such a request; it is never answered with success.
crash() {
  local status
  status=$(ask "$@")
  case "$status" in
    5??) ;;
    *) fail "$3 at relay $1 is answered $status" ;;
  esac
}

# The wide search, and its caller's one repeat at another relay at once.  Ten parts were
# sent twenty times; here it is three, and four searchers are all that there are.
crash 1 /all/crash crash1
crash 2 /all/crash crash2
sleep 0.3
revive
say "a wide search and its repeat: $REACHED calls reached searchers, $ENDED ended"
[ $ENDED -le 4 ] || fail "$ENDED searchers ended under one search and its repeat"
until_true 10 all_whole || fail "searches are not whole again"

# Later than any time that news may take the same comes again, at every relay: it
# reaches at most three searchers ever again, and nobody else is disturbed.
sleep 4.5
REACHED=0
ENDED=0
for i in 1 2 3 4 5 6; do
  crash $((i % 3 + 1)) /all/crash "crash-again$i"
  whole $(((i + 1) % 3 + 1)) || fail "another search is disturbed: $(cat "$LOGS/head")"
done
sleep 0.3
revive
say "later, six times: $REACHED calls reached searchers, $ENDED ended"
[ $REACHED -le 3 ] || fail "$REACHED calls of a request that had ended three reached searchers"

# six_times PATH ID WHAT [CURL ARGUMENTS]: the third end is the last.
six_times() {
  local i path=$1 id=$2 what=$3
  shift 3
  REACHED=0
  for i in 1 2 3 4 5 6; do
    crash $((i % 3 + 1)) "$path" "$id$i" "$@"
    sleep 0.2
    revive
    until_true 10 all_whole || fail "searches are not whole again"
  done
  say "$what, six times: $REACHED calls reached searchers"
  [ $REACHED -le 4 ] || fail "$REACHED calls of $what reached searchers"
}

# A request to one service, and an order, which is never sent twice.
six_times /one/crash crash-one "a request to one service"
six_times /order/crash crash-order "an order" -X POST -d same

# The same of one whose searchers take connections a moment longer than they answer: a
# probe that comes at once meets the listener of a process that is ending.
six_times /one/crash-late crash-late "a request that ends searchers late"

# All relays are killed at once: what is left is in the store.
for r in 1 2 3; do stop r$r KILL; done
for r in 1 2 3; do start_relay $r "z$r"; done
for r in 1 2 3; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
until_true 10 all_whole || fail "searches are not whole after the relays' start"
REACHED=0
crash 1 /all/crash crash-after1
crash 2 /all/crash crash-after2
crash 3 /one/crash crash-after3
sleep 0.3
revive
[ $REACHED = 0 ] || fail "after all relays were killed $REACHED calls reached searchers"

# Operators see what is blocked, and lift it, at one relay for all; it is then sent again.
ctl() { "$BUILD/merlinringctl" --entry "127.0.0.1:$(relay_port "$1" 4)" "${@:2}"; }
ctl 1 quarantine show | grep -q quarantined || fail "nothing is shown: $(ctl 1 quarantine show)"
held() { [ "$(ctl "$1" quarantine show | grep -c quarantined)" = "$2" ]; }
held 2 4 || fail "relay 2 shows: $(ctl 2 quarantine show)"
for content in $(ctl 1 quarantine show --json | sed -n 's/.*"content": "\(.*\)".*/\1/p'); do
  ctl 1 quarantine lift "$content" >/dev/null || fail "$content is not lifted"
done
for r in 1 2 3; do until_true 5 held $r 0 || fail "relay $r still blocks"; done
ctl 1 quarantine lift 00000000000000000000000000000000 2>/dev/null && fail "what is not known is lifted"
ctl 1 quarantine lift never 2>/dev/null && fail "a wrong fingerprint is taken"
REACHED=0
crash 2 /one/crash crash-lifted
sleep 0.3
revive
[ $REACHED -ge 1 ] || fail "a content that was lifted is not sent"
http "http://127.0.0.1:$(relay_port 2 4)/metrics" | grep -q '^merlinring_relay_trials_total [1-9]' ||
  fail "no trial is counted"
say "quarantine: ok"
