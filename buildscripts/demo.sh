#!/bin/bash
# Installs what is missing, builds, and starts a small deployment on loopback:
# two entries, two failure domains, 2 prefill + 3 decode endpoints and 2 plain
# ones with their agents, and the platform's stand-ins.
#
#   buildscripts/demo.sh           serves until interrupted
#   buildscripts/demo.sh --check   sends a document and a plain call through
#                                  it, compares the answers, stops everything,
#                                  prints "demo: ok"
set -euo pipefail
cd "$(dirname "$0")/.."
buildscripts/install.sh
buildscripts/build.sh acacialug-entry acacialug-agent acacialug-standin
exec python3 buildscripts/demo.py "$@"
