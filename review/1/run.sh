#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption; the case reads it from its environment.
here=$(cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -d target/review ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx400m -cp "target/review:target/lib/*" "Case${here##*/}" "$here/record.txt"
