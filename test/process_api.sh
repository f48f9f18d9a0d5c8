#!/usr/bin/env bash
# The interfaces behave as documented, and invalid input does not affect other callers.
#
# 1. Every example of docs/CALLER-API.md, TARGET-PROTOCOL.md and PLATFORM-API.md
#    is run unchanged.
# 2. Malformed, huge and slow input at each port is rejected; other callers keep getting
#    complete responses.
set -u
BUILD=$1
ROOT=$(cd "$(dirname "$0")/.." && pwd)
. "$ROOT/demo/lib.sh"
trap stop_all EXIT
start_system
export ENTRY=127.0.0.1:$((HTTP_BASE + 1)) PLATFORM TARGET=127.0.0.1:$SHOP_PORT

for page in CALLER-API TARGET-PROTOCOL PLATFORM-API; do
  awk '/^```sh$/ {on = 1; next} /^```$/ {on = 0} on' "$ROOT/docs/$page.md" >"$LOGS/examples.sh"
  [ -s "$LOGS/examples.sh" ] || fail "$page has no examples"
  bash -eu -o pipefail "$LOGS/examples.sh" >"$LOGS/examples.txt" 2>&1 ||
    fail "an example of $page fails: $(tail -n 2 "$LOGS/examples.txt")"
done

check_callers() { search_complete 1 shop-search ripe || fail "other callers are affected by $1"; }

# METHOD|PATH|BODY|text that the response must contain
while IFS='|' read -r method path body expected; do
  response=$(http -X "$method" ${body:+--data-binary "$body"} "http://$ENTRY$path")
  expect "$response" "$expected" "$method $path"
  check_callers "$method $path"
done <<'CASES'
GET|/nowhere||"result":405
GET|/v1/services/shop-search||"result":405
GET|/v1/services/shop-search/dance||"result":405
POST|/v1/services/shop-search/search?q=a|x|"result":406
GET|/v1/services/none/search?q=a||"result":401
GET|/v1/services/shop-search/search||argument 'q'
GET|/v1/services/shop-search/search?q=||argument 'q'
GET|/v1/services/shop-search/search?q=a&deadline_ms=0||argument 'deadline_ms'
GET|/v1/services/shop-search/search?q=a&deadline_ms=x||argument 'deadline_ms'
GET|/v1/services/shop-search/search?q=a&deadline_ms=99999999999999999999||argument 'deadline_ms'
GET|/v1/services/shop-search/search?q=a&class=best||argument 'class'
GET|/v1/services/shop-search/search?q=a&k=101||argument 'k'
GET|/v1/services/shop-search/search?q=%ff||argument 'q'
GET|/v1/services/farmer-portal/tickets||"result":406
POST|/v1/services/farmer-portal/tickets|x|"result":401
POST|/v1/services/shop-search/orders?ticket=rubbish|x|"result":403
POST|/v1/services/shop-search/orders?ticket=d1.1.1.1.1|x|"result":403
GET|/v1/addresses?count=17||argument 'count'
CASES

head -c 70000 /dev/zero | tr '\0' x >"$LOGS/large"
expect "$(http -X POST --data-binary "@$LOGS/large" "http://$ENTRY/v1/services/shop-search/orders?ticket=x")" \
  '"result":407' "a body over 64 KiB"
check_callers "a large body"
http -H "X-Large: $(head -c 20000 "$LOGS/large")" "http://$ENTRY/v1/status" >/dev/null 2>&1
check_callers "huge headers"

send_bytes() { # PORT BYTES: does not wait for a response
  exec 9<>"/dev/tcp/127.0.0.1/$1" && printf "%b" "$2" >&9 2>/dev/null
  exec 9>&-
}
for port in $((HTTP_BASE + 1)) $((PEER_BASE + 1)) "${PLATFORM#*:}" $SHOP_PORT; do
  send_bytes "$port" 'GARBAGE \x01\x02\xff\r\n\r\n'
  send_bytes "$port" 'GET / HTTP/9.9\r\nContent-Length: -5\r\n\r\n'
  send_bytes "$port" 'POST /v1/services/shop-search/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n'
  send_bytes "$port" '\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f'
  check_callers "garbage at port $port"
done

# A hundred connections with incomplete requests.
for i in $(seq 100); do
  exec {fd}<>"/dev/tcp/127.0.0.1/$((HTTP_BASE + 1))"
  printf 'POST /v1/services/shop-search/orders?ticket=x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nslow' >&"$fd"
done
check_callers "slow senders"
rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[d1]}/status")
limit=${MR_RSS_LIMIT_KB:-131072}
[ "$rss_kb" -lt "$limit" ] || fail "the daemon uses $rss_kb kB, more than $limit"

for arguments in "--name Bad_Name" "--http-port 0" "--platform nowhere" "--keep-ms ten" "--ip 1.2.3"; do
  # shellcheck disable=SC2086
  "$BUILD/merlinringd" --name d9 --ip 127.0.0.1 --domain a --platform $PLATFORM $arguments --check \
    >"$LOGS/check.txt" 2>&1 && fail "invalid settings $arguments pass the check"
  grep -q -e "${arguments%% *}" "$LOGS/check.txt" || fail "$arguments: the error does not name the flag"
done
MERLINRING_KEEP_MS=nonsense "$BUILD/merlinringd" --name d9 --ip 127.0.0.1 --domain a \
  --platform $PLATFORM --keep-ms 500 --check >/dev/null || fail "a flag should override the environment"
say "api: ok"
