#!/bin/sh
# Builds the stand-ins and clients of the cases of this review. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp "target/yuccagw.jar:target/lib/*" -d target/review-2 review/rig-2/*.java
