#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: store, engines, clients
# and what starts the daemons, in one program that needs the standard library only.
# The daemon itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/rig-3/main.rs
