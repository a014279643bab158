#!/bin/sh
# Builds the stand-ins that the scripts start. The proxies are built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in twice stop stale_order quiet_drain unreadable; do
    rustc --edition 2024 -O -A dead_code -o "target/review/$name" "review/standin/$name.rs"
done
