#!/bin/sh
# Builds the programs of the cases 6 to 10 and the stand-ins that they start, after the build command of
# deploy/system.toml, with that build's packages only.
set -eu
cd "$(dirname "$0")/.."
cmake --build target --target oriolespread_platformwire_testing -j6
out=target/review-2
mkdir -p "$out"
includes="-Iplatform/include -Iplatform/testing/include -Ipackages/soak/src -Ireview/rig-2"
for package in packages/*/include; do
  includes="$includes -I$package"
done
cxx="g++ -std=c++20 -O1 -DASIO_STANDALONE $includes"
objects=
for source in packages/soak/src/Process.cpp review/rig-2/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  $cxx -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
archives=$(find target/packages target/platform -name '*.a')
# shellcheck disable=SC2086
g++ $objects -Wl,--start-group $archives -Wl,--end-group \
  $(pkg-config --libs absl_statusor absl_status absl_strings absl_flat_hash_map) \
  -lspdlog -lfmt -lssl -lcrypto -lxxhash -lnghttp2 -lpthread -o "$out/review-2"
echo "built $out/review-2"
