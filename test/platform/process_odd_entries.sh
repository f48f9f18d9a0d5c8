#!/usr/bin/env bash
# Entries of other writers, with odd names, in a list of searchers of several pages.
#
# Guards against a relay that after a start doesn't read the list to its end because of the name
# or the contents of one entry, and against the use of an entry whose name is no id of a searcher.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

PAGE=50 # entries on a page of the store
encode() { printf '%s' "$1" | od -An -v -tx1 | tr -d '\n' | tr ' ' '%'; } # TEXT
register_odd() { # NAME: a valid entry of searcher 1
  register 1 "$(encode "$1")" a ready
}
unregister_odd() { unregister "$(encode "$1")"; } # NAME
both_serve() { # for a whole search, each shard has to be known
  local r
  for r in 1 2; do
    relay_ready $r && [ "$(ask $r /all/q "q$RANDOM")" = 200 ] && [ "$(field X-Missing-Parts)" = 0 ] || return 1
  done
}

# The odd entry is the last one of the first page; all searchers follow on the next.
for ((i = 1; i < PAGE; i++)); do register 1 "a$(printf '%02d' $i)" other ready; done
failed=
odd=('b&watch=1' 'b+c' 'b#c' 'b%' 'b%41' 'b c' 'b/c' 'b?c' 'b"c' 'bü' 'b=c' 'b;c' "b$(printf '%080d' 0)")
for name in "${odd[@]}"; do
  register_odd "$name"
  restart_relays 2
  until_true 10 both_serve || failed+=" '$name'"
  ! grep -q '"event":"E1406".*target b' "$LOGS/r1.log" || failed+=" '$name' is used"
  grep -q '"event":"E1207".*name' "$LOGS/r1.log" || failed+=" '$name' isn't logged"
  unregister_odd "$name"
done
[ -z "$failed" ] || fail "the list wasn't read to its end, or an odd entry was used:$failed"

# Pages without any usable name.
for ((i = 0; i < 2 * PAGE; i++)); do register_odd "c $i"; done
restart_relays 2
until_true 15 both_serve || fail "pages without a usable entry hide those that follow"

# A list that leads back to its first page: what was read is used, and the store isn't flooded.
for ((i = 1; i < PAGE; i++)); do unregister "a$(printf '%02d' $i)"; done
for ((i = 0; i < 2 * PAGE; i++)); do unregister_odd "c $i"; done
for ((i = 0; i < PAGE; i++)); do register 1 "z$i" other ready; done
mode "$STORE" repeat
restart_relays 2
until_true 10 both_serve || fail "the first page of a list that doesn't end isn't used"
before=$(metric 1 platform_calls_total)
sleep 3
after=$(metric 1 platform_calls_total)
# Two pages per second and retry at most, and the watches of the other kinds.
[ $((after - before)) -le 30 ] || fail "$((after - before)) calls of the store in 3 s"
[ "$(metric 1 listings_stalled_total)" -gt 0 ] || fail "the stalled list isn't counted"
grep -q '"event":"E1307".*targets' "$LOGS/r1.log" || fail "no log line about the stalled list"
mode "$STORE" ok
restart_relays 2
until_true 10 both_serve || fail "the list isn't read once it ends again"

say "odd entries: ok"
