#!/bin/bash
# Installs the Debian packages that the build, the tests and the checks need,
# when any is missing. Idempotent; quick when all are there; needs root (or
# sudo) only when something is missing.
set -euo pipefail

packages=(
  # compilers and build
  g++ clang-14 cmake ninja-build ccache pkg-config
  # checks
  clang-format clang-tidy libclang-rt-14-dev libfuzzer-14-dev
  # libraries
  libboost-dev libcereal-dev libcppunit-dev libgflags-dev liblua5.4-dev
  libspdlog-dev libssl-dev libtomlplusplus-dev libxxhash-dev
  nlohmann-json3-dev qt6-base-dev qt6-httpserver-dev qt6-websockets-dev
  # tests and benchmarks
  libbenchmark-dev librapidcheck-dev
  # what the scripts call
  curl openssl procps python3
)

installed="$(dpkg-query -W -f '${db:Status-Abbrev} ${Package}\n' \
  "${packages[@]}" 2>/dev/null | sed -n 's/^ii  *//p' || true)"
missing=()
for package in "${packages[@]}"; do
  grep -qxF "$package" <<<"$installed" || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "install: all ${#packages[@]} packages are there"
  exit 0
fi

echo "install: ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
export DEBIAN_FRONTEND=noninteractive
if ! { "${as_root[@]}" apt-get update -qq &&
  "${as_root[@]}" apt-get install -y -qq --no-install-recommends \
    "${missing[@]}"; } >"$log" 2>&1; then
  cat "$log" >&2
  echo "install: failed" >&2
  exit 1
fi
echo "install: done"
