#!/bin/bash
# Installs what is missing, builds, and measures the real binaries on loopback;
# the figures go to build/bench/.
#
#   buildscripts/bench.sh path [--quick]        what the router adds to a
#                                               request, and what it carries
#   buildscripts/bench.sh decisions [--quick]   goodput and wasted prefill by
#                                               policy, load and fault
#   buildscripts/bench.sh scale [--quick]       what each aggregate costs by
#                                               size, a few idle processes, the
#                                               time until a change is in force,
#                                               recovery after many deaths
set -euo pipefail
cd "$(dirname "$0")/.."
buildscripts/install.sh
buildscripts/build.sh acacialug-entry acacialug-agent acacialug-standin \
  acacialug-load scale_bench
exec python3 buildscripts/bench.py "$@"
