#!/bin/sh
# Each flag of a program is in its manual page.  Guards against pages that lag
# behind the settings.
: "${TG_BIN:?run by tests/run.sh}"
for prog in tgconsoled tgctl tgburn; do
	page=$TG_TESTS/../cmd/$prog/$prog.1
	flags=$("$TG_BIN/$prog" --help | grep -o '^ *\(-[a-z], \)*--[a-z-]*' |
		grep -o -e '--[a-z-]*')
	n=0
	for f in $flags; do
		case $f in --help | --version) continue ;; esac
		n=$((n + 1))
		grep -q -e "$f\([^a-z-]\|\$\)" "$page" ||
			echo "$prog.1: $f is missing"
	done
	echo "$prog: $([ $n -gt 5 ] && echo checked || echo "only $n flags")"
done
