#!/bin/sh
# Builds the stand-ins of the cases with the standard library only. The product itself is built with
# the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in twice entry memory; do
    rustc --edition 2024 -O -o "target/review/$name" "review/standin/$name.rs"
done
