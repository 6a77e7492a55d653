#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. The program itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
