#!/bin/sh
# Plays the case; `TROUBLE=0` leaves its disruption out. The exit code is that of the issue.
cd "$(dirname "$0")" && exec python3 -B case.py
