# Functions that start and stop a small fleet on the loopback interface. The demo, the end-to-end tests and the
# measurements source this file. The kernel chooses all ports. stop_fleet stops all processes that were started here.
#
#     source scripts/fleet.sh
#     start_fleet marktpass entry-1:lausanne entry-2:geneva || exit 1
#     run_cli status

fleet_dir=$(mktemp -d)
fleet_pids=()
bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build
scripts=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)

stop_fleet() {
    # Stops the processes in the reverse order of their start, so that the entry hosts stop before the platform, which
    # they need for a graceful stop.
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

# wait_until SECONDS COMMAND... repeats the command until it succeeds. Fails when the time has passed.
wait_until() {
    local attempts=$(($1 * 20))
    shift
    for ((attempt = 0; attempt < attempts; attempt++)); do
        "$@" && return 0
        sleep 0.05
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

# start_process NAME COMMAND... starts a process. Its output goes to $fleet_dir/NAME.log, its process ID to pid_of[NAME].
declare -A pid_of
start_process() {
    local name=$1
    shift
    # Removes the log of an earlier process of the same name, which would show that process as listening.
    rm -f "$fleet_dir/$name.log"
    "$@" >"$fleet_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
    fleet_pids+=("$!")
}

# log_field NAME KEY prints the first value of the key in the log of the process.
log_field() { grep -o "$2=[^ ]*" "$fleet_dir/$1.log" | head -1 | cut -d= -f2; }
is_listening() { [ -e "$fleet_dir/$1.log" ] && grep -q "listening" "$fleet_dir/$1.log"; }

start_platform() {
    start_process platform "$bin/standin_platform" "$@"
    wait_until 5 is_listening platform
    platform=$(awk '/listening/ {print $2}' "$fleet_dir/platform.log")
}

# start_upstreams COUNT [OPTIONS] starts one process with that many upstream hosts and writes their addresses to
# $fleet_dir/addresses.
start_upstreams() {
    start_process upstream "$bin/standin_upstream" --workers="$1" "${@:2}"
    wait_until 5 is_listening upstream
    upstream=$(awk '/listening/ {print $2}' "$fleet_dir/upstream.log")
    awk '/^worker/ {print $2}' "$fleet_dir/upstream.log" >"$fleet_dir/addresses"
}

declare -A caller_of admin_of
# start_entry NAME DATA_CENTER [SETTINGS] starts an entry host; SETTINGS are further lines of its settings file.
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
    wait_until 5 is_listening "$1"
    caller_of[$1]=$(log_field "$1" callers)
    admin_of[$1]=$(log_field "$1" admin)
}

# write_configuration USER writes the example configuration of the user with the addresses of the upstreams.
write_configuration() {
    python3 "$scripts/make_examples.py" "$1" --addresses "$fleet_dir/addresses" >"$fleet_dir/fleet.yaml"
}

is_ready() { [ "$(curl -s -o "$fleet_dir/ready" -w '%{http_code}' "http://${admin_of[$1]}/readyz")" = 200 ]; }
has_permits() {
    curl -s "http://${admin_of[$1]}/status" | python3 -c '
import json, sys
teams = json.load(sys.stdin)["teams"]
sys.exit(0 if teams and sum(team["held"] for team in teams) > 0 else 1)' 2>"$fleet_dir/permits"
}
set_platform_faults() { curl -s -o "$fleet_dir/faults" -X POST "http://$platform/faults" -d "$1"; }
set_upstream_faults() { curl -s -o "$fleet_dir/faults" -X POST "http://$upstream/faults" -d "$1"; }
# upstream_counts EXPRESSION prints a part of the counts of the upstreams; the expression indexes the JSON object.
upstream_counts() { curl -s "http://$upstream/counts" | python3 -c "import json, sys; print(json.load(sys.stdin)$1)"; }
# run_cli ARGUMENTS... runs the command line tool against the entry host $operator.
run_cli() { "$bin/jujubespool" "$@" --entry="${admin_of[$operator]}"; }

# start_fleet USER ENTRIES... starts the platform, the upstreams and the entry hosts and publishes the configuration of
# the user. Each entry is NAME:DATA_CENTER.
start_fleet() {
    local user=$1
    shift
    start_platform
    start_upstreams 50 "${upstream_options[@]}"
    write_configuration "$user"
    for entry in "$@"; do start_entry "${entry%%:*}" "${entry##*:}"; done
    operator=${1%%:*}
    run_cli publish "$fleet_dir/fleet.yaml" --base=0 >/dev/null
    for entry in "$@"; do wait_until 5 is_ready "${entry%%:*}"; done
    for entry in "$@"; do wait_until 5 has_permits "${entry%%:*}"; done
}
upstream_options=(--run-us=2000)

# caller_addresses NAMES... prints the addresses for callers of the entry hosts, separated by commas.
caller_addresses() {
    local addresses=""
    for name in "$@"; do addresses+="${addresses:+,}${caller_of[$name]}"; done
    echo "$addresses"
}
