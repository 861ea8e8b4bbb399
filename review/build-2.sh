#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into target/review-2: the
# project's own stand-in of the platform's store, and the worker, the client and
# the caller of single requests beside this file.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
make -s BUILD=target/out target/out/jd-stored
cp target/out/jd-stored $out/jd-stored
for name in worker client call; do
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -Wno-format-truncation -O1 -g -Wall -Wextra -pthread \
	    -o $out/$name review/stand-2/$name.c
done
