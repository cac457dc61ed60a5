#!/bin/sh
# Builds the stand-ins of the review's cases into target/review/. The project's own
# programs are built by the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/testdata/cases
