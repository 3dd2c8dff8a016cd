#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-ins-3/long_uploads.cpp -o target/review-3/long_uploads
