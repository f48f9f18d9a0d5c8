#!/usr/bin/env bash
# soak.sh BUILD COUNT [FIRST]: runs the fault soak with COUNT consecutive seeds, four at a
# time, each on its own ports.  Logs of failed seeds are kept.  Without FIRST the first
# seed is the current time.
set -u
BUILD=$1
COUNT=$2
FIRST=${3:-$(date +%s)}
FAULT_SECONDS=${SOAK_SECONDS:-25}
OUT=$(mktemp -d)

run_seed() { # SEED SLOT
  local log=$OUT/seed-$1.txt
  if "$BUILD/test/soak" "$BUILD" "$1" "$FAULT_SECONDS" $((21000 + 1000 * $2)) >"$log" 2>&1; then
    rm -rf "$(sed -n 's/.*logs in //p' "$log")"
  fi
  tail -n 1 "$log"
  grep VIOLATION "$log"
}

for ((i = 0; i < COUNT; i += 4)); do
  for ((j = 0; j < 4 && i + j < COUNT; j++)); do run_seed $((FIRST + i + j)) $j & done
  wait
done | tee "$OUT/all.txt"
violations=$(grep -c "VIOLATION" "$OUT/all.txt")
printf '%d seeds from %d, %d violations; output in %s\n' "$COUNT" "$FIRST" "$violations" "$OUT"
[ "$violations" = 0 ]
