#!/usr/bin/env bash
# Builds the stand-in program of the review scripts. The daemon itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
