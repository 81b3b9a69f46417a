# Functions for scripts that start stand-ins and daemons on the loopback interface. A script sets
# `python` before it sources this file, and `succeeded=yes` at its end; without the latter, the last
# lines of the logs are printed on exit.

logs=$(mktemp -d)
names=()            # process names in start order
declare -A pids addresses
succeeded=no

launch() {  # launch NAME COMMAND...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.err" &
  pids[$name]=$!
  names+=("$name")
}

read_address() {  # read_address NAME: waits up to 20 s for a process to print its address
  local name=$1 line try
  # The loop reads the file with builtins only: starting a process in each iteration once made bash
  # lose track of a child.
  for ((try = 0; try < 200; try++)); do
    if IFS= read -r line <"$logs/$name.out" && [[ $line =~ \"listen\":\"([^\"]*)\" ]]; then
      addresses[$name]=${BASH_REMATCH[1]}
      return 0
    fi
    kill -0 "${pids[$name]}" 2>/dev/null || break
    sleep 0.1
  done
  echo "$name did not start" >&2
  return 1
}

standin() {  # standin NAME MODULE OPTIONS...
  local name=$1 module=$2
  shift 2
  launch "$name" "$python" -m "medlarbeam.standins.$module" --listen 127.0.0.1:0 "$@"
  read_address "$name"
}

end_process() {  # end_process NAME: SIGTERM, SIGKILL after 20 s; returns the exit status
  local name=$1 pid=${pids[$1]} status=0 try
  unset "pids[$name]"
  kill -TERM "$pid" 2>/dev/null || true
  for ((try = 0; try < 200; try++)); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || status=$?
  return "$status"
}

stop_all() {  # in reverse start order, so that daemons shut down while the platform still runs
  local index status failed=0
  for ((index = ${#names[@]} - 1; index >= 0; index--)); do
    [ -n "${pids[${names[index]}]:-}" ] || continue
    status=0
    end_process "${names[index]}" || status=$?
    if [ "$status" -ne 0 ]; then
      echo "${names[index]} ended with status $status" >&2
      failed=1
    fi
  done
  return "$failed"
}

make_secrets() {
  MEDLARBEAM_PEER_SECRET=$("$python" -c 'import secrets; print(secrets.token_hex(16))')
  MEDLARBEAM_OPERATOR_SECRET=$("$python" -c 'import secrets; print(secrets.token_hex(16))')
  export MEDLARBEAM_PEER_SECRET MEDLARBEAM_OPERATOR_SECRET
}

clean_up() {
  stop_all || true
  if [ "$succeeded" != yes ]; then
    for file in "$logs"/*.err; do
      [ -s "$file" ] || continue
      echo "--- last lines of $(basename "$file")" >&2
      tail -n 20 "$file" >&2
    done
  fi
  rm -rf "$logs"
}
trap clean_up EXIT
trap 'exit 130' INT TERM
