# Functions that start and stop a small fleet on loopback. Sourced by the demo, the end-to-end tests and the measures.
# Every port is chosen by the kernel; every process that is started here is stopped by stop_fleet.

fleet_dir=$(mktemp -d)
fleet_pids=()
bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build
scripts=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)

stop_fleet() {
    # Entry hosts first, in the reverse order of their start: a graceful stop needs the platform.
    local index
    for ((index = ${#fleet_pids[@]} - 1; index >= 0; index--)); do
        kill -CONT "${fleet_pids[index]}" 2>/dev/null
        kill "${fleet_pids[index]}" 2>/dev/null
        [ "$index" -le 2 ] && wait "${fleet_pids[@]:index}" 2>/dev/null
    done
    rm -rf "$fleet_dir"
}
trap stop_fleet EXIT
trap 'exit 130' INT TERM

# await SECONDS COMMAND... runs the command until it succeeds.
await() {
    local tries=$(($1 * 20))
    shift
    for ((try = 0; try < tries; try++)); do
        "$@" && return 0
        sleep 0.05
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

# start_process NAME COMMAND... starts a process with its output in $fleet_dir/NAME.log and its id in pid_of[NAME].
declare -A pid_of
start_process() {
    local name=$1
    shift
    # A log of an earlier process of this name must not be read as this one's.
    rm -f "$fleet_dir/$name.log"
    "$@" >"$fleet_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
    fleet_pids+=("$!")
}

field() { grep -o "$2=[^ ]*" "$fleet_dir/$1.log" | head -1 | cut -d= -f2; }
listening() { [ -e "$fleet_dir/$1.log" ] && grep -q "listening" "$fleet_dir/$1.log"; }

start_platform() {
    start_process platform "$bin/standin_platform" "$@"
    await 5 listening platform
    platform=$(awk '/listening/ {print $2}' "$fleet_dir/platform.log")
}

# start_upstreams N [OPTIONS] starts N workers; their addresses are in $fleet_dir/addresses.
start_upstreams() {
    start_process upstream "$bin/standin_upstream" --workers="$1" "${@:2}"
    await 5 listening upstream
    upstream=$(awk '/listening/ {print $2}' "$fleet_dir/upstream.log")
    awk '/^worker/ {print $2}' "$fleet_dir/upstream.log" >"$fleet_dir/addresses"
}

declare -A caller_of admin_of
# start_entry NAME DATA_CENTER [EXTRA SETTINGS LINES]
start_entry() {
    cat >"$fleet_dir/$1.yaml" <<SETTINGS
host: $1
data_center: $2
caller_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
platform_address: $platform
allow_faults: true
${3:-}
SETTINGS
    start_process "$1" "$bin/jujubespoold" --settings="$fleet_dir/$1.yaml"
    await 5 listening "$1"
    caller_of[$1]=$(field "$1" callers)
    admin_of[$1]=$(field "$1" admin)
}

# write_configuration USER writes the user's example with the workers' real addresses.
write_configuration() {
    python3 "$scripts/make_examples.py" "$1" --addresses "$fleet_dir/addresses" >"$fleet_dir/fleet.yaml"
}

is_ready() { [ "$(curl -s -o "$fleet_dir/ready" -w '%{http_code}' "http://${admin_of[$1]}/readyz")" = 200 ]; }
permits_settled() {
    curl -s "http://${admin_of[$1]}/status" | python3 -c '
import json, sys
teams = json.load(sys.stdin)["teams"]
sys.exit(0 if teams and sum(team["held"] for team in teams) > 0 else 1)' 2>"$fleet_dir/settled"
}
platform_faults() { curl -s -o "$fleet_dir/faults" -X POST "http://$platform/faults" -d "$1"; }
upstream_faults() { curl -s -o "$fleet_dir/faults" -X POST "http://$upstream/faults" -d "$1"; }
counts() { curl -s "http://$upstream/counts" | python3 -c "import json, sys; print(json.load(sys.stdin)$1)"; }
operate() { "$bin/jujubespool" "$@" --entry="${admin_of[$operator]}"; }

# start_fleet USER ENTRIES... starts everything; each entry is NAME:DATA_CENTER.
start_fleet() {
    local user=$1
    shift
    start_platform
    start_upstreams 50 "${upstream_options[@]}"
    write_configuration "$user"
    for entry in "$@"; do start_entry "${entry%%:*}" "${entry##*:}"; done
    operator=${1%%:*}
    operate publish "$fleet_dir/fleet.yaml" --base=0 >/dev/null
    for entry in "$@"; do await 5 is_ready "${entry%%:*}"; done
    for entry in "$@"; do await 5 permits_settled "${entry%%:*}"; done
}
upstream_options=(--run-us=2000)

targets() {
    local list=""
    for name in "$@"; do list+="${list:+,}${caller_of[$name]}"; done
    echo "$list"
}
