# Many whole bodies at once at the node of their target.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_start_fleet
crowd_start 1-1 length --count 40 --whole 40 --body 4194304
crowd_watch 1-1
crowd_check 1-1
