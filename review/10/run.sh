#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -d target/platform/lib ] || { echo "build first: deploy/build.sh, review/build-2.sh" >&2; exit 2; }
java_home=$(bin/jdk) || exit 2
exec "$java_home/bin/java" -cp 'target/review-2:target/platform/lib/*' FailingCase review/10
