#!/bin/sh
# Builds the stand-ins that the cases start. The front end itself is built by the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
