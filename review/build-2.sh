#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are Python and need the libraries of the deploy
# file's build; this checks that they, and the project's own stand-in of the store, can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review" python3 -c 'import harness_2'
