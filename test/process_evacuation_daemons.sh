#!/usr/bin/env bash
# Evacuations in the product's own dialect, and the commands that set and list them.
#
# Guards against searches and orders that reach an evacuated failure domain, also after a
# start of all daemons, and against commands that say what is not so.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system

calls_of() { http "http://127.0.0.1:$((SHOP_PORT + $1))/stats" | sed 's/.*"calls":\([0-9]*\).*/\1/'; } # NUMBER
ask_all() { local i j; for i in 1 2 3; do for j in 1 2 3 4; do search $i shop-search ripe >/dev/null; done; done; }
check_empty() { # WHEN
  local before after
  before=$(calls_of 0)
  ask_all
  after=$(calls_of 0)
  [ "$before" = "$after" ] || fail "$1: $((after - before)) calls reached an evacuated domain"
}
used() { local before; before=$(calls_of 0); ask_all; [ "$(calls_of 0)" -gt "$before" ]; }
held_by() { has "$(ctl evacuations)" "held by $1 of 3 daemons"; }

case "$(calls_of 0)" in '' | *[!0-9]*) fail "the searcher does not say how many searches it got" ;; esac
used || fail "the domain gets nothing in calm times"

expect "$(ctl evacuate domain-1)" "is evacuated" evacuate
expect "$(ctl evacuate domain-1)" "already" "evacuate twice"
until_true 5 held_by 3 || fail "not held by all: $(ctl evacuations)"
check_empty "evacuated"
search_complete 1 shop-search ripe || fail "searches are not complete with two replicas a shard"

for i in 1 2 3; do stop d$i KILL; done
for i in 1 2 3; do start_daemon $i $i; done
for i in 1 2 3; do until_true 10 daemon_ready $i || fail "d$i is not ready"; done
check_empty "after a start of all"

# What can't be is said, with the exit code for it.
ctl evacuate 2>/dev/null
[ $? = 2 ] || fail "evacuate without a domain: exit code"
ctl evacuate 'Not A Name' 2>/dev/null
[ $? = 2 ] || fail "evacuate of no name: exit code"
ctl evacuate --undo domain-9 2>/dev/null
[ $? = 1 ] || fail "undo of what is not evacuated: exit code"

expect "$(ctl evacuate --undo domain-1)" "used again" undo
gone() { [ -z "$(ctl evacuations)" ]; }
until_true 5 gone || fail "still listed: $(ctl evacuations)"
until_true 5 used || fail "the domain stays out of use"
say "evacuation, own dialect: ok"
