/*
 * Times at which refused callers may return, as the node that refuses them
 * tells.  For load above the capacity that lasts: callers who all return after
 * the time that the queue takes now find it as full as before.  Each caller is
 * promised a part of the room for returning ones, one after the other and
 * higher ranks first, so that they return spread.
 */
#include "libjd.h"

/* Share of the slots that is promised to returning callers, in percent.  The
 * rest is for those who come for the first time, or nobody were in time. */
#define RETURN_PERCENT 25
/* Longest time.  Callers wait less, so it says that there is no room for them.
 */
#define RETURN_TIME_MAX (60 * JD_US_PER_S)

/* Takes off the room that callers have had since the last change. */
static void
drain(JdPromises *pr, double slots, uint64_t now)
{
    double room =
        (double)(now - pr->updated_at) * slots * RETURN_PERCENT / 100;

    for (int r = 0; r < JD_RANKS && room > 0; r++) {
        double used = pr->owed[r] < room ? pr->owed[r] : room;

        pr->owed[r] -= used;
        room -= used;
    }
    pr->updated_at = now;
}

/* Promises room to a refused request that takes `cost` us.  `slots` is the
 * part of the service's slots that callers of this node use.  Returns the time
 * in us until the room is free. */
uint64_t
JdPromises_Make(JdPromises *pr, unsigned rank, uint64_t cost, double slots,
                uint64_t now)
{
    double ahead = 0;
    double wait;

    drain(pr, slots, now);
    for (unsigned r = 0; r <= rank && r < JD_RANKS; r++) {
        ahead += pr->owed[r];
    }
    wait = ahead * 100 / (RETURN_PERCENT * slots);
    if (wait >= (double)RETURN_TIME_MAX) {
        return RETURN_TIME_MAX;
    }
    pr->owed[rank] += (double)cost;
    return (uint64_t)wait;
}
