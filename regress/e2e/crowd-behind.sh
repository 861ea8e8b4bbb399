# Large bodies behind a small request, whose answers nobody reads.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test behind --count 40 --whole 4 --body 4194304
