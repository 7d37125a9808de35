#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code. Run it after changing a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
for file in proto/*.proto; do
  [ "$file" = proto/peer.proto ] || protoc --cpp_out=. "$file"
done
