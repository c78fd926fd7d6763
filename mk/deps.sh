#!/bin/sh
# Installs the packages of mk/packages that are missing.
set -eu
missing=
for p in $(cat "$(dirname "$0")/packages"); do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
