# Helpers for all scripts that run processes on loopback.
# Requires LOGS, a directory, and LOG_GLOB, the logs in it that fail prints.

declare -A PIDS

say() { printf '%s\n' "$*"; }

fail() {
  printf 'FAILED: %s\n' "$*" >&2
  # shellcheck disable=SC2086
  tail -n 5 "$LOGS"/$LOG_GLOB >&2
  [ ! -s "$LOGS/stall" ] || printf 'this script was stalled for up to %s ms\n' "$(cat "$LOGS/stall")" >&2
  exit 1
}

# Writes to LOGS/stall the longest time in ms for which a process of this script was not
# scheduled.  The daemons may have been stalled as well.
watch_stalls() {
  local at now delay longest=0
  while :; do
    at=${EPOCHREALTIME/[.,]/}
    sleep 0.1
    now=${EPOCHREALTIME/[.,]/}
    delay=$(((now - at) / 1000 - 100))
    [ "$delay" -le "$longest" ] && continue
    longest=$delay
    printf '%d' "$longest" >"$LOGS/stall"
  done
}

# start NAME COMMAND...: runs COMMAND in the background, with its log in LOGS.
start() {
  local name=$1
  shift
  "$@" >"$LOGS/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME SIGNAL: sends SIGNAL, waits for the process and returns its exit code.
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

# until_true SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after SECONDS.
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

http() { curl -sS --max-time 5 "$@"; }
