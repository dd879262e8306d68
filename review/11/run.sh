#!/usr/bin/env bash
# Exits with 1 if a client got the answer to another request, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec "$(bin/jdk)/bin/java" -Xmx256m -cp 'target/review-3:target/platform/lib/*' CrossedAnswers
