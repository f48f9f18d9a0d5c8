#!/usr/bin/env bash
# A store that comes back from a copy and never answers the watches that it had received before,
# several times in a row.
#
# Guards against changes that no relay follows until its watch times out half a minute later.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

copy_store
for round in 1 2 3; do
  sleep 1 # until every relay has pending watches
  restore_store mute
  configure $((10 * round)) '"a","b"'
  for r in 1 2 3; do until_true 8 shards $r 2 || fail "relay $r misses a change after restore $round"; done
  configure $((10 * round + 1)) '"a"'
  for r in 1 2 3; do until_true 3 shards $r 1 || fail "relay $r misses the next change, $round"; done
done

# Operators see the era, and what was read again.
for r in 1 2 3; do
  http "http://127.0.0.1:$(relay_port $r 4)/metrics" | grep -q '^merlinring_store_era 4$' ||
    fail "relay $r does not state the era"
  grep -q 'read again in era 4: 4 targets known, 0 of them not listed, 0 entries held back' "$LOGS/r$r.log" ||
    fail "relay $r does not tell what it has read again"
done
say "restored mute: ok"
