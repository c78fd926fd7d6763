#!/bin/sh
# Names of queues and workspaces were cut after 63 bytes.  Cut within a
# character, such a name could not be encoded, and each submission ended the
# queue daemon.  Jobs under names of any length must be accepted and run.
. "$TG_TESTS/site-lib.sh"

# named PREFIX_BYTES END: a name whose first 63 bytes end within END
named() {
	printf "%0${1}d%s and more" 0 "$2"
}

# add_names CONFIG NUMBER NAME: a queue and a workspace of that name
add_names() {
	echo "$1" | jq -c --arg i "$2" --arg name "$3" '
		.routes += [.routes[0] | .name = $name |
			.["path-prefix"] = "/q\($i)/"] |
		.tenants += [{"name":$name,"api-keys":["key\($i)"]}]'
}

start_site --stores=2 --workers=4
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
document=$(echo "$config" | jq -c '.version = 9')
document=$(add_names "$document" 1 "$(named 62 é)")
document=$(add_names "$document" 2 "$(named 61 €)")
document=$(add_names "$document" 3 "$(named 62 €)")
document=$(add_names "$document" 4 "$(named 60 𝄞)")
document=$(add_names "$document" 5 "$(named 62 𝄞)")
document=$(add_names "$document" 6 "$(named 63 "$(named 400 é)")")
control config "$document"
for n in 1 2; do
	key=key6
	await "the document on $n" answers_at $n /q6/ 410
done

for q in 1 2 3 4 5 6; do
	for n in 1 2; do
		key=key$q
		job=00000000000000$q$n
		echo "name $q, instance $n: $(submit $n $job "ms=300" \
			"$(steps 1)" "q$q")"
	done
done
for q in 1 2 3 4 5 6; do
	for n in 1 2; do
		await_state $n 00000000000000$q$n completed
	done
done
judge
