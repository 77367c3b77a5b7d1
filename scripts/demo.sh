#!/usr/bin/env bash
# Runs a whole deployment on the loopback interface: the platform, all targets, twelve entry VMs and callers. On the
# way it kills one entry VM and drains one target. It then prints the report and stops what it started.
#
#   DEPLOYMENT  sang_den (default) or enguia_do_sul
#   DURATION    seconds for which callers start requests (default 20)
#   SEED        seed of the callers and of the service times (default 1)
#   OUT         directory for logs, records and the report (default demo-out)
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${DEPLOYMENT:-sang_den}
duration=${DURATION:-20}
seed=${SEED:-1}
out=${OUT:-demo-out}
config=examples/$deployment
case $deployment in
sang_den) control_port=16100 ;;
enguia_do_sul) control_port=16600 ;;
*)
    echo "DEPLOYMENT is $deployment, not sang_den or enguia_do_sul" >&2
    exit 2
    ;;
esac

declare -A pid_of # by the name of the log

# Stops every process that this script started and that still runs: first gracefully, then by force. It takes the
# pids from the shell's jobs, so that it never signals a process that has taken over the pid of one that ended.
stop_all() {
    local status=$? end=$((SECONDS + 10)) pid
    trap - EXIT INT TERM
    for pid in $(jobs -rp); do kill -TERM "$pid" 2>/dev/null || true; done
    while [[ -n $(jobs -rp) ]] && ((SECONDS < end)); do sleep 0.1; done
    for pid in $(jobs -rp); do kill -KILL "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$out/keys"
    exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Waits for some seconds, but not beyond a signal: pause SECONDS.
pause() {
    sleep "$1" &
    wait $!
}

# Starts a process with its log in a file: start NAME COMMAND... Sets started to its pid.
start() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# Polls a command until it succeeds: await WHAT SECONDS COMMAND...
await() {
    local what=$1 seconds=$2 end=$((SECONDS + $2))
    shift 2
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= end)); then
            echo "$what: not seen within $seconds s" >&2
            return 1
        fi
        sleep 0.1
    done
    all_running
}

# Succeeds if everything that was started still runs. A process that could not bind its address has ended, and what
# responds there then belongs to somebody else.
all_running() {
    local name running
    running=" $(jobs -rp | tr '\n' ' ')"
    for name in "${!pid_of[@]}"; do
        if [[ $running != *" ${pid_of[$name]} "* ]]; then
            echo "$name has ended, see $out/$name.log" >&2
            return 1
        fi
    done
}

# Polls a URL until it responds with success: await_url URL SECONDS.
await_url() { await "success from $1" "$2" curl --silent --fail --max-time 2 "$1"; }

# Succeeds if every VM has the latest generation in force.
keys_in_force() { bin/damasklatch config status | grep "^in force on \([0-9]*\) of \1 VMs"; }

# Prints the value of a field of a YAML file of settings: setting FILE FIELD.
setting() { sed -n "s/^$2: *//p" "$1"; }

command -v curl >/dev/null || {
    echo "this script needs curl" >&2
    exit 1
}
make build
mkdir -p "$out"
rm -rf "${out:?}/keys"
rm -f "$out"/*.log "$out"/*.jsonl "$out"/report.txt
mkdir -m 700 "$out/keys"

settings=("$config"/settings/*.yaml)
store=$(setting "${settings[0]}" store_address)
platform_control=127.0.0.1:$control_port

echo "starting platform"
start platform bin/damasklatch-standin platform --address "$store" --control-address "$platform_control"
await_url "http://$store/v1/vms" 10

echo "starting targets"
declare -A target_control
domains=()
for file in "$config"/overlays/*.yaml; do domains+=("$(setting "$file" failure_domain)"); done
for nr in "${!domains[@]}"; do
    domain=${domains[$nr]}
    target_control[$domain]=127.0.0.1:$((control_port + 1 + nr))
    start "targets-$domain" bin/damasklatch-standin targets --config "$config" --failure-domain "$domain" \
        --control-address "${target_control[$domain]}" --records "$out/targets-$domain.jsonl" --seed "$seed"
done
for domain in "${domains[@]}"; do await_url "http://${target_control[$domain]}/healthz" 10; done

echo "starting entry VMs"
entries=()
for file in "${settings[@]}"; do
    vm=$(setting "$file" vm)
    caller_address=$(setting "$file" caller_address)
    curl --silent --show-error --fail --output /dev/null --request PUT "http://$platform_control/vms/$vm" --data \
        "{\"failure_domain\":\"$(setting "$file" failure_domain)\",\"peer_address\":\"$(setting "$file" peer_address)\",\"caller_address\":\"$caller_address\"}"
    start "entry-$vm" bin/damasklatch entry --settings "$file"
    entries+=("$caller_address")
done

for file in "${settings[@]}"; do # without a configuration the VMs respond that they are not ready
    url=http://$(setting "$file" peer_address)/readyz
    await "response from $url" 10 curl --silent --max-time 2 "$url"
done

echo "accepting the configuration"
export DAMASKLATCH_STORE=$store DAMASKLATCH_AUTHOR=demo DAMASKLATCH_OPERATOR_SECRET_FILE=$config/operator_secret.txt
operation=$(bin/damasklatch config propose --comment demo --output json "$config" | sed -n 's/.*"operation_id": *"\([0-9a-f]*\)".*/\1/p')
bin/damasklatch config accept "$operation"
for file in "${settings[@]}"; do await_url "http://$(setting "$file" peer_address)/readyz" 20; done

echo "issuing keys"
teams=$(sed -n '/^teams:/,/^routes:/s/^  - name: *//p' "$config/base.yaml")
for team in $teams; do
    (umask 077 && bin/damasklatch key issue "$team" >"$out/keys/$team.key" 2>"$out/key-$team.log")
done
await "the keys in force everywhere" 10 keys_in_force

echo "running callers for $duration s"
start callers bin/damasklatch-standin callers --scenario "$config/callers.yaml" --entries "${entries[@]}" \
    --keys "$out/keys" --records "$out/callers.jsonl" --duration "${duration}s" --seed "$seed"

# The killed VM is the second one of the first failure domain, and the drained target the first one of another.
pause "$((duration * 4 / 10))"
victim=$(setting "${settings[1]}" vm)
echo "killing entry VM $victim"
kill -KILL "${pid_of[entry-$victim]}"
wait "${pid_of[entry-$victim]}" 2>/dev/null || true # the shell would print that the job was killed
unset "pid_of[entry-$victim]"
pause "$((duration * 2 / 10))"
domain=${domains[2]}
target=$(sed -n 's/^ *- name: *//p' "$config/overlays/$domain.yaml" | head -n 1)
echo "draining target $target"
curl --silent --show-error --fail --request POST "http://${target_control[$domain]}/control" \
    --data "{\"target\":\"$target\",\"behavior\":\"drain\"}"
if ! wait "${pid_of[callers]}"; then
    echo "callers failed, see $out/callers.log" >&2
    exit 1
fi
unset "pid_of[callers]"
all_running

echo
bin/damasklatch-standin report --config "$config" --callers "$out/callers.jsonl" \
    --targets "$out"/targets-*.jsonl | tee "$out/report.txt"
