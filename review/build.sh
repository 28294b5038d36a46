#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/_rig && go build -o ../../target/reviewrig .)
