# Starts a deployment of bench/deployments on loopback: stand-ins, entry
# instances and configuration. Sourced by run-demo and the other scripts.
#
#   deployment_start NAME OUT   DEPLOYMENT_* arrays hold what was started
#   deployment_stop             ends it all, by process id
#
# Settings: PORT_BASE (26000): 1000 ports from there are used. LOAD_LAG_MS
# (500): age of load reports. PLANNER (false): whether the role planner may
# change roles. DAEMON_FLAGS, ENGINE_FLAGS: further flags.
# For large deployments: DEPLOYMENT_DIR, ENGINE_PORT, PLAIN_PORT, LINK_STRIDE,
# START_PATIENCE (15): seconds that each step of the start may take.

BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-26000}
LOAD_LAG_MS=${LOAD_LAG_MS:-500}
ADDRESS=127.0.0.1
OPERATOR_KEY=demo-operator-key

LIST_URL=http://$ADDRESS:$((PORT_BASE + 10))
PLATFORM_CONTROL=$ADDRESS:$((PORT_BASE + 30))
ENGINE_CONTROL=$ADDRESS:$((PORT_BASE + 40))
PLAIN_CONTROL=$ADDRESS:$((PORT_BASE + 41))
DEPLOYMENT_DIR=${DEPLOYMENT_DIR:-bench/deployments}
START_PATIENCE=${START_PATIENCE:-15}
ENGINE_PORT=${ENGINE_PORT:-$((PORT_BASE + 600))}
PLAIN_PORT=${PLAIN_PORT:-$((PORT_BASE + 800))}
# Each zone's entry instances reach the targets at ports of their own, this far
# apart, so that zones can be cut off from each other.
LINK_STRIDE=${LINK_STRIDE:-50}

ENTRY_PIDS=()
STAND_IN_PIDS=()
ENTRIES=()
ADMINS=()

# Installs and builds what the programs need; quick when all is there.
deployment_build() {
  scripts/install-packages
  [ -f "$BUILD/build.ninja" ] ||
    cmake -S . -B "$BUILD" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$BUILD" -j "${JOBS:-$(nproc)}" --target \
    lynxgladed lynxglade-load fake_engines fake_plain fake_platform |
    tail -n 1
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "no $what after the time allowed" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Field of the service that runs model engines, or plain code.
service_field() { # kind jq-path
  jq -r --arg kind "$1" \
    ".services[] | select(.kind == \$kind) | $2" "$DEPLOYMENT_FILE"
}

# Zones in the order in which the stand-ins take them in turn, so that each
# zone has its number of targets.
zones_in_turn() { # kind
  jq -r --arg kind "$1" '
    .zones as $zones
    | (.services[] | select(.kind == $kind) | .targets_per_zone) as $n
    | [range(0; $n | max) as $turn | range(0; $zones | length)
       | select($n[.] > $turn) | $zones[.]] | join(",")' "$DEPLOYMENT_FILE"
}

targets_of() { # kind
  service_field "$1" '.targets_per_zone | add'
}

start_stand_in() { # log command...
  local log=$1
  shift
  : >"$OUT/$log.out"
  "$@" >>"$OUT/$log.out" 2>"$OUT/$log.log" &
  local pid=$!
  STAND_IN_PIDS+=("$pid")
  until grep -q '^ready' "$OUT/$log.out"; do
    kill -0 "$pid" 2>/dev/null || { cat "$OUT/$log.log" >&2; return 1; }
    sleep 0.05
  done
}

start_stand_ins() {
  local zones=${#ZONES[@]} bin=$BUILD/tests/fakes
  start_stand_in platform "$bin/fake_platform" \
    --kv-port "$PORT_BASE" --kv-ports "$zones" \
    --list-port $((PORT_BASE + 10)) --list-ports "$zones" \
    --link-stride "$LINK_STRIDE" --weights-port $((PORT_BASE + 20)) \
    --control-port $((PORT_BASE + 30))
  # shellcheck disable=SC2086
  start_stand_in engines "$bin/fake_engines" \
    --count "$(targets_of engine)" --first-port "$ENGINE_PORT" \
    --links "$zones" --link-stride "$LINK_STRIDE" \
    --control-port "${ENGINE_CONTROL##*:}" \
    --service "$(service_field engine .name)" \
    --zone "$(zones_in_turn engine)" \
    --model "$(service_field engine .model)" \
    --version "$(service_field engine .version)" \
    --fenced "$(service_field engine .fenced)" \
    --prefill-rate "$(service_field engine .prefill_tokens_per_s)" \
    --decode-rate "$(service_field engine .decode_tokens_per_s)" \
    --stream-rate "$(service_field engine .stream_tokens_per_s)" \
    --kv-rate "$(service_field engine .kv_tokens_per_s)" \
    --change-ms "$(service_field engine '.change_s * 1000 | floor')" \
    --load-lag-ms "$LOAD_LAG_MS" --idle-timeout-ms 8000 \
    --weights-url "http://$ADDRESS:$((PORT_BASE + 20))" ${ENGINE_FLAGS:-}
  start_stand_in plain "$bin/fake_plain" \
    --count "$(targets_of plain)" --first-port "$PLAIN_PORT" \
    --links "$zones" --link-stride "$LINK_STRIDE" \
    --control-port "${PLAIN_CONTROL##*:}" --id-prefix portal- \
    --service "$(service_field plain .name)" --zone "$(zones_in_turn plain)"
}

# Rows of the instance list for the entry instances.
entry_rows() {
  local i
  for i in "${!ENTRY_ZONES[@]}"; do
    jq -n --arg id "entry-$((i + 1))" --arg zone "${ENTRY_ZONES[$i]}" \
      --arg address "$ADDRESS" --argjson port $((PORT_BASE + 300 + i)) \
      --argjson peer $((PORT_BASE + 500 + i)) \
      '{id: $id, kind: "entry", zone: $zone, address: $address, port: $port,
        peer_port: $peer, state: "live"}'
  done
}

fill_instance_list() {
  {
    curl -sf "http://$ENGINE_CONTROL/instances" | jq -c '.instances[]'
    curl -sf "http://$PLAIN_CONTROL/instances" | jq -c '.instances[]'
    entry_rows
  } | jq -s '{instances: .}' |
    curl -sf -X PUT -H "Content-Type: application/json" -d @- \
      "$LIST_URL/v1/instances" >/dev/null
  # The list lags; it is filled before the first instance starts.
  wait_for 10 "filled instance list" list_is_filled
}

list_is_filled() {
  curl -sf "$LIST_URL/v1/instances" | jq -e '.instances | length > 0'
}

zone_index() { # zone
  local i
  for i in "${!ZONES[@]}"; do
    [ "${ZONES[$i]}" = "$1" ] && echo "$i" && return
  done
}

start_entry() { # index
  local i=$1 zone=${ENTRY_ZONES[$1]} z
  z=$(zone_index "$zone")
  # shellcheck disable=SC2086
  "$BUILD/src/main/lynxgladed" \
    --instance-id "entry-$((i + 1))" --region "$REGION" --zone "$zone" \
    --listen "$ADDRESS:$((PORT_BASE + 300 + i))" \
    --admin-listen "$ADDRESS:$((PORT_BASE + 400 + i))" \
    --peer-listen "$ADDRESS:$((PORT_BASE + 500 + i))" \
    --kv-url "http://$ADDRESS:$((PORT_BASE + z))" \
    --instance-list-url "http://$ADDRESS:$((PORT_BASE + 10 + z))" \
    --weight-store-url "http://$ADDRESS:$((PORT_BASE + 20))" \
    --bootstrap-operator-key "$OPERATOR_KEY" --log-level info \
    ${DAEMON_FLAGS:-} >"$OUT/entry-$((i + 1)).out" \
    2>"$OUT/entry-$((i + 1)).log" &
  ENTRY_PIDS[i]=$!
}

# The deployment's contracts and services as one statement of an operator.
statement() {
  jq '{note: ("deployment " + .name),
    changes: (
      [.services[] | {upsert_service: {
         name, engines: (.kind == "engine"),
         role_change_price: (.role_change_price // 1),
         planner_enabled: (.kind == "engine" and ($planner == "true"))}}]
      + (.services as $services | [.contracts[] | . as $contract
         | {upsert_contract: {
             id: $contract.id, default_deadline_ms: $contract.deadline_ms[1],
             intents: [$services[] | {service: .name, share: $contract.share,
               priority: $contract.priority}
               + (if .kind == "engine" then {model, version} else {} end)]}}])
    )}' --arg planner "${PLANNER:-false}" "$DEPLOYMENT_FILE"
}

operator_call() { # method path [body on standard input]
  curl -sS -X "$1" -H "Authorization: Bearer $OPERATOR_KEY" \
    -H "Content-Type: application/json" \
    "http://${ADMINS[0]}$2" "${@:3}"
}

configure() {
  local answer plan
  answer=$(statement | operator_call POST /v1/admin/plans -d @-)
  plan=$(jq -r '.id // empty' <<<"$answer")
  if [ -z "$plan" ]; then
    echo "the configuration was not taken: $answer" >&2
    return 1
  fi
  answer=$(operator_call POST "/v1/admin/plans/$plan/confirm" -d '')
  jq -e .revision <<<"$answer" >/dev/null ||
    { echo "the plan was not confirmed: $answer" >&2; return 1; }
}

ready() { curl -sf "http://$1/readyz"; }

deployment_read() { # name
  DEPLOYMENT_FILE=$DEPLOYMENT_DIR/$1.json
  [ -f "$DEPLOYMENT_FILE" ] || { echo "no deployment $1" >&2; return 2; }
  REGION=$(jq -r .region "$DEPLOYMENT_FILE")
  mapfile -t ZONES < <(jq -r '.zones[]' "$DEPLOYMENT_FILE")
  mapfile -t ENTRY_ZONES < <(jq -r '
    . as $d | range(0; .zones | length) as $z
    | range(0; $d.entries_per_zone[$z]) | $d.zones[$z]' "$DEPLOYMENT_FILE")
}

deployment_start() { # name out
  OUT=$2
  mkdir -p "$OUT"
  deployment_read "$1"
  start_stand_ins
  fill_instance_list
  local i
  for i in "${!ENTRY_ZONES[@]}"; do
    ENTRIES[i]=$ADDRESS:$((PORT_BASE + 300 + i))
    ADMINS[i]=$ADDRESS:$((PORT_BASE + 400 + i))
    start_entry "$i"
  done
  for i in "${!ADMINS[@]}"; do
    wait_for "$START_PATIENCE" "entry-$((i + 1))" curl -sf "http://${ADMINS[$i]}/healthz"
  done
  wait_for "$START_PATIENCE" "configuration" configure
  for i in "${!ADMINS[@]}"; do
    wait_for "$START_PATIENCE" "ready entry-$((i + 1))" ready "${ADMINS[$i]}"
  done
}

# Ends the entry instances first, gracefully, then the stand-ins.
deployment_stop() {
  local pid
  for pid in "${ENTRY_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${ENTRY_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${STAND_IN_PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${STAND_IN_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  ENTRY_PIDS=()
  STAND_IN_PIDS=()
}

fault() { # control-port json
  curl -sf "http://$1/fault" -d "$2" >/dev/null
}

# set_zone_cut ZONE true|false: cuts a zone off from the platform and from the
# targets of other zones, and their zones' instances from its targets. Links
# between instances stay up.
set_zone_cut() {
  local number=$(($(zone_index "$1") + 1)) cut=$2 control id zone link
  fault "$PLATFORM_CONTROL" "{\"id\":\"kv-$number\",\"hang\":$cut}"
  fault "$PLATFORM_CONTROL" "{\"id\":\"list-$number\",\"hang\":$cut}"
  for control in "$ENGINE_CONTROL" "$PLAIN_CONTROL"; do
    while read -r id zone; do
      for link in $(seq "${#ZONES[@]}"); do
        [ "$zone" = "$1" ] && [ "$link" = "$number" ] && continue
        [ "$zone" = "$1" ] || [ "$link" = "$number" ] || continue
        fault "$control" "{\"id\":\"$id\",\"link\":$link,\"hang\":$cut}"
      done
    done < <(curl -sf "http://$control/instances" |
      jq -r '.instances[] | "\(.id) \(.zone)"')
  done
}

# An engine crashes after a third of the run; at half of it the last zone is
# cut off for a quarter. Runs beside the load.
inject_faults() { # seconds
  sleep $(($1 / 3))
  fault "$ENGINE_CONTROL" '{"id":"engine-1","crash":{"down_ms":8000}}'
  sleep $(($1 / 6))
  set_zone_cut "${ZONES[-1]}" true
  sleep $(($1 / 4))
  set_zone_cut "${ZONES[-1]}" false
}

join_by_comma() {
  local IFS=,
  echo "$*"
}

# run_load NAME LABEL [flags]: plays the trace and leaves OUT/LABEL.json.
run_load() {
  local label=$1
  shift
  "$BUILD/bench/lynxglade-load" --deployment "$DEPLOYMENT_FILE" \
    --entries "$(join_by_comma "${ENTRIES[@]}")" \
    --journals "$ENGINE_CONTROL,$PLAIN_CONTROL" --label "$label" \
    --report "$OUT/$label.json" --plot-rows "$OUT/$label.tsv" "$@"
}
