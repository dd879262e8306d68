#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10 into target/review-2, with the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(bin/jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$java_home/bin/javac" -d target/review-2 -cp 'target/platform/lib/*' review/standins-2/*.java
