#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8: plain JavaScript modules in review/stand-ins-2/, which need no build step. Checks
# that Node.js reads them, and that the build of the deploy file has made the program that they start.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/[4-8]/*.mjs; do node --check "$file"; done
[ -f target/almondrelayd.blob ] || { echo 'run the build line of deploy/system.toml first' >&2; exit 1; }
