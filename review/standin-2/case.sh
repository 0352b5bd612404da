#!/bin/sh
# case.sh NUMBER CLASS: runs a case of the second review; its run.sh calls this.
here="$(cd "$(dirname "$0")/../.." && pwd)"
cd "$here" || exit 2
[ -f target/tallycart-node.jar ] && [ -f "target/review-2/$2.class" ] || {
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
}
dir="$(mktemp -d)" || exit 2
trap 'kill "$java" 2>/dev/null; wait "$java" 2>/dev/null; rm -rf "$dir"; exit 2' INT TERM
java -Xmx700m -cp target/review-2:target/tallycart-node.jar "$2" "$here" "$dir" "review/$1/record.txt" "${TROUBLE:-1}" &
java=$!
wait "$java"
code=$?
rm -rf "$dir"
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
