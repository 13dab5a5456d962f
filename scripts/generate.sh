#!/usr/bin/env bash
# Regenerates proto/generated from proto/peer.proto. Needs protobuf-compiler and
# protobuf-compiler-grpc. The output is committed, so the build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=proto/generated --grpc_out=proto/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
