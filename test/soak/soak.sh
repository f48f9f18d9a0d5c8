#!/usr/bin/env bash
# soak.sh BUILD SEEDS [FIRST]: the fault soak with as many seeds, four at a time,
# each with ports of its own.  Seeds that failed keep their logs.  Without FIRST
# the seeds are drawn from the clock.
set -u
BUILD=$1
COUNT=$2
FIRST=${3:-$(date +%s)}
SECONDS_OF_FAULTS=${SOAK_SECONDS:-25}
OUT=$(mktemp -d)

one() { # SEED SLOT
  local log=$OUT/seed-$1.txt
  if "$BUILD/test/soak" "$BUILD" "$1" "$SECONDS_OF_FAULTS" $((21000 + 1000 * $2)) >"$log" 2>&1; then
    rm -rf "$(sed -n 's/.*logs in //p' "$log")"
  fi
  tail -n 1 "$log"
  grep BROKEN "$log"
}

for ((i = 0; i < COUNT; i += 4)); do
  for ((j = 0; j < 4 && i + j < COUNT; j++)); do one $((FIRST + i + j)) $j & done
  wait
done | tee "$OUT/all.txt"
broken=$(grep -c "BROKEN" "$OUT/all.txt")
printf '%d seeds from %d, %d promises broken; output in %s\n' "$COUNT" "$FIRST" "$broken" "$OUT"
[ "$broken" = 0 ]
