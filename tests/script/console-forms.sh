#!/bin/sh
# The forms of the console.  Guards against typed values that are lost by
# findings, by a race or by the end of a session, against markup that is not
# escaped, and against forms from other sites.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
start platform platformd --log-level=warn
start console tgconsoled --instance=c-1 --az=a --drain-grace-ms=0 \
	--platform="$platform_http" --operator-key-file="$tmp/key"
url=http://$console_http

# page LABEL CURL-ARGUMENT...: prints LABEL and status; page in $tmp/page
page() {
	label=$1
	shift
	status=$(curl -s -b "$tmp/jar" -c "$tmp/jar" -D "$tmp/head" \
		-o "$tmp/page" -w '%{http_code}' "$@")
	echo "$label: $status"
}
# shows PATTERN: prints the lines of the page that match
# The token is random, so that its line may match by chance.
shows() {
	grep -E "$1" "$tmp/page" | grep -v 'name="token"' ||
		echo "(no line with $1)"
}
value() { # value of the input with this name
	grep -o "name=\"$1\"[^>]*" "$tmp/page" | sed 's/.*value="/value="/'
}
submit() { # LABEL ACTION CURL-ARGUMENT...
	label=$1 action=$2
	shift 2
	page "$label" --data-urlencode "token=$token" \
		--data-urlencode "generation=$generation" \
		--data-urlencode "do=$action" "$@" "$url/"
}

echo "# login"
page without-session "$url/"
shows '<h1>'
page wrong-key -d "name=Ada&key=wrong" "$url/login"
shows alert
page login -d "name=Ada&key=$key" "$url/login"
tr -d '\r' <"$tmp/head" | sed -n 's/tgconsole=[0-9a-f]*/tgconsole=TOKEN/p; /^Location/p'
page empty "$url/"
tr -d '\r' <"$tmp/head" | grep -E '^(Content-Sec|X-Content|Cache)'
shows '<h1>|Generation'
token=$(value token | sed 's/value="\([^"]*\).*/\1/')
generation=$(value generation | sed 's/value="\([^"]*\).*/\1/')
echo "generation $generation, token of ${#token} digits"

echo "# findings at their fields, with what was typed"
submit add "add /workspaces" -d "/weights/completion=70"
shows 'role="status"|legend'
value /weights/completion
submit invalid save \
	--data-urlencode '/weights/completion=-1' \
	--data-urlencode '/workspaces/0/name=<script>"&' \
	--data-urlencode '/workspaces/0/rate_per_s=many' \
	--data-urlencode '/workspaces/0/max_in_flight=99999999999999999999' \
	--data-urlencode '/workspaces/0/guarantees/0/az=a' \
	--data-urlencode '/workspaces/0/guarantees/0/lapses=soon' \
	--data-urlencode '/services/0/name=responder' \
	--data-urlencode '/services/0/workspaces=courts nobody' \
	--data-urlencode '/services/0/azs=a' \
	--data-urlencode '/services/0/objective/availability=2'
shows '<li>|class="fault"|alert'
shows '^<legend|script|many|9999|soon|courts nobody|="2"'

echo "# save"
submit save save \
	--data-urlencode '/weights/completion=70' \
	--data-urlencode '/workspaces/0/name=courts' \
	--data-urlencode '/workspaces/0/rate_per_s=200' \
	--data-urlencode '/services/0/name=responder' \
	--data-urlencode '/services/0/workspaces=courts' \
	--data-urlencode '/services/0/azs=a, b' \
	--data-urlencode '/services/0/idempotent_methods=none' \
	--data-urlencode '/services/0/objective/availability=0.999' \
	--data-urlencode '/drains/0/worker=w-17'
tr -d '\r' <"$tmp/head" | grep Location
page saved "$url/?saved=1"
shows 'role="status"'
value /services/0/idempotent_methods
value /services/0/objective/availability
call document .document -H "Authorization: Bearer $key" "$url/v1/document"

echo "# names of fields as browsers encode them"
page encoded -d "token=$token&generation=1&do=check" \
	-d '%2Fworkspaces%2F0%2Fname=a%2Bb+c' "$url/"
value /workspaces/0/name

echo "# remove"
generation=1
submit remove "remove /drains/0" --data-urlencode '/drains/0/worker=w-17' \
	--data-urlencode '/drains/1/worker=w-18'
value /drains/0/worker

echo "# race"
call other .generation -X PUT -H "Authorization: Bearer $key" \
	-H 'X-Tg-Operator: <b>grace</b>' -d '{"version":1,"workspaces":[
	{"name":"courts","rate_per_s":300},{"name":"clerks"}]}' \
	"$url/v1/document?generation=1"
submit race save --data-urlencode '/workspaces/0/name=courts' \
	--data-urlencode '/workspaces/0/rate_per_s=250' \
	--data-urlencode '/workspaces/0/max_in_flight=9'
shows 'alert|Changed by|<td>'
value /workspaces/0/rate_per_s
value /workspaces/0/max_in_flight
generation=$(value generation | sed 's/value="\([^"]*\).*/\1/')
echo "generation $generation"
submit merged save --data-urlencode '/workspaces/0/name=courts' \
	--data-urlencode '/workspaces/0/rate_per_s=250' \
	--data-urlencode '/workspaces/0/max_in_flight=9' \
	--data-urlencode 'take={"place":"/workspaces/0/rate_per_s","name":"courts","ours":250,"theirs":300}' \
	--data-urlencode 'take={"place":"/workspaces/1","name":"clerks","theirs":{"name":"clerks"}}'
call document .document -H "Authorization: Bearer $key" "$url/v1/document"
page history "$url/history"
grep -o '<td>[0-9]*</td><td>[^<]*</td>' "$tmp/page"

echo "# forms from elsewhere"
generation=3
real=$token
token=
submit no-token save --data-urlencode '/workspaces/0/name=typed'
shows alert
value /workspaces/0/name
token=00000000000000000000000000000000
submit wrong-token save --data-urlencode '/workspaces/0/name=typed'
token=$real
submit cross-site save -H 'Sec-Fetch-Site: cross-site' \
	--data-urlencode '/workspaces/0/name=typed'

echo "# lost answer of the table"
fault platform '{"outage":"lose_answer","paths":"/v1/table/txn"}'
submit unknown save --data-urlencode '/workspaces/0/name=typed'
shows alert
value /workspaces/0/name
fault platform '{}'

echo "# end of the session"
page logout -X POST "$url/logout"
submit ended save --data-urlencode '/workspaces/0/name=typed-late'
shows 'alert|<h1>'
typed="token=$token&generation=4&do=save&%2Fworkspaces%2F0%2Fname=typed-late"
page again -d "name=Ada&key=$key" --data-urlencode "typed=$typed" "$url/login"
shows 'role="status"'
value /workspaces/0/name
call document .generation -H "Authorization: Bearer $key" "$url/v1/document"
stop console
