#!/bin/sh
# Runs the case in a folder: common/run.sh FOLDER. Exits with 1 if the rule was
# broken, with 0 if it held, and with 2 if the case could not run. With
# TROUBLE=0 the case runs without its disruption.
set -u
folder=$(cd "$1" && pwd)
CASE_TMP=$(mktemp -d) || exit 2
CASE_RECORD=$folder/record.txt
export CASE_TMP CASE_RECORD
python3 -B "$folder/case.py"
code=$?
rm -rf "$CASE_TMP"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
