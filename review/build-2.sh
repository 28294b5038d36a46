#!/bin/bash
# Builds the stand-ins of the second review: store, backends, operator and clients are one program, rig2.
set -e
cd "$(dirname "$0")/_rig2"
mkdir -p ../../target/review2
go build -o ../../target/review2/rig2 .
