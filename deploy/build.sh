#!/usr/bin/env bash
# Builds what the roles of deploy/system.toml run: the jars, and a Java runtime with only the modules in use.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
export JAVA_HOME
mvn -B -ntp -q -DskipTests -pl platform -am package
cp target/platform/magnoliabridge-platform-*.jar target/platform/lib/
# The HTTP library refers to the last three for features that are not used here.
modules=java.base,java.logging,java.management,jdk.unsupported,java.naming,java.security.jgss,java.security.sasl
rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --add-modules "$modules" --no-header-files --no-man-pages --strip-debug \
  --generate-cds-archive --output target/runtime
