#!/bin/sh
# Builds the stand-ins of all cases. Run it after the build of the deploy file; it needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -nowarn -d out src/review/*.java
