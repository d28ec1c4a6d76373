#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library
# only, so compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py ./[1-5]/case.py
