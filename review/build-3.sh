#!/bin/sh
# Builds the stand-ins of the cases of this review as target/review-3/rig. It needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
cd "$root/review/_rig3"
GOFLAGS=-mod=mod GOWORK=off go build -o "$root/target/review-3/rig" .
