# jacinthctl explain on logs of three nodes: a request lost to a node that died,
# one refused for lack of room, one refused by an old version, one unknown.
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
