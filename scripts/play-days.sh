#!/usr/bin/env bash
# Plays the days of deploy/days on a site and prints a line for each: day, worth, rules broken.
#   BENCH=path/to/bench scripts/play-days.sh SITE [jobs]
set -u
cd "$(dirname "$0")/.."
site=$1
jobs=${2:-4}
out=$(mktemp -d)
export BENCH site out
play() {
    name=$(basename "$1" .toml)
    "$BENCH" run "$site" "$1" --why "own day $name" >"$out/$name.txt" 2>&1
    line=$(grep -E "^$name " "$out/$name.txt" | head -1)
    printf '%-36s %s\n' "$name" "$(echo "$line" | awk '{print "worth", $4, "served", $5}') $(grep -E '^rules broken' "$out/$name.txt" | head -1)"
}
export -f play
ls deploy/days/*.toml | xargs -P "$jobs" -I{} bash -c 'play {}' | sort
echo "outputs: $out"
