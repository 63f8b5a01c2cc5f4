#!/usr/bin/env bash
# Plays the cases of review/ that are scripts, with their disruption and without it, and prints a
# table: `held`, `BROKEN` or `did not run`. Builds the programs and the stand-ins first.
# ONLY="1 3" plays some, PLAYS=N plays each N times, CALM=0 leaves the plays without disruption out.
# Ends with 1 if a rule was broken. The records that the scripts write are put back.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
bash deploy/build.sh || exit 2
bash review/build.sh || exit 2
bash review/build-2.sh || exit 2
logs=$(mktemp -d)
trap 'rm -rf "$logs"; git checkout -q -- review' EXIT
if ! git diff --quiet -- review; then
    echo "review/ has changes that would be lost" >&2
    trap - EXIT
    exit 2
fi

broken=0
play() {
    local command=$1 trouble=$2 log
    log=$logs/$(date +%s%N)
    TROUBLE=$trouble $command >"$log" 2>&1
    case $? in
    0) echo -n "held" ;;
    1)
        echo -n "BROKEN"
        return 1
        ;;
    *) echo -n "did not run" ;;
    esac
}

row() {
    local name=$1 command=$2 number outcome
    for ((number = 0; number < ${PLAYS:-1}; number++)); do
        outcome=$(play "$command" 1) || broken=1
        printf '%-12s with the disruption     %s\n' "$name" "$outcome"
        if [[ ${CALM:-1} != 0 ]]; then
            outcome=$(play "$command" 0) || broken=1
            printf '%-12s without the disruption  %s\n' "$name" "$outcome"
        fi
    done
}

for folder in $(find review -mindepth 2 -maxdepth 2 -name run.sh | sort -t/ -k2 -n); do
    case=$(basename "$(dirname "$folder")")
    [[ " ${ONLY:-$case} " == *" $case "* ]] && row "review/$case" "bash $folder"
done
if [[ " ${ONLY:-old-limit} " == *" old-limit "* ]]; then
    row old-limit "review/stand_in/target/release/review-stand-in old-limit $logs"
fi
exit "$broken"
