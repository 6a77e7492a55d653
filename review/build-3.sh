#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/REPORT-3.md start. The program under review is built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin3
