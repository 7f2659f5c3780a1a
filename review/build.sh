#!/bin/sh
# Checks the stand-ins of the cases; they use what the build of the deploy file installs.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 2
exec python3 -m compileall -q review
