# Many bodies of legal size at once, most of which stop one byte short of
# their end.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test length --count 40 --whole 4 --body 4194304
