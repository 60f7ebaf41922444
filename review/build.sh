#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -nowarn -d review/target/classes review/harness/review/*.java
