#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
node review/lib/bundle.mjs
