#!/usr/bin/env bash
# Makes proto/generated anew from proto/peer.proto. Needs protobuf-compiler and
# protobuf-compiler-grpc; the build itself needs no generator, the output is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=proto/generated --grpc_out=proto/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
