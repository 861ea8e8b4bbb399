# More bodies that come byte by byte than a node may have descriptors.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
CROWD_KERNEL_FDS=400
crowd_test trickled --count 600 --body 20000
