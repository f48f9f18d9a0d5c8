# Helpers of all scripts that run processes on loopback.
# Needs: LOGS, a folder; LOG_GLOB, which of its logs a failure shows.

declare -A PIDS

say() { printf '%s\n' "$*"; }

fail() {
  printf 'FAILED: %s\n' "$*" >&2
  # shellcheck disable=SC2086
  tail -n 5 "$LOGS"/$LOG_GLOB >&2
  [ ! -s "$LOGS/stall" ] || printf 'this script stood still for up to %s ms\n' "$(cat "$LOGS/stall")" >&2
  exit 1
}

# Notes in LOGS/stall the longest time, in ms, that the machine gave a process of this script
# no time: its daemons may have stood still as well.
watch_stalls() {
  local at now late most=0
  while :; do
    at=${EPOCHREALTIME/[.,]/}
    sleep 0.1
    now=${EPOCHREALTIME/[.,]/}
    late=$(((now - at) / 1000 - 100))
    [ "$late" -le "$most" ] && continue
    most=$late
    printf '%d' "$most" >"$LOGS/stall"
  done
}

# start NAME COMMAND...: runs it in the background, its log in LOGS.
start() {
  local name=$1
  shift
  "$@" >"$LOGS/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME SIGNAL: and waits for its end; its exit code is returned.
stop() {
  kill "-$2" "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  local code=$?
  unset "PIDS[$1]"
  return $code
}

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$LOGS"
}

# until_true SECONDS COMMAND...: polls; fails after the time.
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

http() { curl -sS --max-time 5 "$@"; }
