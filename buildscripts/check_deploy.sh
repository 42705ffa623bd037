#!/bin/bash
# Checks every file below deploy/ with the programs' own checks. Usage:
#   check_deploy.sh ENTRY AGENT CTL     the three programs
# Closes with `N passed, N failed`.
set -u
entry="$1" agent="$2" ctl="$3"
cd "$(dirname "$0")/.." || exit 1
passed=0
failed=0

check() {
  local file="$1"
  shift
  if "$@" >/dev/null; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "failed: $file"
  fi
}

for file in deploy/*/manifest.toml; do
  check "$file" "$ctl" manifest check "$file"
done
for file in deploy/*/entry-*.toml; do
  check "$file" "$entry" --config="$file" --check
done
for file in deploy/*/agent-*.toml; do
  check "$file" "$agent" --config="$file" --check
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
