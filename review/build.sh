#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the entries: the stand-ins and requesters in review/harness, and
# the cases themselves. Needs the build of deploy/system.toml before it. Writes to target/review only.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
if [ ! -f target/yuccagw.jar ] || [ ! -d target/lib ]; then
  echo "run the build line of deploy/system.toml first" >&2
  exit 1
fi
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -cp "target/lib/*" -d target/review review/harness/*.java review/*/*.java
