#!/usr/bin/env bash
# A document in force never reverts to an older version: outages, lost replies and races.
#
# 1. Two operators edit the same version: the second gets a conflict, and the first edit
#    stays in force.
# 2. The platform applies a write and its reply is lost: the result is determined by reading
#    the document, and the edit comes into force.
# 3. Searches work during an outage, and a daemon that starts gets its data from peers.
# 4. A daemon with neither peers nor the platform reports that it is not ready.
# 5. Stale reads after the outage do not bring an older version into force.
set -u
BUILD=$1
. "$(dirname "$0")/../demo/lib.sh"
trap stop_all EXIT
start_system

top_k() { # DAEMON: the number of hits of a search, which top_k limits
  search "$1" shop-search "ripe round" | grep -o '"key"' | wc -l
}
has_top_k() { [ "$(top_k "$1")" = "$2" ]; }

version=$(ctl --json document get shop-search | sed 's/.*"version":\([0-9]*\),"status.*/\1/')
ctl document edit --version "$version" --wait shop-search top_k=5 || fail "the first edit failed"
ctl document edit --version "$version" shop-search top_k=6 && fail "the second edit should get a conflict"
[ $? -eq 3 ] || fail "a conflict should exit with 3"
for i in 1 2 3; do has_top_k $i 5 || fail "d$i: expected 5 hits, got $(top_k $i)"; done

faults lose_writes=1
ctl document edit --wait shop-search top_k=4 || fail "an edit with a lost reply did not come into force"
faults lose_writes=2
version=$(http "http://$PLATFORM/v1/objects/documents/shop-search" | sed 's/.*"version":\([0-9]*\).*/\1/')
put documents shop-search "$version" '{"service":"shop-search","orders":true,"top_k":3}' 2>/dev/null
for i in 1 2 3; do until_true 10 has_top_k $i 3 || fail "d$i: expected 3 hits, got $(top_k $i)"; done

faults down=1
ctl document edit shop-search top_k=9 2>/dev/null && fail "an edit in an outage should fail"
stop d3 KILL
# The list of VMs is unavailable in an outage, so that the settings name a peer.
MERLINRING_SEEDS=127.0.0.1:$((PEER_BASE + 1)) start_daemon 3 3
until_true 15 daemon_ready 3 || fail "d3 did not get its data from its peers in the outage"
for i in 1 2 3; do has_top_k $i 3 || fail "d$i: expected 3 hits in the outage, got $(top_k $i)"; done
start_daemon 4 1
until_true 5 http "http://127.0.0.1:$((HTTP_BASE + 4))/v1/status" || fail "d4 does not respond"
expect "$(http "http://127.0.0.1:$((HTTP_BASE + 4))/v1/ready")" '"result":202' "a daemon without peers and platform"
stop d4 KILL

# The timeout is longer than the maximum interval between retries of the platform.
faults down=0\&stale=1
platform_up() { has "$(http "http://127.0.0.1:$((HTTP_BASE + $1))/v1/status")" '"platform_up":true'; }
for i in 1 2 3; do until_true 15 platform_up $i || fail "d$i did not reach the platform again"; done
for i in 1 2 3; do has_top_k $i 3 || fail "d$i reverted to an older document"; done
faults stale=0
ctl document edit --wait shop-search top_k=6 || fail "no edit after the outage"
say "documents: ok"
