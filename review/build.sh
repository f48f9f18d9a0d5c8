#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
cc -O2 -Wall -Wextra -pthread -o ../target/review/standin standin/standin.c
