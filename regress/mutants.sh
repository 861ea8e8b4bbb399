#!/usr/bin/env bash
# The test of the tests: builds each mutant of mutants.txt in a scratch copy
# and sees to it that the named test fails.  Arguments: names of mutants.
set -u
cd "$(dirname "$0")/.." || exit 1
passed=0
failed=0
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
make -s -C "$scratch" -j"${JOBS:-$(nproc)}" tests >/dev/null || exit 1

wanted() { # NAME
	local w
	[ ${#names[@]} -eq 0 ] && return 0
	for w in "${names[@]}"; do
		[ "$w" = "$1" ] && return 0
	done
	return 1
}

verdict() { # NAME TEXT GOOD
	if [ "$3" = yes ]; then
		passed=$((passed + 1))
		echo "ok      $1: $2"
	else
		failed=$((failed + 1))
		echo "FAILED  $1: $2"
	fi
}

names=("$@")
while IFS='@' read -r name file edit test; do
	case $name in '#'* | '') continue ;; esac
	wanted "$name" || continue
	cp "$file" "$scratch/$file"
	sed -i "$edit" "$scratch/$file"
	if cmp -s "$file" "$scratch/$file"; then
		verdict "$name" "the edit matches nothing" no
		continue
	fi
	if ! make -s -C "$scratch" -j"${JOBS:-$(nproc)}" tests >/dev/null 2>&1; then
		verdict "$name" "does not build" no
	elif (cd "$scratch" && bash regress/run.sh "$test") >/dev/null 2>&1; then
		verdict "$name" "$test passes all the same" no
	else
		verdict "$name" "$test fails as it should" yes
	fi
	cp "$file" "$scratch/$file"
done <regress/mutants.txt
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
