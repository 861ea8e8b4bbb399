# The same in pieces of 1,400 bytes.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test length --count 40 --whole 4 --body 4194304 --piece 1400
