#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, the project's own too.
# They are Python and need no more than what the line `build` of
# deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q standins review waxwingarch
