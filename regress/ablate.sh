#!/usr/bin/env bash
# Makes a copy of the tree in FOLDER/NAME for each row of ablations.txt, with
# that decision switched off, to be measured beside the tree itself.
# Arguments: FOLDER, then names of rows, default all.
set -eu
cd "$(dirname "$0")/.."
folder=$1
shift

is_selected() { # NAME SELECTED...
	local name=$1
	shift
	[ $# -eq 0 ] || [[ " $* " == *" $name "* ]]
}

while IFS='@' read -r name file edit; do
	case $name in '#'* | '') continue ;; esac
	is_selected "$name" "$@" || continue
	mkdir -p "$folder/$name"
	git ls-files -co --exclude-standard | tar -cf - -T - |
	    tar -xf - -C "$folder/$name"
	sed -i "$edit" "$folder/$name/$file"
	if cmp -s "$file" "$folder/$name/$file"; then
		echo "$name: the sed command changes nothing" >&2
		exit 1
	fi
	echo "$folder/$name"
done <regress/ablations.txt
