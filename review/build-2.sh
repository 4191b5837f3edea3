#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs no network; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-ins-2"
rm -rf target
mkdir target
javac -Xlint:all -encoding UTF-8 -d target *.java
