# Small requests without end behind each other, whose answers nobody reads.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test pipelined --count 24 --body 100
