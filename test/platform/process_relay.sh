#!/usr/bin/env bash
# The relay on the users' platform, as separate processes, without their bench:
# what a caller sees of merged answers, broken searchers, hostile requests.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

# ask_own PREFIX COUNT: each answer belongs to its request.
ask_own() {
  local i
  for i in $(seq 1 "$2"); do
    [ "$(ask 1 /one/q "$1$i")" = 200 ] || fail "answer $1$i: $(cat "$LOGS/head")"
    field X-Server-Stamp | grep -q "\.$1$i$" || fail "$1$i: the answer to another request"
    grep -q "not yours" "$LOGS/body" && fail "$1$i: the body of another answer"
  done
  return 0
}

# ask_second PREFIX COUNT: each answer is the second searcher's.
ask_second() {
  local i
  for i in $(seq 1 "$2"); do
    [ "$(ask 1 /one/q "$1$i")" = 200 ] || fail "answer $1$i: $(cat "$LOGS/head")"
    field X-Server-Stamp | grep -q "^i-2\.$1$i$" || fail "$1$i: an answer of the broken searcher"
  done
}

# A merged answer names one signature a shard and holds the greatest records.
[ "$(ask 1 /all/q r1)" = 200 ] || fail "merged answer: $(cat "$LOGS/head")"
[ "$(field X-Missing-Parts)" = 0 ] || fail "parts are missing: $(cat "$LOGS/head")"
[ "$(field X-Part-Stamps | tr ',' '\n' | grep -c '\.r1$')" = 3 ] || fail "signatures: $(cat "$LOGS/head")"
[ "$(stat -c %s "$LOGS/body")" = 64 ] || fail "four records of 16 bytes expected"
[ "$(head -c 2 "$LOGS/body")" = 07 ] || fail "the greatest record does not come first"

# One searcher's answer goes through as it is, and runs once.
[ "$(ask 1 /one/q r2)" = 200 ] || fail "single answer"
field X-Server-Stamp | grep -q '^i-[12]\.r2$' || fail "signature of a single answer"
[ "$(runs r2)" = 1 ] || fail "a plain request ran $(runs r2) times"

# A shard without its only searcher is said to be missing.
mode "$(searcher_at 3)" silent
[ "$(ask 1 /all/q r3)" = 200 ] || fail "answer without a shard"
[ "$(field X-Missing-Parts)" = 1 ] || fail "the missing shard is not stated"
mode "$(searcher_at 3)" ok

# Both searchers of a service shed: the order has not run, and the answer says so.
mode "$(searcher_at 1)" shed
mode "$(searcher_at 2)" shed
[ "$(ask 1 /order/q r4 -X POST -d x)" = 503 ] || fail "shed order: $(cat "$LOGS/head")"
[ -n "$(field Retry-After)" ] || fail "a refusal without Retry-After"
[ "$(runs r4)" = 0 ] || fail "a refused order ran"

# The order runs and its connection is reset: nobody knows, and it is not sent again.
mode "$(searcher_at 1)" reset
mode "$(searcher_at 2)" reset
[ "$(ask 1 /order/q r5 -X POST -d x)" = 502 ] || fail "broken order: $(cat "$LOGS/head")"
[ "$(runs r5)" = 1 ] || fail "an order ran $(runs r5) times"

# An answer that is cut short is not passed on; the request is asked elsewhere.
mode "$(searcher_at 1)" cut
mode "$(searcher_at 2)" ok
ask_second c 6
mode "$(searcher_at 1)" ok

# A second answer behind the first belongs to nobody.
mode "$(searcher_at 1)" extra
mode "$(searcher_at 2)" extra
ask_own e 20
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# A second answer to the request before comes late, where the next one is due: it
# is passed over, and the connection stays in use.
mode "$(searcher_at 1)" late
mode "$(searcher_at 2)" late
ask_own l 20
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# The searcher has run the order and answers 503 without a word of not having run
# it.  To the caller 503 would say that it may be sent again.
mode "$(searcher_at 1)" busy
mode "$(searcher_at 2)" busy
[ "$(ask 1 /order/q b1 -X POST -d x)" = 502 ] || fail "an order that ran was called not run: $(cat "$LOGS/head")"
[ -z "$(field X-Server-Stamp)" ] || fail "our 502 bears a searcher's signature"
[ "$(runs b1)" = 1 ] || fail "an order ran $(runs b1) times"
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# A searcher whose answer is larger than any may be, and one whose answer never
# ends: the caller gets another's in time, and the relay keeps neither.
for bad in huge drip; do
  mode "$(searcher_at 1)" $bad
  ask_second $bad 6
done
mode "$(searcher_at 1)" ok
held=$(awk '/^VmHWM/ { print $2 }' "/proc/${PIDS[r1]}/status")
[ "$held" -lt "${MR_RSS_LIMIT_KB:-16000}" ] || fail "the relay held $held kB"

# Another process has the address: the request does not run there, and the
# target is not asked again.
announce 1 i-9 a ready
withdraw i-1
gone() { grep -q '"event":"E1403".*i-1 .*no longer listed' "$LOGS/r2.log"; }
until_true 5 gone || fail "the relay does not learn that a target has gone"
for i in $(seq 1 6); do
  [ "$(ask 2 /one/q "m$i")" = 200 ] || fail "address of another: $(cat "$LOGS/head")"
  field X-Server-Stamp | grep -q '^i-2' || fail "a request ran at the wrong target"
done
withdraw i-9
announce 1 i-1 a ready

# Hostile requests get a clear status, and nothing of them reaches a searcher.
raw() { # BYTES: status of the first answer
  exec 9<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)" || return
  printf '%b' "$1" >&9
  timeout 3 head -n 1 <&9 | cut -d' ' -f2
  exec 9>&-
}
id='X-Request-Id: bad1\r\nX-Deadline-Ms: 1000\r\n'
[ "$(raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")" = 400 ] || fail "both framings"
[ "$(raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")" = 400 ] || fail "two lengths"
[ "$(raw "GET /one/ HTTP/1.1\nHost: h.test\n${id}\n")" = 400 ] || fail "bare line feeds"
[ "$(raw "GET /one/ HTTP/1.1\r\nHost: h.test\r\n${id}X: $(head -c 5000 /dev/zero | tr '\0' a)\r\n\r\n")" = 431 ] || fail "large head"
[ "$(raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 2000\r\n\r\n")" = 413 ] || fail "large body"
[ "$(raw "GET /one/ HTTP/1.1\r\nHost: h.test\r\n")" = 408 ] || fail "slow head"
[ "$(raw "GET /none/ HTTP/1.1\r\nHost: h.test\r\n${id}\r\n")" = 404 ] || fail "unknown route"
[ "$(runs bad1)" = 0 ] || fail "a hostile request ran"

# The log leads from a request's id to its cause.
until_true 5 grep -q '"request":"r4".*"cause":"attempts"' "$LOGS/r1.log" || fail "no log line of the refusal"
grep '"request":"r5"' "$LOGS/r1.log" | grep -q '"event":"E1703".*"end":"broken"' || fail "no log line of the broken order"
grep '"request":"r3"' "$LOGS/r1.log" | grep -q '"event":"E1701".*"missing":1' || fail "no log line of the partial answer"
say "relay: ok"
