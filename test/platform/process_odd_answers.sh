#!/usr/bin/env bash
# Responses of searchers that are not valid HTTP, or are not signed.
#
# Guards against a response that reaches the caller although its status line, its fields, its
# framing or its signature are invalid.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

# The names in the table of the stand-in.
mapfile -t odd < <(sed -n '/^static const OddResponse/,/^};/s/^  { "\([a-z0-9-]*\)".*/\1/p' "$(dirname "$0")/standin.c")
[ "${#odd[@]}" -ge 20 ] || fail "found ${#odd[@]} odd responses"
refused_total() { metric 1 relay_malformed_answers_total; }

failed=
for name in "${odd[@]}"; do
  before=$(refused_total)
  mode "$(searcher_at 1)" "odd-$name"
  mode "$(searcher_at 2)" "odd-$name"
  for request in "/one/q -X GET" "/order/q -X POST -d x"; do # path and arguments
    # shellcheck disable=SC2086
    status=$(ask 1 ${request%% *} "$name${request:1:3}" ${request#* })
    case $status in
    502 | 504) ;;
    503) [ "$(runs "$name${request:1:3}")" = 0 ] || failed+=" $name:ran-and-503" ;;
    *) failed+=" $name:$status" ;;
    esac
    ! grep -aqi odd "$RESPONSE/head" "$RESPONSE/body" || failed+=" $name:passed-on"
  done
  [ "$(refused_total)" -gt "${before:-0}" ] || failed+=" $name:not-counted"
  # A search whose other shards are sound states that a part is missing.
  status=$(ask 1 /all/q "all-$name-$RANDOM")
  [ "$status" = 200 ] && [ "$(field X-Missing-Parts)" = 1 ] || failed+=" $name:search-$status"
done
[ -z "$failed" ] || fail "odd answers were not refused:$failed"
grep -q '"event":"E1415".*i-1' "$LOGS/r1.log" || fail "no log line names the searcher"

# The answer of the other searcher reaches the caller.
mode "$(searcher_at 2)" ok
for name in "${odd[@]}"; do
  mode "$(searcher_at 1)" "odd-$name"
  [ "$(ask 2 /one/q "b$RANDOM")" = 200 ] || fail "$name: no answer although one searcher is sound"
done
say "odd answers: ok"
