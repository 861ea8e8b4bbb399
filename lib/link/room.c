/*
 * Admission of requests whose responses are large.  It answers the load of
 * more large responses than a link carries: one that cannot be whole in time
 * is refused before it runs, with the time at which there is room.
 */
#include <string.h>

#include "libjd.h"

/* Size that a response is expected to have while none has been seen. */
#define DEFAULT_SIZE 65536U
/* Bytes of large responses that are kept in memory at a time. */
#define MAX_BYTES (32U << 20)
/* Responses over which the size is averaged. */
#define SIZE_WEIGHT 64
/* Part of the time until a caller wants a response in which it is to be whole
 * by what is expected: sizes and run times are averages. */
#define SOFT_TIME_PERCENT 80
/* A response that is late in any case may wait for the link for this part of
 * the time that is left. */
#define LATE_WAIT_DIVISOR 4
/* Longest time that a refused caller is told to wait. */
#define RETRY_AFTER_MAX (2 * JD_US_PER_S)
/* Shortest time, and least spread of the callers that are refused at once. */
#define RETRY_AFTER_MIN (100 * JD_US_PER_MS)

/* Adds the size of a response to the average. */
void
JdLinkSize_Add(JdLinkSize *sz, uint64_t bytes)
{
    int64_t difference = (int64_t)bytes - (int64_t)sz->mean;

    if (sz->count < SIZE_WEIGHT) {
        sz->count++;
    }
    sz->mean = (uint64_t)((int64_t)sz->mean + difference / (int64_t)sz->count);
}

/* Returns the size that the next response is expected to have. */
uint64_t
JdLinkSize_Expected(const JdLinkSize *sz)
{
    return sz->count == 0 ? DEFAULT_SIZE : sz->mean;
}

/* Initializes the admission to a link. */
void
JdLinkRoom_Init(JdLinkRoom *lr, JdPacer *pc, JdLinkQueue *lq)
{
    memset(lr, 0, sizeof(*lr));
    lr->pacer = pc;
    lr->queue = lq;
}

static uint64_t
time_to_write(const JdLinkRoom *lr, uint64_t bytes)
{
    return (uint64_t)((double)bytes * JD_US_PER_S /
                      (JdPacer_ChunkRate(lr->pacer) + 1));
}

/* Returns the time in us that the link needs for what is queued before a new
 * response and for the responses of the work in progress. */
uint64_t
JdLinkRoom_Wait(const JdLinkRoom *lr)
{
    JdLinkMoment moment = {JdClock_Now(lr->pacer->clock),
                           JdPacer_ChunkRate(lr->pacer)};
    size_t ahead = JdLinkQueue_BytesAhead(lr->queue, &moment);

    return time_to_write(lr, ahead + lr->expected) + JdPacer_Wait(lr->pacer);
}

/* Returns the time in us after which the response of a new request would be
 * whole. */
uint64_t
JdLinkRoom_UntilWhole(const JdLinkRoom *lr, const JdLinkNeed *need)
{
    uint64_t wait = JdLinkRoom_Wait(lr);

    return (wait > need->run_time ? wait : need->run_time) +
           time_to_write(lr, need->size);
}

/* Returns the time in us within which the response of a new request has to be
 * whole for it to be taken. */
static uint64_t
time_limit(const JdLinkRoom *lr, const JdLinkNeed *need)
{
    uint64_t alone = need->run_time + time_to_write(lr, need->size);
    uint64_t late = alone + need->time_left / LATE_WAIT_DIVISOR;
    uint64_t soft = need->soft_time_left * SOFT_TIME_PERCENT / 100;

    if (alone <= soft) {
        return soft;
    }
    return late < need->time_left ? late : need->time_left;
}

/*
 * Returns whether a new request is taken.  One that could be in time must be:
 * if responses were taken that are late anyway, all would be late for as long
 * as more is asked for than the link carries.
 */
bool
JdLinkRoom_Fits(const JdLinkRoom *lr, const JdLinkNeed *need)
{
    return lr->queue->bytes + lr->expected + need->size <= MAX_BYTES &&
           JdLinkRoom_UntilWhole(lr, need) <= time_limit(lr, need);
}

/*
 * Returns the time in us after which a request that does not fit would, spread
 * so that those refused together do not come back together.
 */
uint64_t
JdLinkRoom_RetryAfter(const JdLinkRoom *lr, const JdLinkNeed *need,
                      JdRandom *rnd)
{
    uint64_t whole = JdLinkRoom_UntilWhole(lr, need);
    uint64_t limit = time_limit(lr, need);
    uint64_t wait = whole > limit ? whole - limit : 0;

    if (wait < RETRY_AFTER_MIN) {
        wait = RETRY_AFTER_MIN;
    }
    wait += JdRandom_Below(rnd, wait);
    return wait < RETRY_AFTER_MAX ? wait : RETRY_AFTER_MAX;
}

/* Keeps room for the response of a request that is taken. */
void
JdLinkRoom_Reserve(JdLinkRoom *lr, JdLinkClaim *claim, uint64_t bytes)
{
    claim->bytes = bytes;
    lr->expected += bytes;
}

/* Gives up the room of a request whose response is there or does not come. */
void
JdLinkRoom_Release(JdLinkRoom *lr, JdLinkClaim *claim)
{
    lr->expected -= claim->bytes;
    claim->bytes = 0;
}
