#!/bin/sh
# Builds what the cases of the review start, beside the build of the deploy file: nothing. Their stand-ins are Python files
# beside them, run with the interpreter of that build and its standard library alone.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m py_compile review/support.py
