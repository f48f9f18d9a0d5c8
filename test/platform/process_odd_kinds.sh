#!/usr/bin/env bash
# Entries with odd names among configurations, evacuations and quarantines.
#
# Guards against a configuration, an evacuation or a quarantine that is never read because entries
# with odd names fill the first page of its kind.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

PAGE=50 # entries on a page of the store
put() { http -X PUT "http://$STORE/objects/$1/$2" --data-binary "$3" >/dev/null; } # KIND ENCODED-NAME JSON
both() { "$@" 1 && "$@" 2; }
serves() { [ "$(ask "$1" /all/q "q$RANDOM")" = 200 ] && [ "$(field X-Missing-Parts)" = 0 ]; }
has_two_shards() { [ "$(ask "$1" /all/q "t$RANDOM")" = 200 ] && [ "$(field X-Part-Stamps | tr ',' '\n' | wc -l)" = 2 ]; }
has_quarantine() { [ "$(metric "$1" relay_quarantined_contents)" = 1 ]; }
evacuated() { [ "$(metric "$1" evacuated_domains)" -gt "$EVACUATED" ]; }

for kind in config evacuations quarantine; do
  for ((i = 1; i < PAGE; i++)); do put $kind "$(printf 'A%02d' $i)" '{}'; done
  put $kind 'Az%26b%23c%20d' '{"version":9,"routes":[],"services":[]}'
done
put quarantine ffffffffffffffffffffffffffffffff \
  "{\"standing\":\"quarantined\",\"ended\":3,\"marks\":[1,2,3],\"occasions\":2,\"probations\":0,\"cleared\":0,\"at\":$(date +%s)}"
restart_relays 2
until_true 10 both serves || fail "odd entries of other kinds hide the configuration"
until_true 10 both has_quarantine || fail "odd entries hide a quarantine"
EVACUATED=$(metric 1 evacuated_domains)
put evacuations zz-far '{}'
until_true 5 both evacuated || fail "an evacuation beside odd entries isn't followed"
configure 2 '"a","b"'
until_true 5 both has_two_shards || fail "a configuration beside odd entries isn't followed"
EVACUATED=$((EVACUATED - 1))
restart_relays 2
until_true 10 both has_two_shards || fail "the relays don't start beside odd entries"
until_true 5 both evacuated || fail "an evacuation beside odd entries is lost at a start"
grep -q '"event":"E1207".*configurations/A' "$LOGS/r1.log" "$LOGS/r2.log" || fail "no log line about odd configurations"
say "odd kinds: ok"
