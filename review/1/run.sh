#!/bin/sh
# Exits with 1 if a keyed request was run twice, 0 if none was, 2 if the case could not run.
# TROUBLE=0: no breaks. Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 test.py
