#!/usr/bin/env bash
# Checks that the stand-ins and the scripts of the cases can be loaded; they need no compilation.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c 'import harness'
