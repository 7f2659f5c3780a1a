#!/usr/bin/env bash
# Runs a deployment on loopback: a stand-in platform, 3 gateways, 2 directors, and
# stand-ins for 5 endpoints of examples/opa.ini: 4 engines in 2 failure domains and
# 1 plain service.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=.venv/bin
DIR=.demo
NET=127.0.10
PLATFORM=http://$NET.1:7000
export CHUTELINK_SETTINGS=$DIR/operator.ini
DAEMON_PIDS=()
STANDIN_PIDS=()

daemon_settings() { # <id> <vm-number> <failure-domain> <port>
  cat <<EOF
[daemon]
id = $1
vm = vm-entry-$2
failure_domain = $3
address = $NET.$((10 + $2))
port = $4
peer_port = $(($4 + 1))
peer_key = demo-peer-key
trace_url = $PLATFORM/v1/traces

[platform]
url = $PLATFORM
key = platform-key

[peers]
seeds = $NET.11:7101, $NET.12:7101

[endpoints]
order_key = order-key
EOF
}

write_settings() {
  mkdir -p "$DIR"
  local domains=(ikeja yaba lekki)
  for n in 1 2 3; do
    daemon_settings "gateway-$n" "$n" "${domains[$((n - 1))]}" 7100 \
      > "$DIR/gateway-$n.ini"
  done
  for n in 1 2; do
    daemon_settings "director-$n" "$n" "${domains[$((n - 1))]}" 7200 \
      > "$DIR/director-$n.ini"
    # To keep the demo short, both the stand-in weight store (--loads-per-s) and the
    # directors allow 20 loads per second; the directors' default is 2.
    printf '\n[director]\nloads_per_s = 20\nloads_at_once = 40\n' \
      >> "$DIR/director-$n.ini"
  done
  printf '[platform]\nurl = %s\nkey = platform-key\n' "$PLATFORM" \
    > "$DIR/operator.ini"
}

start() { # <log-name> <command>...
  local name=$1
  shift
  nohup "$@" > "$DIR/$name.log" 2>&1 &
  echo "$!" >> "$DIR/pids"
}

start_daemon() {
  start "$@"
  DAEMON_PIDS+=("$!")
}

start_standin() {
  start "$@"
  STANDIN_PIDS+=("$!")
}

up() {
  write_settings
  : > "$DIR/pids"
  start_standin platform $BIN/chutelink-standin-platform \
    --address $NET.1 --port 7000 --load-s 0.3 --loads-per-s 20
  for n in 1 2 3 4; do
    start_standin "review-$n" $BIN/chutelink-standin-endpoint \
      --address $NET.$((20 + n)) --port 8000 --accelerators 4 --memory-mb 80000 \
      --slots 32 --weights-url $PLATFORM
  done
  start_standin permit-1 $BIN/chutelink-standin-service \
    --address $NET.41 --port 8000
  $BIN/python demo/client.py wait-platform
  for n in 1 2 3; do
    start_daemon "gateway-$n" $BIN/chutelink-gateway --settings "$DIR/gateway-$n.ini"
  done
  for n in 1 2; do
    start_daemon "director-$n" $BIN/chutelink-director \
      --settings "$DIR/director-$n.ini"
  done
  $BIN/python demo/client.py wait-daemons
  $BIN/chutelink apply examples/opa.ini --base 0 --wait
  $BIN/python demo/client.py wait-model load-notes
}

addresses() {
  echo "gateways:  http://$NET.11:7100 http://$NET.12:7100 http://$NET.13:7100"
  echo "directors: http://$NET.11:7200 http://$NET.12:7200"
  echo "platform:  $PLATFORM"
  echo "settings for the operators' tool: CHUTELINK_SETTINGS=$DIR/operator.ini"
}

down() {
  [ -f "$DIR/pids" ] || { echo "not running"; return 0; }
  # Stop in reverse order of start, so that the stand-ins outlive the draining daemons.
  for pid in $(tac "$DIR/pids"); do
    kill -TERM "$pid" 2> /dev/null || continue
    for _ in $(seq 200); do
      kill -0 "$pid" 2> /dev/null || break
      sleep 0.1
    done
  done
  rm -f "$DIR/pids"
}

run() {
  trap down EXIT
  up
  $BIN/python demo/client.py requests
  $BIN/chutelink status | sed -n '1,9p'
  kill -TERM "${DAEMON_PIDS[@]}"
  local failed=0
  for pid in "${DAEMON_PIDS[@]}"; do wait "$pid" || failed=1; done
  kill -TERM "${STANDIN_PIDS[@]}"
  for pid in "${STANDIN_PIDS[@]}"; do wait "$pid" || failed=1; done
  trap - EXIT
  rm -f "$DIR/pids"
  [ "$failed" = 0 ] && echo "all stopped gracefully"
  return $failed
}

case "${1:-run}" in
  up) up && addresses ;;
  down) down ;;
  run) run ;;
  *) echo "usage: demo.sh up|down|run" >&2; exit 2 ;;
esac
