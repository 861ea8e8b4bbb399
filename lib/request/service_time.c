/*
 * Moving average of the service times of a kind of work, by which admission
 * predicts when work ends.
 */
#include "libjd.h"

/* Window of the moving average of service times, in samples. */
#define AVERAGE_WINDOW 8

/* Adds a measured service time to the moving average. */
void
JdServiceTime_Add(JdServiceTime *st, uint64_t took)
{
    if (st->mean == 0) {
        st->mean = took;
    }
    else {
        st->mean += took / AVERAGE_WINDOW - st->mean / AVERAGE_WINDOW;
    }
}

/* Adds the run time of aborted work.  It is a lower bound of the service time,
 * so it counts only if it raises the average. */
void
JdServiceTime_AddLowerBound(JdServiceTime *st, uint64_t took)
{
    if (took > st->mean) {
        JdServiceTime_Add(st, took);
    }
}

/* Lowers the average.  It is called when the average alone made admission
 * refuse work while a slot was free; without it no work would run and the
 * average would never be measured again. */
void
JdServiceTime_Decay(JdServiceTime *st)
{
    st->mean -= st->mean / AVERAGE_WINDOW;
}
