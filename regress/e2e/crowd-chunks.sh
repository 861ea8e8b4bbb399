# Many chunked bodies of legal size in large chunks, most of which stop short.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test chunked --count 40 --whole 4 --body 4194304 --piece 1048576
