# More idle connections than a node may have descriptors, by its settings.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
CROWD_FDS=600
crowd_test idle --count 800
