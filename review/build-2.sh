#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start. The stand-ins need nothing but the .venv of deploy/build.sh.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stand_ins_2.py review/replaced_endpoints_2.py
