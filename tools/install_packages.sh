#!/usr/bin/env bash
# Installs the Debian packages that the build needs.
set -euo pipefail
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy librapidcheck-dev libcxxopts-dev libabsl-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc libtomlplusplus-dev libcpprest-dev libboost-dev libgtest-dev libgmock-dev libxxhash-dev nlohmann-json3-dev"
# shellcheck disable=SC2086
if ! dpkg -s $packages >/dev/null 2>&1; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $packages >/dev/null
fi
