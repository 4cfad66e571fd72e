#!/usr/bin/env bash
# Installs the Debian 12 packages required by the build, the tests, the formatter and the linter.
set -euo pipefail
packages=(
  ccache clang-format clang-tidy cmake cppzmq-dev g++ git libabsl-dev libboost-dev libcpputest-dev
  libgoogle-glog-dev libgrpc++-dev libprotobuf-dev libssl-dev libxxhash-dev libzmq3-dev ninja-build
  nlohmann-json3-dev pkg-config protobuf-compiler protobuf-compiler-grpc python3
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=""
if [ "$(id -u)" -ne 0 ]; then sudo=sudo; fi
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
