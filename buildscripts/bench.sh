#!/bin/bash
# Installs what is missing, builds, and measures the real binaries on loopback;
# the figures go to build/bench/.
#
#   buildscripts/bench.sh path [--quick]        what the router adds to a
#                                               request, and what it carries
#   buildscripts/bench.sh decisions [--quick]   goodput and wasted prefill by
#                                               policy, load and fault
set -euo pipefail
cd "$(dirname "$0")/.."
buildscripts/install.sh
buildscripts/build.sh acacialug-entry acacialug-agent acacialug-standin \
  acacialug-load
exec python3 buildscripts/bench.py "$@"
