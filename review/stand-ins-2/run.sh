#!/usr/bin/env bash
# Runs the script of a case, run.mjs in the given folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
node "$1/run.mjs"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
