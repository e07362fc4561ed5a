#!/usr/bin/env bash
# Compiles the stand-ins and cases. They need only Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/
