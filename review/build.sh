#!/usr/bin/env bash
# Builds the stand-in that the cases start.
set -eu
cd "$(dirname "$0")/stand"
GOFLAGS= go build -buildvcs=false -o ../target/stand .
