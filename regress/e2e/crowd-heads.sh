# Many heads that do not end.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test head --count 1200 --body 64000
