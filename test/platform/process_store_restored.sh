#!/usr/bin/env bash
# A store that comes back from an older copy and assigns its revisions again.
#
# Guards against configurations that no relay puts in force because the restored store gives
# them lower revisions than those of the configurations it has lost.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }
all_shards() { shards 1 "$1" && shards 2 "$1" && shards 3 "$1"; }

configure 10 '"a"'
until_true 3 all_shards 1 || fail "the relays do not follow configuration 10"
copy_store
for version in 11 12 13; do configure $version '"a","b"'; done
until_true 3 all_shards 2 || fail "the relays do not follow configuration 13"

# The copy holds configuration 10: no relay returns to it.
restore_store cut
for ((i = 0; i < 15; i++)); do
  all_shards 2 || fail "a relay returned to the configuration of the copy"
  sleep 0.1
done

# The first two have lower revisions than configuration 13 had, the third has the same.
for version in 20 30 40; do
  configure $version '"a","b","c"'
  for r in 1 2 3; do until_true 3 shards $r 3 || fail "relay $r does not follow configuration $version"; done
  configure $((version + 1)) '"a"'
  for r in 1 2 3; do until_true 3 shards $r 1 || fail "relay $r does not follow the change after $version"; done
done
say "store restored: ok"
