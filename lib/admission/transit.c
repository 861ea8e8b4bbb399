/*
 * Time that messages spend on the way beyond the usual, measured one way
 * between clocks that are not synchronized.  Each message carries the sender's
 * clock; the smallest difference to the receiver's clock is the one on an idle
 * link, and what exceeds it is queueing.  For links that are so full that a
 * request uses much of its time on the way: the target's node takes that time
 * off, and so refuses it while its caller can still be told.
 */
#include "libjd.h"

/* Time after which the smallest difference is raised by 1 ms, as clocks may
 * drift apart by this much (100 ppm). */
#define DRIFT_TIME (10 * JD_US_PER_S)

/* Returns the stamp of a message that is sent at `now`.  It is never 0. */
uint32_t
JdTransit_Stamp(uint64_t now)
{
    uint32_t ms = (uint32_t)(now / JD_US_PER_MS);

    return ms == 0 ? 1 : ms;
}

/* Raises the smallest difference by what the clocks may have drifted apart. */
static void
allow_for_drift(JdTransit *tr, uint64_t now)
{
    uint64_t ms = (now - tr->raised_at) / DRIFT_TIME;

    tr->least_offset_ms += (uint32_t)ms;
    tr->raised_at += ms * DRIFT_TIME;
}

/* Records the stamp of a message that arrived at `now`, 0: it has none.
 * Returns the time in us that it was delayed on the way. */
uint64_t
JdTransit_Record(JdTransit *tr, uint32_t stamp, uint64_t now)
{
    uint32_t offset = (uint32_t)(now / JD_US_PER_MS) - stamp;

    if (stamp == 0) {
        return 0;
    }
    allow_for_drift(tr, now);
    /* The difference of two offsets is small, though each may be any number.
     */
    if (!tr->is_known || (int32_t)(offset - tr->least_offset_ms) < 0) {
        tr->is_known = true;
        tr->least_offset_ms = offset;
        tr->raised_at = now;
    }
    return (offset - tr->least_offset_ms) * JD_US_PER_MS;
}
