#!/usr/bin/env bash
# Builds the stand-ins and the cases, into target/review/. Needs the daemon of
# the deploy file only to run them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I. -Isrc)
shared=(review/stand_ins/*.cc src/connection/base64.cc)
objects=()
for source in "${shared[@]}"; do
  object=target/review/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for _ in "${shared[@]}"; do
  wait -n
done
for source in review/*/case.cc; do
  name=case_$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -lcrypto -o "target/review/$name"
done
