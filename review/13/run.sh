#!/bin/sh
# TROUBLE=0: without the disruption.  Exit: 1 rule broken, 0 held, 2 not run.
cd "$(dirname "$0")" && exec timeout -k 5 118 python3 case.py
