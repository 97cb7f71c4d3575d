#!/usr/bin/env bash
# Exits with 1 if a request ran whose key no configuration ever held, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review:target/wagtailmux-platform.jar review.RevokedKeys review/2
