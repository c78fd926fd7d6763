#!/bin/sh
# Backend servers of the own AZ come first, those of another AZ are used only
# if the own has none.  Guards against cross-region traffic, which is billed,
# and against refusals while another AZ could serve.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$(echo "$document" | jq '.services[0].azs = ["a", "b"]')"
start_entry e-1
far() {
	start "$1" workerd --name="$1" --az=b --log-level=warn \
		--platform="$platform_http"
}
url=http://$e_1_http/v1/svc

echo "# none anywhere"
call none .place -H 'Tg-Workspace: courts' "$url/responder/a"

echo "# only the other AZ has one"
far w-b
await "the far one" knows_worker e-1 w-b up
call far .worker -H 'Tg-Workspace: courts' "$url/responder/a"
call not-there .place -H 'Tg-Workspace: courts' "$url/brisk/a"

echo "# the own AZ has one, also when its slots are in use"
start_worker w-a --slots=1
await "the near one" knows_worker e-1 w-a up
for i in 1 2 3 4 5 6; do
	later "near-$i" .worker -H 'Tg-Workspace: courts' \
		"$url/responder/a?work_ms=50"
done
join near-1 near-2 near-3 near-4 near-5 near-6

echo "# it drains"
fault w-a '{"draining":true}'
await "the drain" knows_worker e-1 w-a draining
call far-again .worker -H 'Tg-Workspace: courts' "$url/responder/a"
stop e-1
