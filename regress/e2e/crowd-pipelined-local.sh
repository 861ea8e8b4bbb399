# Small requests without end behind each other at two nodes, one of them that of
# the target, whose answers nobody reads.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_start_fleet
crowd_start 1-1 pipelined --count 24 --body 100
crowd_start 1-2 pipelined --count 24 --body 100
crowd_watch 1-1 1-2
crowd_check 1-1
crowd_check 1-2
