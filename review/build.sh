#!/bin/sh
# Builds what the cases start: the project's stand-ins and those of this folder. It needs no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q whintrail review
