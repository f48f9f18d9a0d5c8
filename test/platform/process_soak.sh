#!/usr/bin/env bash
# A short fault soak with a fixed seed.  Then searchers reset connections after running a
# request, with the "not run" safeguard off: the soak must detect that an order runs at
# a second searcher as well, or is refused although it ran.  Then planned stops with the "stop
# answers" safeguard off: the soak must detect requests that were read and have no answer.
set -u
BUILD=$1
LOG=$(mktemp)
trap 'rm -f "$LOG"' EXIT
"$BUILD/test/soak" "$BUILD" 7 10 26000 >"$LOG" 2>&1 || {
  cat "$LOG"
  exit 1
}
tail -n 1 "$LOG"
rm -rf "$(sed -n 's/.*logs in //p' "$LOG")"
SOAK_RELAY=test/merlinring-relay_unsafe MERLINRING_GUARDS_OFF=20 SOAK_ONLY=reset \
  "$BUILD/test/soak" "$BUILD" 7 5 26000 >"$LOG" 2>&1 && {
  echo "FAILED: the soak does not detect orders that run twice"
  exit 1
}
grep -q "VIOLATION once: \|VIOLATION not run: " "$LOG" || {
  cat "$LOG"
  exit 1
}
rm -rf "$(sed -n 's/.*logs in //p' "$LOG")"
SOAK_RELAY=test/merlinring-relay_unsafe MERLINRING_GUARDS_OFF=4000000 \
  "$BUILD/test/soak" "$BUILD" 7 5 26000 >"$LOG" 2>&1 && {
  echo "FAILED: the soak does not detect requests that a planned stop cuts off"
  exit 1
}
grep -q "VIOLATION stopped: request .* it had been read" "$LOG" || {
  cat "$LOG"
  exit 1
}
rm -rf "$(sed -n 's/.*logs in //p' "$LOG")"
echo "soak: ok"
