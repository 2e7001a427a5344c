#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec timeout -k 5 118 python3 review/3/case.py
