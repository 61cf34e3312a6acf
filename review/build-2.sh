#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/standin2
