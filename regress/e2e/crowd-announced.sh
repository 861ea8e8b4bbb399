# Bodies far over the limit, announced and sent.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test announced --count 96 --body 1073741824 --announce 10737418240
