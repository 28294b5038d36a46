#!/usr/bin/env bash
# Generates the protobuf and RPC code from the schemas, and the String methods of the enums.
set -eu
cd "$(dirname "$0")"
tool() { go tool -modfile=tools/go.mod "$@"; }
rm -rf internal/gen platform/gen
tool buf generate --template schema/buf.gen.yaml
tool buf generate --template platform/schema/buf.gen.yaml
go generate ./pkg/... ./internal/...
gofmt -w internal/gen platform/gen
