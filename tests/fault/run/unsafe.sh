#!/bin/sh
# Cases of stdin (violation, seed or scene, ROLE=FLAG, options): each a random
# fault run, or a scene, with a protection turned off and one with it on.
# Whether a drawn fault hits in time depends on the machine, so that a drawn run
# without the protection has some tries; a scene and the run with it have one.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
here=$(dirname "$0")
cat >"$out/cases"

cat >"$out/one" <<END
#!/bin/sh
# OUT VIOLATION TRIES ARGUMENT...: until the violation is found
o=\$1 name=\$2 tries=\$3
shift 3
while :; do
	sh "$here/random-run.sh" "\$@" >"\$o" 2>"\$o.violations"
	tries=\$((tries - 1))
	[ \$tries -gt 0 ] || break
	grep -q "^violation \$name:" "\$o.violations" && break
done
:
END
# Four runs at once start about 60 processes.
while read -r name run flag args; do
	case $run in
	*[!0-9]*) args="$args --scene $run" tries=1 ;;
	*) args="$args --seed $run" tries=4 ;;
	esac
	echo "$out/$name.on $name 1 $args"
	echo "$out/$name.off $name $tries $args --flag $flag"
done <"$out/cases" | xargs -P 4 -L 1 sh "$out/one"
while read -r name run flag args; do
	case $run in
	*[!0-9]*) ;;
	*) run="seed $run" ;;
	esac
	echo "$name, $run, $flag: $(grep -q "^violation $name:" \
		"$out/$name.off.violations" && echo found || echo not found)"
	echo "$name, $run: $(sed 's/.*\(violations.*\)/\1/' \
		"$out/$name.on")"
	cat "$out/$name.on.violations" >&2
done <"$out/cases"
