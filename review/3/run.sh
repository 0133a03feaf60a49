#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 leaves out the disruption.
folder="$(dirname "$0")"
exec "$folder/../standin/run-case" wave "$folder"
