#!/usr/bin/env bash
# Plays this case; exit code 1: the rule was broken, 0: it held, 2: the case
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
program=$repository/target/review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$repository" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
