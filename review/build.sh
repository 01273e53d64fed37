#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[1-5]/; do
  n=$(basename "$folder")
  if ls "$folder"*.go >/dev/null 2>&1; then
    go build -tags review -o "review/bin/case$n" "./review/$n"
  fi
done
