#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need
# Python 3.11 only; the routers come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/review
python3 -m compileall -q review/lib/stand_ins review/6 review/7 review/8 review/9
PYTHONPATH=review/lib python3 -c 'import stand_ins.case, stand_ins.engine, stand_ins.caller'
