#!/usr/bin/env bash
# Exits with 1 if requests on the later route are no longer served, 0 if they are, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review:target/wagtailmux-platform.jar review.StageWorkerLost review/4
