#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/testdata/tokencount ./review/testdata/uploads ./review/testdata/lateentry ./review/testdata/lastkey ./review/testdata/wholeanswers
