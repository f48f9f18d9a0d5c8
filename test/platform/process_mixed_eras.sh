#!/usr/bin/env bash
# A relay beside relays of an earlier build, which do not know the store's eras.
#
# Guards against changes that no relay follows for minutes during a rolling replacement.  The new
# relay is the first to read the store, the others take its versions, and what they read
# themselves is below these; the new one does not watch, because one of the others does.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
mkdir "$LOGS/earlier"
ln -s "$(cd "$BUILD" && pwd)/test/merlinring-relay_unsafe" "$LOGS/earlier/merlinring-relay"

start_earlier_relay() { # NUMBER ZONE
  local current=$BUILD
  BUILD=$LOGS/earlier
  MERLINRING_GUARDS_OFF=80000 start_relay "$1" "$2" # eras in versions
  BUILD=$current
}
shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

start_platform 0
start_relay 4 z1
until_true 10 relay_ready 4 || fail "the new relay is not ready"
for r in 1 2 3; do start_earlier_relay $r "z$r"; done
for r in 1 2 3; do until_true 10 relay_ready $r || fail "relay $r is not ready"; done
sleep 1 # until each relay knows the others
for version in 10 20 30; do
  configure $version '"a"'
  for r in 1 2 3 4; do until_true 3 shards $r 1 || fail "relay $r does not follow configuration $version"; done
  configure $((version + 1)) '"a","b"'
  for r in 1 2 3 4; do until_true 3 shards $r 2 || fail "relay $r does not follow the change after $version"; done
done
say "mixed eras: ok"
