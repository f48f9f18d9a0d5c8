#!/usr/bin/env bash
# Entries of other writers among the searchers, with odd contents.
#
# Guards against relays that end, or no longer follow the list of searchers, because of one entry
# that is nested too deeply or has a number or a port out of range.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

VERSION=1
SHARDS=3
# A change of the number of shards comes into force on both relays.
follow_changes() {
  local r
  VERSION=$((VERSION + 1))
  SHARDS=$((5 - SHARDS))
  configure $VERSION "$([ $SHARDS = 3 ] && printf '"a","b","c"' || printf '"a","b"')"
  for r in 1 2; do until_true 4 has_shards $r || return 1; done
}
has_shards() { # RELAY
  [ "$(ask "$1" /all/q "q$RANDOM")" = 200 ] && [ "$(field X-Missing-Parts)" = 0 ] &&
    [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = $SHARDS ]
}
repeat() { yes "$2" | head -n "$1" | tr -d '\n'; } # TIMES TEXT
nested() { printf '%s1%s' "$(repeat "$1" "$2")" "$(repeat "$1" "$3")"; } # DEPTH OPEN CLOSE
entry() { # ADDRESS SLOTS WARMUP SEQ BORN
  printf '{"service":"a","address":"%s","zone":"z1","version":"v1","slots":%s,"state":"ready","warmup_left_ms":%s,"seq":%s,"born":%s}' "$@"
}
now_ms=$(($(date +%s) * 1000))
large=9223372036854775807
contents=("$(nested 3000 '{"x":' '}')" "$(nested 400000 '[' ']')" "$(nested 80000 '[0,{"x":' '}]')"
  "$(nested 80000 '[0,{"x":' '')"
  "$(entry 127.0.0.1:99999 5 0 1 $now_ms)" "$(entry 127.0.0.1:-1 5 0 1 $now_ms)"
  "$(entry 127.0.0.1:0 5 0 1 $now_ms)" "$(entry 127.0.0.1:18446744073709551617 5 0 1 $now_ms)"
  "$(entry 127.0.0.1:1 1e999 0 1 $now_ms)" "$(entry 127.0.0.1:1 $large $large $large $large)"
  "$(entry 127.0.0.1:1 92233720368547758070 0 1 1)" "$(entry 127.0.0.1:1 5 -1 -1 -1)"
  '{"service":"a","service":"b"}' '1e999' '"\u0000"')
declare -A pids
for r in 1 2; do pids[$r]=${PIDS[r$r]}; done
for content in "${contents[@]}"; do
  register_raw b "$content"
  register_raw zz "$content"
  follow_changes || fail "an entry stops the relays: ${content:0:60}"
done
for r in 1 2; do kill -0 "${pids[$r]}" || fail "relay $r has ended"; done
restart_relays 2
for r in 1 2; do until_true 10 relay_ready $r || fail "relay $r doesn't start"; done
follow_changes || fail "the relays don't serve after a start"
say "odd contents: ok"
