#!/usr/bin/env bash
# Builds the program of the cases' stand-ins. It uses the standard library only.
set -eu
cd "$(dirname "$0")/stand"
GOFLAGS=-mod=mod go build -o ../target/stand .
