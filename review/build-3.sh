#!/bin/sh
# Builds the stand-ins of the cases 11 and later. They use the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/src-3/*.java
