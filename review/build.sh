#!/usr/bin/env bash
# Builds the stand-ins of the scripts below review/. The balancers themselves are
# built by the line of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -ldflags=-linkmode=external -o target/review/stand ./review/stand
