# Frames at the port for nodes that stop one byte short of their end.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_start_fleet
crowd_start_at 1-1 7000 frame --count 960 --body 60000
crowd_watch 1-1 1-2
crowd_check 1-1
crowd_check 1-2
