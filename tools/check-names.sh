#!/bin/sh
# Fails if names of the users' platform stand outside platform/: everything
# else speaks the product's own words.
set -eu
cd "$(dirname "$0")/.."
names='run-start|run-stop|rows-tx|rows-get|rows-feed|seen-upto|fence-token'
names="$names|Tarragonfield-|X-Api-Key|machine-move|machine-upkeep"
if git grep -nE "$names" -- . ':!platform' ':!deploy' ':!docs' ':!journal' \
	':!tests' ':!tools'; then
	echo "names of the platform outside platform/" >&2
	exit 1
fi
