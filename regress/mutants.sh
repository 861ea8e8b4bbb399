#!/usr/bin/env bash
# Mutation test: builds each mutant of mutants.txt in a scratch copy of the tree
# and checks that its test fails.  Arguments: names of mutants, default all.
set -u
cd "$(dirname "$0")/.." || exit 1
passed=0
failed=0
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
make -s -C "$scratch" -j"${JOBS:-$(nproc)}" tests >/dev/null || exit 1

is_selected() { # NAME
	local selected
	[ ${#names[@]} -eq 0 ] && return 0
	for selected in "${names[@]}"; do
		[ "$selected" = "$1" ] && return 0
	done
	return 1
}

report_result() { # NAME TEXT IS_DETECTED
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
	is_selected "$name" || continue
	cp "$file" "$scratch/$file"
	sed -i "$edit" "$scratch/$file"
	if cmp -s "$file" "$scratch/$file"; then
		report_result "$name" "the sed command changes nothing" no
		continue
	fi
	if ! make -s -C "$scratch" -j"${JOBS:-$(nproc)}" tests >/dev/null 2>&1; then
		report_result "$name" "does not build" no
	elif (cd "$scratch" && bash regress/run.sh "$test") >/dev/null 2>&1; then
		report_result "$name" "$test does not detect it" no
	else
		report_result "$name" "detected by $test" yes
	fi
	cp "$file" "$scratch/$file"
done <regress/mutants.txt
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
