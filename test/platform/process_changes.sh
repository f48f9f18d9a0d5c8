#!/usr/bin/env bash
# Guards against requests that are cut off or lost by a change of the configuration, or of the list
# of searchers, while they are read, queued or run.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/calls.sh"
trap stop_all EXIT
start_platform 2
configure_long_routes 2
applied() { grep -q "configuration $1 is in force" "$LOGS/r1.log"; } # VERSION
until_true 5 applied 2 || fail "configuration 2 is not in force"

# call NAME PATH [CURL ARGUMENTS]: sends a request and writes the status to LOGS/NAME.
call() {
  local name=$1 path=$2
  shift 2
  mkdir -p "$LOGS/$name.d"
  RESPONSE=$LOGS/$name.d ask 1 "$path" "$name" -H 'X-Deadline-Ms: 5000' "$@" >"$LOGS/$name"
}

begin_calls() { # PREFIX
  local i
  calls=()
  for i in 1 2 3 4; do
    call "$1one$i" /one/work-1500 &
    calls+=($!)
    call "$1order$i" /order/work-1500 -X POST -d x &
    calls+=($!)
    call "$1all$i" /all/work-1500 &
    calls+=($!)
  done
  sleep 0.4
}

end_calls() { # PREFIX WHAT
  local i kind name
  wait "${calls[@]}"
  for i in 1 2 3 4; do
    for kind in one order all; do
      name=$1$kind$i
      [ "$(cat "$LOGS/$name")" = 200 ] || fail "$2: request '$name' got $(cat "$LOGS/$name")"
    done
    [ "$(runs "$1order$i")" = 1 ] || fail "$2: order '$1order$i' ran $(runs "$1order$i") times"
  done
}

# Searchers are removed from the list while they work.
begin_calls removed
for i in 1 2 3; do unregister "${IDS[$i]}"; done
end_calls removed "searchers removed"
grep -q '"event":"E1403".*i-1 .*no longer listed' "$LOGS/r1.log" || fail "searcher 1 was not removed"
for i in 1 2 3; do register $i "${IDS[$i]}" "${SERVICES[$i]}" ready; done
until_true 10 search_complete 1 || fail "the searchers are not in use again"

# Routes are removed, moved to another service, and get a shorter time limit and other shards.
begin_calls routes
exec 8<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)"
printf 'POST /order/body HTTP/1.1\r\nHost: h.test\r\nX-Request-Id: body\r\nX-Deadline-Ms: 5000\r\nContent-Length: 900\r\n\r\n' >&8
sleep 0.1
short=$(long_route all safe '"gather":["c"],"top_k":4,"min_shard_share":0.5')
MAX_BODY=10 IDLE_MS=100 configure_routes 3 "${short/5000/100},$(long_route one safe '"service":"b"')"
until_true 5 applied 3 || fail "configuration 3 is not in force"
head -c 900 /dev/zero | tr '\0' x >&8
# Its route is looked up when all of it was read.
status=$(timeout 5 head -n 1 <&8 | cut -d' ' -f2)
exec 8>&-
[ "$status" = 404 ] || fail "a request that was being read when the limit of its body changed got '$status'"
end_calls routes "routes changed"

# Changes at random moments, under load.
configure_long_routes 4
run_callers 7 200 1 2
for version in 5 6 7 8 9 10; do
  sleep 1
  if [ $((version % 2)) = 1 ]; then
    configure_routes $version "$(long_route all safe '"gather":["c"],"top_k":4,"min_shard_share":0.5')"
    unregister "${IDS[1]}"
  else
    register 1 "${IDS[1]}" a ready
    configure_long_routes $version
  fi
done
wait "$CALLERS" || fail "the callers ended with $?"
check_calls
say "changes: ok"
