#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build command of the deploy file. Writes to target/ only.
cd "$(dirname "$0")/.." || exit 2
[ -f target/wagtailmux-platform.jar ] || { echo "run the build command of deploy/system.toml first" >&2; exit 2; }
mkdir -p target/review && exec javac -nowarn --release 17 -d target/review -cp target/wagtailmux-platform.jar review/src/review/*.java
