#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the second review, with the Java development kit only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
javac -Xlint:-options --release 17 -d target/review-2 review/src-2/review2/*.java
