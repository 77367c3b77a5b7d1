#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: the project's own store (platform/platformtest) and the workers,
# clients and crowds of review/drive, in one program.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-drive ./review/drive
