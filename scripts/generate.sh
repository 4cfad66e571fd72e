#!/usr/bin/env bash
# Generates the committed protobuf and gRPC code from proto/. Run it after changing a schema.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/libs/proto/generated
protoc -Iproto --cpp_out="$out" proto/*.proto
protoc -Iproto --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  proto/announce.proto proto/operator.proto
