#!/bin/bash
# Checks the script that `acacialugctl completion bash` prints against command
# lines, as bash completes them. Usage: check_completion.sh CTL
# Closes with `N passed, N failed`.
set -u
passed=0
failed=0
# shellcheck disable=SC1090  # made by the program under test
source <("$1" completion bash) || exit 1

# offers LINE WORD...: completing the last word of the line offers all WORDs,
# and "!WORD" is not offered. Words of a line are split as bash splits them,
# also at "=" and ":".
offers() {
  local line="$1" want
  shift
  read -r -a COMP_WORDS <<<"${line//[=:]/ & }"
  [[ $line == *" " ]] && COMP_WORDS+=("")
  COMP_CWORD=$((${#COMP_WORDS[@]} - 1))
  _acacialugctl
  for want in "$@"; do
    local got=no
    [[ " ${COMPREPLY[*]-} " == *" ${want#!} "* ]] && got=yes
    if { [[ $want == !* ]] && [ $got = no ]; } ||
      { [[ $want != !* ]] && [ $got = yes ]; }; then
      passed=$((passed + 1))
    else
      failed=$((failed + 1))
      echo "failed: \"$line\": $want among \"${COMPREPLY[*]-}\""
    fi
  done
}

offers "acacialugctl " manifest status endpoints requests explain drain report completion
offers "acacialugctl e" endpoints explain '!status'
offers "acacialugctl manifest " check diff publish show history wait '!burn'
offers "acacialugctl report " burn '!check'
offers "acacialugctl --nodes=127.0.0.1:80 --json report " burn
offers "acacialugctl --nodes 127.0.0.1:80 manifest " check
offers "acacialugctl --nodes " '!status'
offers "acacialugctl status --" --nodes= --json '!--config='
offers "acacialugctl manifest check buildscripts/check_comp" \
  buildscripts/check_completion.sh
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
