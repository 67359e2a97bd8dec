#!/usr/bin/env bash
# Builds the stand-ins of the scripts: platform's store, engines and clients, in one
# program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-rig review/rig/main.rs
