#!/usr/bin/env bash
# The relay on the users' platform, with separate processes: responses that callers get for
# merged searches, with faulty searchers, and to malformed requests.
set -u
BUILD=$1
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
start_platform 2

# ask_own PREFIX COUNT: sends requests and checks that each response belongs to its request.
ask_own() {
  local i
  for i in $(seq 1 "$2"); do
    [ "$(ask 1 /one/q "$1$i")" = 200 ] || fail "answer $1$i: $(cat "$LOGS/head")"
    field X-Server-Stamp | grep -q "\.$1$i$" || fail "$1$i: the response to another request"
    grep -q "not yours" "$LOGS/body" && fail "$1$i: the body of another response"
  done
  return 0
}

# ask_second PREFIX COUNT: sends requests and checks that searcher 2 serves each of them.
ask_second() {
  local i
  for i in $(seq 1 "$2"); do
    [ "$(ask 1 /one/q "$1$i")" = 200 ] || fail "answer $1$i: $(cat "$LOGS/head")"
    field X-Server-Stamp | grep -q "^i-2\.$1$i$" || fail "$1$i: a response of the faulty searcher"
  done
}

# A merged response lists one signature for each shard and has the greatest records.
[ "$(ask 1 /all/q r1)" = 200 ] || fail "merged response: $(cat "$LOGS/head")"
[ "$(field X-Missing-Parts)" = 0 ] || fail "parts are missing: $(cat "$LOGS/head")"
[ "$(field X-Part-Stamps | tr ',' '\n' | grep -c '\.r1$')" = 3 ] || fail "signatures: $(cat "$LOGS/head")"
[ "$(stat -c %s "$LOGS/body")" = 64 ] || fail "four records of 16 bytes expected"
[ "$(head -c 2 "$LOGS/body")" = 07 ] || fail "the greatest record is not first"

# A response of one searcher is forwarded unchanged, and the request runs once.
[ "$(ask 1 /one/q r2)" = 200 ] || fail "single response"
field X-Server-Stamp | grep -q '^i-[12]\.r2$' || fail "signature of a single response"
[ "$(runs r2)" = 1 ] || fail "a plain request ran $(runs r2) times"

# A shard whose only searcher does not respond is reported as missing.
mode "$(searcher_at 3)" silent
[ "$(ask 1 /all/q r3)" = 200 ] || fail "response without a shard"
[ "$(field X-Missing-Parts)" = 1 ] || fail "the missing shard is not reported"
mode "$(searcher_at 3)" ok

# Both searchers of a service shed: the order does not run, and the response says so.
mode "$(searcher_at 1)" shed
mode "$(searcher_at 2)" shed
[ "$(ask 1 /order/q r4 -X POST -d x)" = 503 ] || fail "shed order: $(cat "$LOGS/head")"
[ -n "$(field Retry-After)" ] || fail "a refusal without Retry-After"
[ "$(runs r4)" = 0 ] || fail "a refused order ran"

# The order runs and its connection closes: the outcome is unknown, and it is not resent.
mode "$(searcher_at 1)" reset
mode "$(searcher_at 2)" reset
[ "$(ask 1 /order/q r5 -X POST -d x)" = 502 ] || fail "broken order: $(cat "$LOGS/head")"
[ "$(runs r5)" = 1 ] || fail "an order ran $(runs r5) times"

# A truncated response is not forwarded; the request is sent to another searcher.
mode "$(searcher_at 1)" cut
mode "$(searcher_at 2)" ok
ask_second c 6
mode "$(searcher_at 1)" ok

# A second response after the first one is not used for another request.
mode "$(searcher_at 1)" extra
mode "$(searcher_at 2)" extra
ask_own e 20
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# A second response to the previous request arrives before the next response: it is skipped,
# and the connection stays in use.
mode "$(searcher_at 1)" late
mode "$(searcher_at 2)" late
ask_own l 20
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# The searcher runs the order and responds 503 without X-Not-Executed.  The caller must not
# get 503, as this would mean that the order may be resent.
mode "$(searcher_at 1)" busy
mode "$(searcher_at 2)" busy
[ "$(ask 1 /order/q b1 -X POST -d x)" = 502 ] || fail "an order that ran was reported as not run: $(cat "$LOGS/head")"
[ -z "$(field X-Server-Stamp)" ] || fail "the relay's 502 has the signature of a searcher"
[ "$(runs b1)" = 1 ] || fail "an order ran $(runs b1) times"
mode "$(searcher_at 1)" ok
mode "$(searcher_at 2)" ok

# A response of one searcher exceeds the size limit, or does not complete: the caller gets
# that of another searcher in time, and the relay does not buffer the bad response.
for bad in huge drip; do
  mode "$(searcher_at 1)" $bad
  ask_second $bad 6
done
mode "$(searcher_at 1)" ok
peak_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/${PIDS[r1]}/status")
[ "$peak_kb" -lt "${MR_RSS_LIMIT_KB:-16000}" ] || fail "the relay used $peak_kb kB"

# Another process has the address of a target: the request does not run there, and the
# target gets no more requests.
register 1 i-9 a ready
unregister i-1
target_removed() { grep -q '"event":"E1403".*i-1 .*no longer listed' "$LOGS/r2.log"; }
until_true 5 target_removed || fail "the relay does not learn that a target was removed"
for i in $(seq 1 6); do
  [ "$(ask 2 /one/q "m$i")" = 200 ] || fail "address of another process: $(cat "$LOGS/head")"
  field X-Server-Stamp | grep -q '^i-2' || fail "a request ran at the wrong target"
done
unregister i-9
register 1 i-1 a ready

# Malformed requests get the right status, and no part of them reaches a searcher.
send_raw() { # BYTES: prints the status of the first response
  exec 9<>"/dev/tcp/127.0.0.1/$(relay_port 1 0)" || return
  printf '%b' "$1" >&9
  timeout 3 head -n 1 <&9 | cut -d' ' -f2
  exec 9>&-
}
id='X-Request-Id: bad1\r\nX-Deadline-Ms: 1000\r\n'
[ "$(send_raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")" = 400 ] || fail "both Content-Length and Transfer-Encoding"
[ "$(send_raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")" = 400 ] || fail "two lengths"
[ "$(send_raw "GET /one/ HTTP/1.1\nHost: h.test\n${id}\n")" = 400 ] || fail "bare line feeds"
[ "$(send_raw "GET /one/ HTTP/1.1\r\nHost: h.test\r\n${id}X: $(head -c 5000 /dev/zero | tr '\0' a)\r\n\r\n")" = 431 ] || fail "large header"
[ "$(send_raw "POST /one/ HTTP/1.1\r\nHost: h.test\r\n${id}Content-Length: 2000\r\n\r\n")" = 413 ] || fail "large body"
[ "$(send_raw "GET /one/ HTTP/1.1\r\nHost: h.test\r\n")" = 408 ] || fail "slow header"
[ "$(send_raw "GET /none/ HTTP/1.1\r\nHost: h.test\r\n${id}\r\n")" = 404 ] || fail "unknown route"
[ "$(runs bad1)" = 0 ] || fail "a malformed request ran"

# The log has the cause of each failed request by its id.
until_true 5 grep -q '"request":"r4".*"cause":"attempts"' "$LOGS/r1.log" || fail "no log line about the refusal"
grep '"request":"r5"' "$LOGS/r1.log" | grep -q '"event":"E1703".*"end":"broken"' || fail "no log line about the order with unknown outcome"
grep '"request":"r3"' "$LOGS/r1.log" | grep -q '"event":"E1701".*"missing":1' || fail "no log line about the partial response"
say "relay: ok"
