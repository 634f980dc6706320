#!/usr/bin/env bash
# Builds the stand-ins of the second review and its cases, into
# target/review-2/. Needs the daemon of the deploy file only to run them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I. -Isrc)
objects=()
for source in review/stand_ins_2/*.cc src/connection/base64.cc; do
  object=target/review-2/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for source in review/*/check.cc; do
  name=check_$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -lcrypto \
    -o "target/review-2/$name"
done
