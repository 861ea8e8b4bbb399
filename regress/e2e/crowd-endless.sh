# Chunked bodies without end.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
crowd_test endless --count 24 --piece 1048576
