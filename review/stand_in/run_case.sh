#!/usr/bin/env bash
# Runs the case of the folder that is named, with the project's processes of target/vanillashunt.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
driver="target/review/case$(basename "$folder")"
if [ ! -x target/vanillashunt ] || [ ! -x "$driver" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
CASE_FOLDER=$(mktemp -d)
RECORD="$folder/record.txt"
export CASE_FOLDER RECORD
timeout --signal=KILL 115 "$driver"
code=$?
rm -rf "$CASE_FOLDER"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
