#!/usr/bin/env bash
# Builds the stand-ins of the review and the program of each case, in target/review/. Needs only the
# packages of the deploy file. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
read -r -a http <<<"$(pkg-config --cflags --libs cpp-httplib)"
libraries=()
definitions=()
for flag in "${http[@]}"; do
  case $flag in
    -l* | -L*) libraries+=("$flag") ;;
    *) definitions+=("$flag") ;;
  esac
done
g++ "${flags[@]}" "${definitions[@]}" -c review/rig/Rig.cpp -o target/review/Rig.o
for source in review/[1-9]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/Rig.o -o "target/review/case-$number" \
    "${libraries[@]}" -lssl -lcrypto -lz
done
