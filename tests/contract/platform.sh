#!/bin/sh
# The platform stand-in against docs/platform-contract.md.  A stand-in that
# breaks the contract would make every other test with it meaningless.
. "$(dirname "$0")/common.inc"
start platformd platformd
url=http://$http

txn() { # NAME BODY
	call "$1" . -d "$2" "$url/v1/table/txn"
}

echo "# conditions, conflicts, versions, tokens"
while IFS='|' read -r name body; do
	txn "$name" "$body"
done <<'END'
insert|{"token":"t1","if":[{"key":"jobs/a/1","version":0}],"put":[{"key":"jobs/a/1","value":{"n":1}}]}
insert again, same token|{"token":"t1","if":[{"key":"jobs/a/1","version":0}],"put":[{"key":"jobs/a/1","value":{"n":1}}]}
update|{"token":"t2","if":[{"key":"jobs/a/1","version":1}],"put":[{"key":"jobs/a/1","value":{"n":2}}]}
update of an old version|{"token":"t3","if":[{"key":"jobs/a/1","version":1}],"put":[{"key":"jobs/a/1","value":{"n":3}}]}
update of an absent row|{"token":"t4","if":[{"key":"none","version":3}],"put":[{"key":"none","value":{}}]}
one of two conditions fails|{"token":"t5","if":[{"key":"jobs/a/1","version":2},{"key":"none","version":1}],"put":[{"key":"jobs/a/1","value":{"n":9}},{"key":"b","value":{}}]}
condition on a row that is not put|{"token":"t6","if":[{"key":"jobs/a/1","version":2}],"put":[{"key":"b","value":{"n":1}}]}
put without condition|{"token":"t7","put":[{"key":"b","value":{"n":2}}]}
put and delete|{"token":"t8","if":[{"key":"b","version":2}],"put":[{"key":"c","value":{}}],"delete":["b"]}
insert after delete|{"token":"t9","if":[{"key":"b","version":0}],"put":[{"key":"b","value":{"n":3}}]}
delete of an absent row|{"token":"t10","delete":["none"]}
only a condition|{"token":"t11","if":[{"key":"b","version":1}]}
empty|{"token":"t12"}
END

echo "# invalid transactions"
long=$(printf '%0201d' 0)
while IFS='|' read -r name body; do
	txn "$name" "$body"
done <<END
no JSON|{"token":
JSON that is no object|[1]
empty body|
same member twice|{"token":"a","token":"b"}
no token|{"put":[{"key":"k","value":{}}]}
empty token|{"token":"","put":[{"key":"k","value":{}}]}
if is no list|{"token":"t","if":{}}
negative version|{"token":"t","if":[{"key":"k","version":-1}]}
version is text|{"token":"t","if":[{"key":"k","version":"1"}]}
huge version|{"token":"t","if":[{"key":"k","version":99999999999999999999}]}
no key|{"token":"t","put":[{"key":"k","value":{}},{"value":{}}]}
key of 201|{"token":"t","put":[{"key":"$long","value":{}}]}
key with a blank|{"token":"t","put":[{"key":"a b","value":{}}]}
value is no object|{"token":"t","put":[{"key":"k","value":1}]}
no value|{"token":"t","put":[{"key":"k"}]}
delete of no text|{"token":"t","delete":[1]}
put twice|{"token":"t","put":[{"key":"k","value":{}},{"key":"k","value":{}}]}
put and delete of one row|{"token":"t","put":[{"key":"k","value":{}}],"delete":["k"]}
END
many() { # COUNT
	jq -nc --argjson n "$1" \
		'{token: "many", put: [range($n) | {key: "many/\(.)", value: {}}]}'
}
many 129 >"$tmp/many"
call "129 puts" . -d "@$tmp/many" "$url/v1/table/txn"
many 128 >"$tmp/many"
call "128 puts" '.versions | length' -d "@$tmp/many" "$url/v1/table/txn"
jq -nc '{token: "big", put: [{key: "big", value: {s: ("x" * 1048576)}}]}' \
	>"$tmp/big"
call "more than 1 MiB" . -H Expect: -d "@$tmp/big" "$url/v1/table/txn"
call "nothing of these was written" '.rows | length' \
	"$url/v1/table/rows?prefix=k"
call "wrong method" . "$url/v1/table/txn"
call "unknown page" . "$url/v1/nothing"

echo "# reads"
while IFS='|' read -r name path; do
	call "$name" . "$url$path"
done <<'END'
row|/v1/table/row?key=jobs/a/1
absent row|/v1/table/row?key=none
row without key|/v1/table/row
row with a bad key|/v1/table/row?key=a%20b
rows of a prefix|/v1/table/rows?prefix=jobs/
rows of no match|/v1/table/rows?prefix=zzz
limit 0|/v1/table/rows?prefix=many/&limit=0
limit 501|/v1/table/rows?prefix=many/&limit=501
limit is no number|/v1/table/rows?prefix=many/&limit=x
END
call "first page" '[.more, [.rows[].key]]' \
	"$url/v1/table/rows?prefix=many/&limit=3"
call "next page" '[.more, [.rows[].key]]' \
	"$url/v1/table/rows?prefix=many/&after=many/100&limit=2"
call "last page" '[.more, [.rows[].key]]' \
	"$url/v1/table/rows?prefix=many/&after=many/98&limit=2"

echo "# objects"
object=$url/v1/objects/config/1-abc
printf 'body %s' one >"$tmp/object"
call "put" . -T "$tmp/object" "$object"
echo "get: $(curl -s "$object")"
call "get of an absent object" . "$url/v1/objects/config/2"
call "bad name" . -T "$tmp/object" "$url/v1/objects/a%20b"
call "delete" . -X DELETE "$object"
call "delete of an absent object" . -X DELETE "$object"
call "get after delete" . "$object"
head -c 4194304 /dev/zero >"$tmp/object"
call "put of 4 MiB" . -H Expect: -T "$tmp/object" "$object"
echo "bytes: $(curl -s "$object" | wc -c | tr -d ' ')"
printf x >>"$tmp/object"
too_big "more than 4 MiB" -T "$tmp/object" "$url/v1/objects/more"
call "it was not kept" . "$url/v1/objects/more"

echo "# instances"
instance() { # NAME BODY
	call "$1" . -d "$2" "$url/standin/instances"
}
instance worker '{"name":"w-1","kind":"worker","az":"a","addr":"127.0.0.1:1"}'
instance entry '{"name":"e-1","kind":"entry","az":"b","addr":"127.0.0.1:2"}'
instance leaving '{"name":"w-1","kind":"worker","az":"a","addr":"127.0.0.1:1",
	"state":"leaving"}'
instance "bad name" '{"name":"W","kind":"worker","az":"a","addr":"127.0.0.1:1"}'
instance "bad kind" '{"name":"w","kind":"x","az":"a","addr":"127.0.0.1:1"}'
instance "bad address" '{"name":"w","kind":"worker","az":"a","addr":"here"}'
call "all" '[.instances[] | [.name, .kind, .state]]' "$url/v1/instances"
call "of an az" '[.instances[] | .name]' "$url/v1/instances?az=b"
tag_of() { # URL
	curl -s -D - -o "$tmp/list" "$1" | tr -d '\r' |
		sed -n 's/^ETag: //p'
}
tag=$(tag_of "$url/v1/instances?az=b")
known() { # LABEL URL
	echo "$1: $(curl -s -o "$tmp/known" -w '%{http_code} %{size_download}' \
		-H "If-None-Match: $tag" "$2")"
}
known "with its tag" "$url/v1/instances?az=b"
known "another az with that tag" "$url/v1/instances?az=a" | cut -d' ' -f1-6
call "remove" . -X DELETE "$url/standin/instances/e-1"
known "with the tag of before" "$url/v1/instances?az=b" | cut -d' ' -f1-6
call "after remove" '[.instances[] | .name]' "$url/v1/instances"

echo "# malformed HTTP"
raw() { # NAME REQUEST, a format of printf
	status=$(printf "$2" | curl -s -m 30 "telnet://$http" |
		sed -n 's/\r//; 1s/^HTTP[^ ]* //p')
	echo "$1: $status"
}
end='Connection: close\r\n\r\n'
raw "no request line" 'GARBAGE\r\n\r\n'
raw "no path" 'GET\r\n\r\n'
raw "star" "GET * HTTP/1.1\r\n$end"
raw "negative length" \
	"POST /v1/table/txn HTTP/1.1\r\nContent-Length: -5\r\n$end"
raw "huge length" \
	"POST /v1/table/txn HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n$end"
raw "NUL in a name" "GET /v1/objects/%%00 HTTP/1.1\r\n$end"
raw "bad escape in a key" "GET /v1/table/row?key=%%zz HTTP/1.1\r\n$end"
call "it still serves" '.version' "$url/v1/table/row?key=jobs/a/1"

echo "# faults"
fault() {
	curl -s -o /dev/null -d "$1" "$url/standin/faults"
}
version() { # KEY
	curl -s "$url/standin/history?prefix=$1" |
		jq -c '[.history[] | [.version, .token]]'
}
put='{"token":"f1","put":[{"key":"f","value":{}}]}'
fault '{"outage":"refuse"}'
txn "refused write" "$put"
call "refused read" . "$url/v1/instances"
fault '{"outage":"hang"}'
call "hung write" . -m 1 -d "$put" "$url/v1/table/txn"
call "hung read" . -m 1 "$url/v1/table/row?key=b"
echo "had no effect: $(version f)"
fault '{"lose_next":1}'
txn "lost answer" "$put"
txn "the next one" '{"token":"f2","put":[{"key":"f","value":{}}]}'
echo "both took effect: $(version f)"
fault '{"outage":"lose_answer","only":"objects"}'
txn "table during an outage of objects" \
	'{"token":"f3","put":[{"key":"f","value":{}}]}'
printf x >"$tmp/object"
call "lost answer of an object" . -T "$tmp/object" "$url/v1/objects/f"
fault '{"outage":"refuse","paths":"/v1/table/row?key=b"}'
call "refused path" . "$url/v1/table/row?key=b"
call "other path" '.version' "$url/v1/table/row?key=f"
fault '{}'
echo "the object is there: $(curl -s "$url/v1/objects/f")"
call "unknown fault" . -d '{"outage":"flood"}' "$url/standin/faults"
call "unknown member" '.error != null' -d '{"x":1}' "$url/standin/faults"
call "stats" '[.refused, .hung, .lost]' "$url/standin/stats"

echo "# lag of the list"
start lagging platformd --list-lag-ms 3000
url=http://$http
instance worker '{"name":"w-1","kind":"worker","az":"a","addr":"127.0.0.1:1"}'
call "at once" '.instances | length' "$url/v1/instances"
listed() {
	curl -s "$url/v1/instances" | jq -e '.instances | length == 1'
}
await "instance in the list" listed
echo "listed in the end"

echo "# limits"
start limited platformd --writes-per-s 1 --reads-per-s 1
url=http://$http
statuses() { # CURL-ARGUMENT...: of ten calls in a row, each once
	seq 10 | while read -r _; do
		curl -s -o /dev/null -w '%{http_code}\n' "$@"
	done | sort -u | xargs
}
echo "writes: $(statuses -d "$put" "$url/v1/table/txn")"
echo "reads: $(statuses "$url/v1/table/row?key=f")"

echo "# stop"
kill -TERM "$pid"
wait "$pid"
echo "exit status $?"
