#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/CrashingRequest.class ] && [ -f target/yuccagw.jsa ] || { echo "not built"; exit 2; }
exec java -Xmx256m -cp "target/review-2:target/yuccagw.jar:target/lib/*" CrashingRequest review/9
