#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. They are Python and use the packages that
# the build of the deploy file has placed in target/deps; this compiles and imports them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q standins review/rig review/loopback
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.py" ]; then python3 -m compileall -q "$folder"; fi
done
PYTHONPATH=target/deps:. python3 -c "import standins.prepared, review.rig.rig
import review.loopback.engine, review.loopback.fleet, review.loopback.large_server
import review.loopback.plain_server, review.loopback.proxy"
