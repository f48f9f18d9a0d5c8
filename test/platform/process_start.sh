#!/usr/bin/env bash
# Callers that ask a relay while it starts.
#
# What they saw: of several searches that waited for a relay's start, some came back without a
# part, though another searcher of the shard could serve it.  One of the shard's two searchers
# refuses (421: another process has its address); what has waited is begun at one moment, half
# of it there, and a process that has just started had one second send for all of them.  The
# lines of these searches (E1701) said "cause":"budget", and the part's only call
# "end":"misdirected".
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
CALLERS=8
SEARCHES=4 # of each caller
start_platform 3
withdraw i-1
announce 1 i-1b a ready # its process answers as i-1

# Asks as soon as the relay listens, again and again; notes the parts that are missing.
ask_at_start() { # RELAY CALLER
  local n=0 ANSWER="$LOGS/caller-$1-$2"
  mkdir -p "$ANSWER"
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

# Ends and starts RELAYS, with callers in front of each.
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
  [ "$(wc -l <"$LOGS/missing")" = $((CALLERS * SEARCHES * $#)) ] || fail "$what: not all are answered"
  [ "$(sort -u "$LOGS/missing")" = 0 ] ||
    fail "$what: $(grep -cv '^0$' "$LOGS/missing") answers without a part"
}

for _ in 1 2 3; do
  restart_with_callers "a start" 3
done
restart_with_callers "a start of all" 1 2 3
mode $STORE silent
restart_with_callers "a start in an outage of the store" 3
mode $STORE ok
say "start: ok"
