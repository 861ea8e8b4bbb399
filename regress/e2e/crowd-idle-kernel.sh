# More idle connections than the kernel gives a node descriptors.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
CROWD_KERNEL_FDS=400
crowd_test idle --count 800
