#!/usr/bin/env bash
# Regenerates the protobuf code, which is committed. Requires the Debian package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=packages/wire/src --cpp_out=packages/wire/src packages/wire/src/jujubespool.proto
mv packages/wire/src/jujubespool.pb.h packages/wire/include/jujubespool/wire/jujubespool.pb.h
sed -i 's|#include "jujubespool.pb.h"|#include <jujubespool/wire/jujubespool.pb.h>|' packages/wire/src/jujubespool.pb.cc
