#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs of the third review, with the libraries of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -nowarn --release 21 -cp 'target/platform/lib/*' -d target/review-3 \
  review/standins-3/*.java $(find review/1[1-5] -name '*.java' 2>/dev/null)
