# Functions that start and stop a fleet of separate processes on loopback addresses; to be sourced.
# All files are in the folder $run. Only processes started here are terminated.
#
# Each process listens on 127.0.R.N. Connections to it go through the relay on 127.1.R.N, which
# adds the one-way delay of the profile.

declare -A fleet_pids=()
# Address prefix that processes use for each other: 127.1 through the relay, 127.0 directly.
via=${via:-127.1}

# fleet_start NAME PROGRAM ARGUMENTS...
fleet_start() {
    local name=$1 program=$2
    shift 2
    "$build/$program" "$@" >>"$run/$name.out" 2>>"$run/$name.log" &
    fleet_pids[$name]=$!
    echo "${fleet_pids[$name]}" >"$run/$name.pid"
}

fleet_signal() {
    kill "-$2" "${fleet_pids[$1]}" 2>/dev/null || true
}

fleet_wait_exit() {
    local name=$1
    { wait "${fleet_pids[$name]}"; } 2>/dev/null
    local code=$?
    unset "fleet_pids[$name]"
    return $code
}

# Kills all processes that still run, including stopped (SIGSTOP) ones.
fleet_cleanup() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -CONT "${fleet_pids[$name]}" 2>/dev/null || true
        kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

wait_until() {
    local what=$1 tries=400
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ $tries -le 0 ]; then
            echo "gave up waiting for $what" >&2
            return 1
        fi
        sleep 0.05
    done
}

http_ok() { curl -sf --noproxy '*' -o /dev/null --max-time 2 "$1"; }

ctl() {
    "$build/tallyfoldctl" --control "$control_http" --operator ops --key-file "$run/ops.key" "$@"
}

fleet_profile() {
    case $1 in
        huayin)
            zones=(neihu-a neihu-b banqiao taoyuan)
            link_us=1500 client_us=3000
            classes=("licensing 10" "assistant 5" "draft 0")
            tenants=(adspark lotus-drama pixelgate harbour-ads)
            ;;
        hobart)
            zones=(hobart-a hobart-b kingston-c)
            link_us=500 client_us=1000
            classes=("coach 5" "trade 5" "lookup 8")
            tenants=(league-app league-web partner-desk)
            ;;
        *)
            echo "profile must be huayin or hobart" >&2
            return 2
            ;;
    esac
}

zone_of() { echo "${zones[$(($1 % ${#zones[@]}))]}"; }

control_table() {
    local n
    echo "[control]"
    for n in 1 2 3; do echo "control-$n = \"$via.1.$n:7100\""; done
}

write_settings() {
    local n
    for n in 1 2 3; do
        {
            echo "node = \"control-$n\""
            echo "listen = \"127.0.1.$n:7100\""
            echo "http_listen = \"127.0.1.$n:7101\""
            echo "key_file = \"$run/cluster.key\""
            echo "operator_file = \"$run/operators\""
            echo "data_folder = \"$run/control-$n.data\""
            control_table
        } >"$run/control-$n.toml"
    done
    for n in $(seq "$scheduler_count"); do
        {
            echo "node = \"scheduler-$n\""
            echo "zone = \"$(zone_of "$n")\""
            echo "listen = \"127.0.2.$n:7200\""
            echo "advertise = \"$via.2.$n:7200\""
            echo "http_listen = \"127.0.2.$n:7201\""
            echo "key_file = \"$run/cluster.key\""
            echo "members_address = \"127.0.7.1:8000\""
            control_table
        } >"$run/scheduler-$n.toml"
    done
    for n in $(seq "$gateway_count"); do
        {
            echo "node = \"gateway-$n\""
            echo "zone = \"$(zone_of "$n")\""
            echo "http_listen = \"127.0.3.$n:7300\""
            echo "key_file = \"$run/cluster.key\""
            control_table
        } >"$run/gateway-$n.toml"
    done
}

relay_arguments=()

start_engine() {
    fleet_start "engine-$1" stand-in-engine --name "engine-$1" --listen "127.0.4.$1:8000" \
        --zone "$(zone_of "$1")" --ledger "$run/engine-$1.ledger" --weight-store 127.0.7.1:8000 \
        --seed "$seed"
}
start_service() {
    local kind=$1 n=$2 row=5
    [ "$kind" = tool ] && row=6
    fleet_start "$kind-$n" stand-in-service --name "$kind-$n" --listen "127.0.$row.$n:8000" \
        --ledger "$run/$kind-$n.ledger" --record "$run/$kind-$n.record" --seed "$seed"
}
start_control() { fleet_start "control-$1" tallyfold-control --settings "$run/control-$1.toml"; }
start_scheduler() {
    fleet_start "scheduler-$1" tallyfold-scheduler --settings "$run/scheduler-$1.toml"
}
start_gateway() { fleet_start "gateway-$1" tallyfold-gateway --settings "$run/gateway-$1.toml"; }

start_platform() {
    local members=() n
    for n in $(seq "$engine_count"); do
        members+=(--member "engine,engine-$n,$via.4.$n:8000,$(zone_of "$n"),default,8")
    done
    for n in $(seq "$app_count"); do
        members+=(--member "app,app-$n,$via.5.$n:8000,$(zone_of "$n"),,16")
    done
    for n in $(seq "$tool_count"); do
        members+=(--member "tool,tool-$n,$via.6.$n:8000,$(zone_of "$n"),,16")
    done
    fleet_start platform stand-in-platform --listen 127.0.7.1:8000 "${members[@]}"
}

# add_routes KIND ROW PORT COUNT DELAY: adds a relay route to each process of a kind.
add_routes() {
    local n
    for n in $(seq "$4"); do
        relay_arguments+=(--route "$1-$n,127.1.$2.$n:$3,127.0.$2.$n:$3,$5")
    done
}

start_relay() {
    add_routes control 1 7100 3 "$link_us"
    add_routes scheduler 2 7200 "$scheduler_count" "$link_us"
    add_routes gateway 3 7300 "$gateway_count" "$client_us"
    add_routes engine 4 8000 "$engine_count" "$link_us"
    add_routes app 5 8000 "$app_count" "$link_us"
    add_routes tool 6 8000 "$tool_count" "$link_us"
    fleet_start relay stand-in-relay --http-listen 127.0.8.1:8000 "${relay_arguments[@]}"
}

configure_cluster() {
    local entry tenant policy name priority
    ctl cluster init >/dev/null
    for policy in huayin hobart; do
        ctl policy submit "$policy" "$root/policies/$policy.lua" >/dev/null
    done
    for tenant in "${tenants[@]}"; do ctl tenant set "$tenant" >/dev/null; done
    for entry in "${classes[@]}"; do
        read -r name priority <<<"$entry"
        ctl class set "$name" priority="$priority" policy="$profile" model=default \
            budget_limit=10000000 >/dev/null
    done
}

# Succeeds when each gateway and scheduler has applied the newest configuration.
configuration_in_force() {
    local newest expected=$((gateway_count + scheduler_count))
    newest=$(ctl tenant list --json | jq 'map(.changed_at) | max')
    newest=$(ctl class list --json | jq --argjson tenants "$newest" 'map(.changed_at) + [$tenants] | max')
    ctl status --json | jq -e --argjson newest "$newest" --argjson expected "$expected" \
        '[.nodes[] | select(.configuration >= $newest)] | length >= $expected'
}

# Starts the fleet of $profile and waits until all nodes are ready and have applied its
# configuration.
fleet_up() {
    fleet_profile "$profile"
    : "${scheduler_count:=2}" "${gateway_count:=2}" "${engine_count:=10}" "${app_count:=10}"
    : "${tool_count:=2}" "${seed:=1}"
    control_http="127.0.1.1:7101,127.0.1.2:7101,127.0.1.3:7101"
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/cluster.key")
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/ops.key")
    (umask 077 && echo "ops administrator $(cat "$run/ops.key")" >"$run/operators")
    write_settings
    start_relay
    start_platform
    local n
    for n in $(seq "$engine_count"); do start_engine "$n"; done
    for n in $(seq "$app_count"); do start_service app "$n"; done
    for n in $(seq "$tool_count"); do start_service tool "$n"; done
    for n in 1 2 3; do start_control "$n"; done
    for n in $(seq "$scheduler_count"); do start_scheduler "$n"; done
    for n in $(seq "$gateway_count"); do start_gateway "$n"; done
    for n in 1 2 3; do wait_until "control-$n" http_ok "http://127.0.1.$n:7101/healthz"; done
    configure_cluster
    for n in $(seq "$gateway_count"); do
        wait_until "gateway-$n" http_ok "http://127.0.3.$n:7300/readyz"
    done
    for n in $(seq "$scheduler_count"); do
        wait_until "scheduler-$n" http_ok "http://127.0.2.$n:7201/readyz"
    done
    wait_until "the configuration to be in force" configuration_in_force
}

# Stops all nodes with SIGTERM; fails when one exits with a non-zero code.
fleet_down() {
    local name failed=0
    for prefix in gateway scheduler control; do
        for name in "${!fleet_pids[@]}"; do
            [[ $name == $prefix-* ]] && fleet_signal "$name" TERM
        done
        for name in "${!fleet_pids[@]}"; do
            if [[ $name == $prefix-* ]]; then
                fleet_wait_exit "$name" || { echo "$name ended with an error" >&2; failed=1; }
            fi
        done
    done
    fleet_cleanup
    return $failed
}
