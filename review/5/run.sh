#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec "$(bin/jdk)/bin/java" -cp 'target/review:target/platform/lib/*' DroppedHostCase review/5/record.txt
