#!/usr/bin/env bash
# Watches that the store received while it was silent, and never responds to.
#
# Guards against outdated routes for half a minute after a change.  A change completes the
# pending watches of all relays while the store is silent, so that their next watches are
# lost.  The store recovers a second later, and without detection of lost watches the next
# change reaches no relay until its watch times out.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

sleep 2 # until every relay has pending watches
mode $STORE silent
configure 2 '"a","b"'
for r in 1 2 3; do until_true 3 shards $r 2 || fail "relay $r does not follow the first change"; done
sleep 1
mode $STORE ok
configure 3 '"a","b","c"'
for r in 1 2 3; do until_true 8 shards $r 3 || fail "relay $r misses a change after the store was silent"; done
echo "silenced watch: ok"
