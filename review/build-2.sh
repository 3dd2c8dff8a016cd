#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o target/review-2/cases review/stand-ins-2/cases.cpp review/stand-ins-2/fleet.cpp
