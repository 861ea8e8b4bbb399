#!/bin/sh
# Builds the stand-ins of the cases into review/out: the project's own store,
# and a worker and a client of the review.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=review/out/own review/out/own/jd-stored
cc -std=gnu11 -O2 -g -Wall -pthread -o review/out/worker review/stand/worker.c
cc -std=gnu11 -O2 -g -Wall -o review/out/client review/stand/client.c
