#!/usr/bin/env bash
# Searches that arrive while a relay starts.
#
# Guards against searches that waited for the start and miss a part that another searcher of
# the shard could serve.  One of the shard's two searchers refuses requests (421: another
# process has its address).  All waiting searches begin at once, half of them at that
# searcher, and the resend budget of a relay that had just started was one resend for all of
# them.  Their log lines (E1701) had "cause":"budget", and the part's only call
# "end":"misdirected".
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
CALLERS=8
SEARCHES=4 # for each caller
start_platform 3
unregister i-1
register 1 i-1b a ready # its process identifies itself as i-1

# Sends searches from before the relay listens; writes the number of missing parts of each.
ask_at_start() { # RELAY CALLER
  local n=0 RESPONSE="$LOGS/caller-$1-$2"
  mkdir -p "$RESPONSE"
  for _ in $(seq 1 400); do
    [ "$n" -lt $SEARCHES ] || return
    if [ "$(ask "$1" "/all/q$1.$2.$n" "c$1.$2.$n" 2>/dev/null)" = 200 ]; then
      field X-Missing-Parts >>"$LOGS/missing"
      n=$((n + 1))
    else
      sleep 0.01
    fi
  done
}

# Restarts RELAYS while callers send searches to each of them.
restart_with_callers() { # WHAT RELAYS...
  local what=$1 r c
  shift
  : >"$LOGS/missing"
  local pids=()
  for r in "$@"; do stop "r$r" KILL; done
  for r in "$@"; do
    for ((c = 1; c <= CALLERS; c++)); do
      ask_at_start "$r" "$c" &
      pids+=($!)
    done
  done
  for r in "$@"; do start_relay "$r" "z$r"; done
  wait "${pids[@]}"
  [ "$(wc -l <"$LOGS/missing")" = $((CALLERS * SEARCHES * $#)) ] || fail "$what: not all searches got a response"
  [ "$(sort -u "$LOGS/missing")" = 0 ] ||
    fail "$what: $(grep -cv '^0$' "$LOGS/missing") responses without a part"
}

for _ in 1 2 3; do
  restart_with_callers "restart" 3
done
restart_with_callers "restart of all relays" 1 2 3
mode $STORE silent
restart_with_callers "restart in an outage of the store" 3
mode $STORE ok
say "start: ok"
