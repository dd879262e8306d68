#!/usr/bin/env bash
# Builds what the roles of deploy/system.toml run: the jars, a Java runtime with only the modules in use, and an archive
# of the classes that a node loads, so that a node starts with them parsed and verified.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
export JAVA_HOME
mvn -B -ntp -q -DskipTests -pl platform -am package
cp target/platform/magnoliabridge-platform-*.jar target/platform/lib/
# The HTTP library refers to the last three for features that are not used here. Without java.management it skips the
# management beans that it registers at start, which nothing reads.
modules=java.base,java.logging,jdk.unsupported,java.naming,java.security.jgss,java.security.sasl
rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --add-modules "$modules" --no-header-files --no-man-pages --strip-debug \
  --generate-cds-archive --output target/runtime
# The class path and the collector must be those of the role, or the archive is not used.
target/runtime/bin/java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/runtime/gateway.jsa -Xlog:cds=error \
  -Djava.util.logging.manager=org.magnoliabridge.telemetry.LastingLogManager \
  -cp 'target/platform/lib/*' org.magnoliabridge.platform.StartTraining > target/start-training.log 2>&1 ||
  { cat target/start-training.log >&2; exit 1; }
