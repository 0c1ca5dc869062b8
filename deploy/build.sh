#!/bin/sh
# Installs what `run` and `sim` need into .venv. Recreates a .venv without a working Python 3.11 or later, and installs the
# requirements again unless the last installation finished and used the same requirements.txt.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || { rm -rf .venv; python3 -m venv .venv; }
if ! cmp -s requirements.txt .venv/installed.txt; then
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/installed.txt
fi
# The file system is read-only at run time, so compile here. Hash-based .pyc files stay valid if file times change.
.venv/bin/python -m compileall -q --invalidation-mode checked-hash cressrail
