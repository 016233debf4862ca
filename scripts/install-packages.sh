#!/usr/bin/env bash
# Installs the packages that a fresh Debian 12 lacks. DEVELOPERS.md lists the same libraries.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy clang-tools curl
  libboost-dev libcpprest-dev libssl-dev libnghttp2-dev libmsgpack-cxx-dev rapidjson-dev libcxxopts-dev libfmt-dev
  gnuplot-nox libxxhash-dev doctest-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
