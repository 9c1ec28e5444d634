#!/bin/sh
# Builds what the scripts start beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/testdata/rig
