#!/bin/bash
# Builds everything and runs the tests. Closes with one line,
# `N passed, N failed`, the sum over the test programs; exits 0 only when
# something ran and nothing failed.
#
# usage: buildscripts/test.sh [--preset release|asan|tsan] [--tests REGEX]
#                             [--pass-known-red]
#   --preset NAME     what to build and run (default: release)
#   --tests REGEX     only the test programs whose name matches
#   --pass-known-red  exit 0 when only tests named in KNOWN-RED.txt failed
# JOBS=N bounds what runs at once (default: the number of cores).
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1

preset=release
tests=.
known_red=()
while [ $# -gt 0 ]; do
  case "$1" in
    --preset) preset="${2:?--preset needs a name}"; shift ;;
    --tests) tests="${2:?--tests needs an expression}"; shift ;;
    --pass-known-red) known_red=(--known-red KNOWN-RED.txt) ;;
    *) sed -n '2,/^set/{/^#/s/^# \{0,1\}//p}' "$0" >&2; exit 2 ;;
  esac
  shift
done

jobs="${JOBS:-$(nproc)}"
build=build
[ "$preset" = release ] || build="build-$preset"
export CCACHE_NOHASHDIR=1 CCACHE_BASEDIR="$PWD"
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_stack_use_after_return=1}"
# Without it a finding of UBSan does not fail the run.
export UBSAN_OPTIONS="${UBSAN_OPTIONS:-halt_on_error=1:print_stacktrace=1}"
suppressions="$PWD/buildscripts/tsan_suppressions.txt"
export TSAN_OPTIONS="${TSAN_OPTIONS:-halt_on_error=1:suppressions=$suppressions}"

log="$(mktemp)"
report="$(mktemp)"
trap 'rm -f "$log" "$report"' EXIT
build_failed() {
  cat "$log"
  echo "test: the build failed" >&2
  echo "0 passed, 1 failed"
  exit 1
}

echo "test: build ($preset)"
if [ ! -f "$build/build.ninja" ]; then
  cmake --preset "$preset" >"$log" 2>&1 || build_failed
fi
cmake --build "$build" -j "$jobs" >"$log" 2>&1 || build_failed

echo "test: run ($preset)"
# The outputs of passing tests hold the counts: none may be cut.
ctest --test-dir "$build" -j "$jobs" -R "$tests" --output-on-failure \
  --test-output-size-passed 100000000 --test-output-size-failed 100000000 \
  --output-junit "$report" --no-tests=error
python3 buildscripts/summarize_tests.py "$report" "${known_red[@]}"
