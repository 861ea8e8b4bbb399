# Many chunked bodies in chunks of one byte, most of which stop short.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test chunked --count 40 --whole 4 --body 2097152 --piece 1
