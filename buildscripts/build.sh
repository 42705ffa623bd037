#!/bin/bash
# Configures the release build if need be and builds the given targets (all
# without any), quietly unless something fails. JOBS=N bounds what runs at once.
#
#   buildscripts/build.sh [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
export CCACHE_NOHASHDIR=1 CCACHE_BASEDIR="$PWD"
mkdir -p build
log=build/build.log
if ! { cmake --preset release && ninja -C build -j"$jobs" "$@"; } >"$log" 2>&1
then
  tail -40 "$log" >&2
  echo "build: failed; the whole log is in $log" >&2
  exit 1
fi
