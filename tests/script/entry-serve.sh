#!/bin/sh
# One entry daemon serves callers, refuses invalid requests with their place,
# and counts both.  Guards against refusals that do not say "not-run", and
# against answers of one service or caller that leak into another.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$(echo "$document" | jq '.services[1].objective =
	{"availability":0.999,"latency_ms":200,"latency_share":0.99}')"
start_worker w-1
start_entry e-1 --header-bytes=4096 --body-bytes=10000
await "backend server" knows_worker e-1 w-1 up
url=http://$e_1_http
svc=$url/v1/svc/responder

echo "# answers"
call get '[.method, .path, .workspace, .service]' \
	-H 'Tg-Workspace: courts' "$svc/a/b?x=1"
call post '[.method, .path, .body_bytes]' -H 'Tg-Workspace: courts' \
	-d hello "$svc/a"
call put '[.method, .body_bytes]' -X PUT -H 'Tg-Workspace: courts' \
	-d hello "$svc/a"
call delete-with-body '[.method, .body_bytes]' -X DELETE \
	-H 'Tg-Workspace: courts' -d hello "$svc/a"
call status .path -H 'Tg-Workspace: courts' "$svc/a?status=418"
call server-error .path -H 'Tg-Workspace: courts' "$svc/a?status=500"
call no-path .path -H 'Tg-Workspace: courts' "$svc"
call head . -I -H 'Tg-Workspace: courts' "$svc/a"
call large '.' -H 'Tg-Workspace: courts' "$svc/a?size=300000"
wc -c <"$tmp/large.body"

echo "# refusals"
call no-workspace .place "$svc/a"
call bad-workspace .place -H 'Tg-Workspace: A/B' "$svc/a"
call unknown-workspace .place -H 'Tg-Workspace: nobody' "$svc/a"
call workspace-of-another .place -H 'Tg-Workspace: small' \
	"$url/v1/svc/brisk/a"
call unknown-service .place -H 'Tg-Workspace: courts' "$url/v1/svc/none/a"
call bad-service .place -H 'Tg-Workspace: courts' "$url/v1/svc/a%20b/a"
call dots .place --path-as-is -H 'Tg-Workspace: courts' "$svc/../brisk/a"
call encoded-dots .place --path-as-is -H 'Tg-Workspace: courts' \
	"$svc/%2e%2e/brisk/a"
for ms in 0 -1 60001 99999999999999999999 1e3 x; do
	call "deadline-$ms" .place -H 'Tg-Workspace: courts' \
		-H "Tg-Deadline-Ms: $ms" "$svc/a"
done
call bad-key .place -H 'Tg-Workspace: courts' -H 'Idempotency-Key: a b' \
	-d x "$svc/a"
call bad-issued-key .place -H 'Tg-Workspace: courts' \
	-H 'Idempotency-Key: tgk1.a.e-1' -d x "$svc/a"
call long-path .place -H 'Tg-Workspace: courts' \
	"$svc/$(printf '%02100d' 0)"
head -c 10001 /dev/zero >"$tmp/big"
call long-body .place -H 'Tg-Workspace: courts' \
	--data-binary "@$tmp/big" "$svc/a"
call long-header . -H 'Tg-Workspace: courts' \
	-H "X: $(printf '%05000d' 0)" "$svc/a"
head -c 2000000 /dev/zero >"$tmp/huge"
call huge-body . -H 'Tg-Workspace: courts' -H 'Expect:' \
	--data-binary "@$tmp/huge" "$svc/a" | cut -d' ' -f1-3
call unknown-method . -X BREW -H 'Tg-Workspace: courts' "$svc/a"
call no-page .place "$url/v1/none"
call wrong-method .place -X DELETE "$url/v1/keys"

echo "# afterwards it serves, and has counted"
call get-again .path -H 'Tg-Workspace: courts' "$svc/a"
metric e-1 'tg_requests_total{service="responder",workspace="courts",outcome="answered"}'
metric e-1 'tg_requests_failed_total{service="responder",workspace="courts"}'
metric e-1 'tg_invalid_total{why="Tg-Deadline-Ms"}'
metric e-1 'tg_invalid_total{why="workspace"}'
call slow .path -H 'Tg-Workspace: courts' "$url/v1/svc/brisk/a?work_ms=300"
metric e-1 'tg_requests_slow_total{service="brisk",workspace="courts"}'
metric e-1 'tg_request_us_count{service="brisk"}'
call document .generation "$url/v1/document"
stop e-1
