#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: those
# of the second review, and the project's own. Run it after the build of the
# deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
test -e target/deps/primroseledge
PYTHONPATH=target/deps:. python3 -m compileall -q review/standins_2 standins
PYTHONPATH=target/deps:. python3 -c 'import standins.job_store'
PYTHONPATH=target/deps:. python3 -c 'import review.standins_2.site'
