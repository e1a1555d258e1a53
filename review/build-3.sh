#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/15 into target/review-3, after the build of the deploy
# file and with its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target oriolespread_platformwire_testing oriolespread_http -j6
mkdir -p target/review-3
includes=()
for folder in packages/*/include packages/*/testing/include platform/include platform/testing/include; do
  includes+=("-I$folder")
done
mapfile -t archives < <(find target -name 'liboriolespread_*.a' | sort)
read -ra flags <<< "$(pkg-config --cflags --libs absl_statusor absl_strings absl_status libnghttp2 libxxhash openssl spdlog fmt)"
objects=()
compilers=()
for source in review/rig-3/*.cpp packages/soak/src/Process.cpp; do
  object="target/review-3/$(basename "$source" .cpp).o"
  g++ -std=c++20 -O2 -DASIO_STANDALONE -DORIOLESPREAD_VERSION='"0.1.0"' -Ireview/rig-3 \
    "${includes[@]}" "${flags[@]}" -c "$source" -o "$object" &
  compilers+=($!)
  objects+=("$object")
done
for compiler in "${compilers[@]}"; do
  wait "$compiler"
done
g++ "${objects[@]}" -Wl,--start-group "${archives[@]}" -Wl,--end-group "${flags[@]}" -lpthread -o target/review-3/rig-3
