#!/usr/bin/env bash
# An order runs at most once, and its caller gets the true outcome.
#
# 1. The target runs the order and drops the connection: the caller gets "unknown" at once.
#    Repeating the order at the same or another daemon does not run it again.
# 2. The issuer of the ticket is stopped: another daemon responds "unknown" in time.  When
#    the issuer continues, the order runs once or not at all.
# 3. The issuer is killed: no daemon dispatches its tickets.
# 4. With the record of dispatched tickets switched off, a repeated order runs twice.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system

t=$(ticket 1)
control_all drop_orders=1
expect "$(order 1 "$t" 1000)" '"result":300' "a dropped connection"
control_all drop_orders=0
[ "$(orders_run)" = 1 ] || fail "the order ran $(orders_run) times"
expect "$(order 1 "$t" 1000)" '"result":300' "repeated at the issuer"
expect "$(order 2 "$t" 1000)" '"result":300' "repeated at another daemon"
[ "$(orders_run)" = 1 ] || fail "repeating the order ran it again"

# An owner reports after 10 ms that an order is still in progress.  If that were taken for
# the end of the order, it would be reported as "not run" and could run again.
control_all slow_factor=40
t=$(ticket 1)
expect "$(order 1 "$t" 2000)" '"result":102' "a slow order"
control_all slow_factor=1
[ "$(orders_run)" = 2 ] || fail "a slow order ran $(($(orders_run) - 1)) times"

t=$(ticket 1)
kill -STOP "${PIDS[d1]}"
expect "$(order 2 "$t" 400)" '"ran":"unknown"' "a stopped issuer"
kill -CONT "${PIDS[d1]}"
order_done() { has "$(order 2 "$t" 1000)" '"result":102'; }
until_true 10 order_done || fail "the order did not finish after the issuer continued"
[ "$(orders_run)" = 3 ] || fail "the order ran $(($(orders_run) - 2)) times"

t=$(ticket 1)
expect "$(order 2 "$t" 1000)" '"result":102' "an order at another daemon"
stop d1 KILL
expect "$(order 2 "$t" 1000)" '"ran":"unknown"' "a killed issuer"
start_daemon 1 1
until_true 10 daemon_ready 1 || fail "d1 is not ready after its restart"
until_true 10 search_complete 1 shop-search ripe || fail "d1 does not serve after its restart"
expect "$(order 2 "$t" 1000)" '"ran":"unknown"' "a ticket of an earlier process"
[ "$(orders_run)" = 4 ] || fail "a ticket of a killed process ran again"
expect "$(order 2 "" 1000)" '"result":402' "an order without a ticket"

stop d1 KILL
DAEMON=test/merlinringd_unsafe
MERLINRING_GUARDS_OFF=40 start_daemon 1 1 # the record of dispatched tickets
until_true 10 daemon_ready 1 || fail "the unsafe d1 did not start"
until_true 10 search_complete 1 shop-search ripe || fail "the unsafe d1 does not serve"
t=$(ticket 1)
before=$(orders_run)
order 1 "$t" 1000 >/dev/null
order 1 "$t" 1000 >/dev/null
[ $(($(orders_run) - before)) = 2 ] || fail "without the record the order should run twice"
say "orders: ok"
