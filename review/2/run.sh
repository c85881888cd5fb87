#!/bin/sh
# Exits with 1 if a call got the reply to another, 0 if none did, 2 if the case could not run.
# TROUBLE=0: no new configurations. Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 test.py
