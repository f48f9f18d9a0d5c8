#!/usr/bin/env bash
# Evacuations with merlinring's own dialect, and the commands that set and list them.
#
# Guards against searches that reach an evacuated failure domain, also after a restart of
# all daemons, and against commands that report a wrong state.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system

call_count() { http "http://127.0.0.1:$((SHOP_PORT + $1))/stats" | sed 's/.*"calls":\([0-9]*\).*/\1/'; } # NUMBER
search_all() { local i j; for i in 1 2 3; do for j in 1 2 3 4; do search $i shop-search ripe >/dev/null; done; done; }
check_empty() { # WHEN
  local before after
  before=$(call_count 0)
  search_all
  after=$(call_count 0)
  [ "$before" = "$after" ] || fail "$1: $((after - before)) calls reached an evacuated domain"
}
domain_used() { local before; before=$(call_count 0); search_all; [ "$(call_count 0)" -gt "$before" ]; }
held_by() { has "$(ctl evacuations)" "held by $1 of 3 daemons"; }

case "$(call_count 0)" in '' | *[!0-9]*) fail "the searcher does not report its number of calls" ;; esac
domain_used || fail "the domain gets no requests before the evacuation"

expect "$(ctl evacuate domain-1)" "is evacuated" evacuate
expect "$(ctl evacuate domain-1)" "already" "evacuate twice"
until_true 5 held_by 3 || fail "not all daemons have the evacuation: $(ctl evacuations)"
check_empty "evacuated"
search_complete 1 shop-search ripe || fail "searches are not complete with two replicas of each shard"

for i in 1 2 3; do stop d$i KILL; done
for i in 1 2 3; do start_daemon $i $i; done
for i in 1 2 3; do until_true 10 daemon_ready $i || fail "d$i is not ready"; done
check_empty "after a restart of all daemons"

# Invalid commands fail with the right exit code.
ctl evacuate 2>/dev/null
[ $? = 2 ] || fail "evacuate without a domain: exit code"
ctl evacuate 'Not A Name' 2>/dev/null
[ $? = 2 ] || fail "evacuate with an invalid name: exit code"
ctl evacuate --undo domain-9 2>/dev/null
[ $? = 1 ] || fail "undo without an evacuation: exit code"

expect "$(ctl evacuate --undo domain-1)" "used again" undo
no_evacuations() { [ -z "$(ctl evacuations)" ]; }
until_true 5 no_evacuations || fail "still listed: $(ctl evacuations)"
until_true 5 domain_used || fail "the domain stays out of use"
say "evacuation with own dialect: ok"
