/*
 * Standing queues, told from bursts by how long work has waited without a
 * break, as in CoDel (Nichols and Jacobson).  For load above the capacity that
 * lasts: a queue as long as the latency goal allows then delays all work and
 * serves no more of it, so that each run that takes longer than most is late.
 * A short queue keeps the slots as busy, and what it does not take is refused
 * while its caller can still be served elsewhere.
 */
#include "libjd.h"

/* Time for which work has to wait without a break until the queue counts as
 * standing, in percent of the mean service time. */
#define STANDING_TIME_PERCENT 200
/* Longest wait in a standing queue, in percent of the mean service time.  It
 * has to keep all slots busy between two arrivals. */
#define LONGEST_WAIT_PERCENT 75

/* Work of a rank joins the queue. */
void
JdBacklog_Add(JdBacklog *bl, unsigned rank, uint64_t now)
{
    for (unsigned r = rank; r < JD_RANKS; r++) {
        if (bl->queued[r]++ == 0) {
            bl->began_at[r] = now;
        }
    }
}

/* Work of a rank leaves the queue. */
void
JdBacklog_Remove(JdBacklog *bl, unsigned rank)
{
    for (unsigned r = rank; r < JD_RANKS; r++) {
        bl->queued[r]--;
    }
}

/*
 * Returns the longest wait in us for which work of a rank may join the queue,
 * UINT64_MAX while it may be a burst.  Only work of this rank and higher ones
 * tells: a queue of lower ones does not delay it.  `mean` is the mean service
 * time in us, 0: unknown.
 */
uint64_t
JdBacklog_LongestWait(const JdBacklog *bl, unsigned rank, uint64_t mean,
                      uint64_t now)
{
    if (bl->queued[rank] == 0 || mean == 0 ||
        now - bl->began_at[rank] <= mean * STANDING_TIME_PERCENT / 100) {
        return UINT64_MAX;
    }
    return mean * LONGEST_WAIT_PERCENT / 100;
}
