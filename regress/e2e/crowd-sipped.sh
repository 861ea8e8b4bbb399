# Large answers that are read very slowly, beside ordinary large ones.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_start_fleet
crowd_start 1-2 sipped --count 24 --requests 8 --path /mould/answer-2097152/
crowd_check_large 1-2
crowd_watch 1-2
crowd_check 1-1
crowd_check 1-2
