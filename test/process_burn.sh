#!/usr/bin/env bash
# An incident and its cause appear in the burn report within a minute.
#
# The only searcher of one shard is down: responses stay partial, the error budget for
# coverage burns, and the report names that searcher and its failure domain.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system
for i in 1 2 3; do search $i shop-search ripe >/dev/null; done
stop shop-2 KILL
report_names_searcher() {
  local i report
  for i in 1 2 3; do search $i shop-search ripe >/dev/null; done
  report=$(ctl burn --json shop-search | tr -d ' \n')
  has "$report" '"worst_target":"shop-2"' && has "$report" '"worst_domain":"domain-3"'
}
until_true 60 report_names_searcher || fail "the report does not name the searcher that is down: $(ctl burn shop-search)"
ctl burn shop-search | grep -q 'coverage  5 min   burn  *[1-9]' || fail "the coverage budget does not burn: $(ctl burn shop-search)"
ctl burn nothing 2>/dev/null && fail "an unknown service has a report"
say "burn: ok"
