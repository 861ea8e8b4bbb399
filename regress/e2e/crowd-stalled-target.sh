# Many whole bodies at once, whose target does not answer.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_start_fleet
platform_control_worker 1-1 mode=stall
crowd_start 1-1 length --count 24 --whole 24 --body 4194304
crowd_start 1-2 length --count 24 --whole 24 --body 4194304
sleep $CROWD_SECONDS
platform_control_worker 1-1 mode=ok
crowd_watch 1-1 1-2
crowd_check 1-1
crowd_check 1-2
