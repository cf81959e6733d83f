#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, into target/review-2.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/stand .
