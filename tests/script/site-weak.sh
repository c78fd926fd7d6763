#!/bin/sh
# A weak instance leaves the site to a stronger one, and takes it if there is
# none.  Guards against an owner that is too slow to answer its workers.
. "$(dirname "$0")/../site-lib.sh"
start_site
share=0.01
start_instance 1
share=0.5
start_instance 2
await "an owner" owner_of 1 2
echo "owner $(owner_of 1 2)"
crash flow-2
await "another owner" owns 1
submit 1 00000000000000a1 "ms=100" "$(steps 2)" && echo
await_state 1 00000000000000a1 completed
judge
