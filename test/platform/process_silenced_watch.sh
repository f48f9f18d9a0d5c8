#!/usr/bin/env bash
# Watches that a store took while it answered nobody, and that it never answers.
#
# What callers see if it goes wrong: old routes for half a minute after a change.  A
# change ends the waiting watches of all relays; the store is silent at that moment, so
# that their next watches are swallowed; it is back a second later, and the change after
# that reaches no relay until its watch would have ended by itself.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 3

shards() { [ "$(ask "$1" /all/q "g$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = "$2" ]; }

sleep 2 # every relay has its watches waiting
mode $STORE silent
configure 2 '"a","b"'
for r in 1 2 3; do until_true 3 shards $r 2 || fail "relay $r does not follow the first change"; done
sleep 1
mode $STORE ok
configure 3 '"a","b","c"'
for r in 1 2 3; do until_true 8 shards $r 3 || fail "relay $r is deaf after the store's silence"; done
echo "silenced watch: ok"
