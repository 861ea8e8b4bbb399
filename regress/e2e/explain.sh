# jacinthctl explain on the logs of three nodes, with a truncated line and a
# collector's prefix: a request whose connection broke when a node failed, one
# refused by full queues, one without a route in the version in force, and one
# that no line mentions.  A file that cannot be opened is an input error.
cd regress/e2e/explain || exit 1
ctl=../../../${BUILD:-build}/jacinthctl
case ${BUILD:-build} in /*) ctl=$BUILD/jacinthctl ;; esac
for id in aa11 bb22 cc33 dd44; do
	echo "# $id"
	$ctl explain $id klang-1.log penang.log
	echo "exit $?"
done
$ctl explain aa11 none.log 2>&1
echo "exit $?"
