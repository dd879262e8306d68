#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review -cp 'target/platform/lib/*' review/standins/*.java review/[0-9]/*.java
