#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins, into
# target/review-2/. A case uses those of one review: the names of the two
# folders overlap. Needs the daemon of the deploy file only to run them.
set -euo pipefail
cd "$(dirname "$0")/.."
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I. -Isrc)
for stand_ins in stand_ins stand_ins_2; do
  mkdir -p "target/review-2/$stand_ins"
  objects=()
  for source in review/"$stand_ins"/*.cc src/connection/base64.cc; do
    object=target/review-2/$stand_ins/$(basename "$source" .cc).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
  done
  for _ in "${objects[@]}"; do
    wait -n
  done
  for source in review/*/check.cc; do
    if grep -q "review/$stand_ins/" "$source"; then
      g++ "${flags[@]}" "$source" "${objects[@]}" -lcrypto \
        -o "target/review-2/check_$(basename "$(dirname "$source")")"
    fi
  done
done
