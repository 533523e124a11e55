#!/bin/sh
# Builds what the scripts review/6 to review/9 start beside the daemons of the deploy file: one program that
# plays the cases, with the stand-ins of the store (platform/standin), of servers and of clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig2
