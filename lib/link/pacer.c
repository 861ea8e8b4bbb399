/*
 * Token bucket of the bandwidth of a VM's link.  It answers the load of
 * large responses beside small ones on a slow link: what is handed to the
 * kernel goes out in order, so a small frame waits for all that was handed
 * over before it.  The bucket holds little, so that little is.
 */
#include <string.h>

#include "libjd.h"

/* Share of the bandwidth that is given out, in percent; headers of packets
 * and packets that are sent again take the rest. */
#define USABLE_PERCENT 90
/* Credit that is saved up, as time of the link.  Timers fire late by up to a
 * few ms, and the link should not stand idle meanwhile. */
#define BURST_TIME (4 * JD_US_PER_MS)
/* Largest debt, as time of the link. */
#define DEBT_TIME (500 * JD_US_PER_MS)
/* Time of the link that one chunk takes: a small frame may wait for it. */
#define CHUNK_TIME (3 * JD_US_PER_MS)
/* Bounds on a chunk in bytes. */
#define CHUNK_MIN 2048U
#define CHUNK_MAX 65536U
/* Interval in which the bytes of small frames are summed up, and the weight
 * of the last one in the mean. */
#define SMALL_INTERVAL (50 * JD_US_PER_MS)
#define SMALL_WEIGHT 0.25
/* Least share of the bandwidth that chunks are expected to get, in percent. */
#define CHUNK_SHARE_MIN_PERCENT 10

/* Initializes the bucket of a link; with a bandwidth of 0, which is unknown,
 * nothing is paced. */
void
JdPacer_Init(JdPacer *pc, JdClock *clk, uint64_t link_kbps)
{
    memset(pc, 0, sizeof(*pc));
    pc->clock = clk;
    pc->rate = link_kbps * 1000 / 8 * USABLE_PERCENT / 100;
    pc->updated_at = JdClock_Now(clk);
    pc->small_at = pc->updated_at;
}

/* Returns whether the bandwidth is known. */
bool
JdPacer_IsOn(const JdPacer *pc)
{
    return pc->rate > 0;
}

/* Returns the bytes that are taken from a response at a time. */
size_t
JdPacer_ChunkSize(const JdPacer *pc)
{
    uint64_t n = pc->rate * CHUNK_TIME / JD_US_PER_S;

    if (n < CHUNK_MIN) {
        return CHUNK_MIN;
    }
    return n > CHUNK_MAX ? CHUNK_MAX : n;
}

/* Adds the credit of the time that has passed; a process that stood still
 * gets no more than the bucket holds. */
static void
update_credit(JdPacer *pc)
{
    uint64_t now = JdClock_Now(pc->clock);
    uint64_t elapsed = now - pc->updated_at;
    int64_t max = (int64_t)(pc->rate * BURST_TIME);

    pc->updated_at = now;
    if (elapsed > BURST_TIME + DEBT_TIME) {
        elapsed = BURST_TIME + DEBT_TIME;
    }
    pc->credit += (int64_t)(pc->rate * elapsed);
    if (pc->credit > max) {
        pc->credit = max;
    }
}

static void
charge(JdPacer *pc, size_t bytes)
{
    int64_t min = -(int64_t)(pc->rate * DEBT_TIME);

    update_credit(pc);
    pc->credit -= (int64_t)(bytes * JD_US_PER_S);
    if (pc->credit < min) {
        pc->credit = min;
    }
}

static void
update_small_rate(JdPacer *pc)
{
    uint64_t now = JdClock_Now(pc->clock);
    uint64_t elapsed = now - pc->small_at;
    double rate;

    if (elapsed < SMALL_INTERVAL) {
        return;
    }
    rate = (double)pc->small_bytes * JD_US_PER_S / (double)elapsed;
    pc->small_rate += (rate - pc->small_rate) * SMALL_WEIGHT;
    pc->small_bytes = 0;
    pc->small_at = now;
}

/* Charges a small frame, which is written in any case. */
void
JdPacer_ChargeSmall(JdPacer *pc, size_t bytes)
{
    if (!JdPacer_IsOn(pc)) {
        return;
    }
    charge(pc, bytes);
    pc->small_bytes += bytes;
    update_small_rate(pc);
}

/* Charges a chunk that is written. */
void
JdPacer_ChargeChunk(JdPacer *pc, size_t bytes)
{
    charge(pc, bytes);
}

/* Returns the time in us until a chunk may be written, 0: now. */
uint64_t
JdPacer_Wait(JdPacer *pc)
{
    uint64_t debt;

    update_credit(pc);
    if (pc->credit > 0 || pc->rate == 0) {
        return 0;
    }
    debt = (uint64_t)-pc->credit;
    return debt / pc->rate + 1;
}

/* Returns the bandwidth in bytes per s that small frames leave. */
double
JdPacer_ChunkRate(JdPacer *pc)
{
    double min = (double)pc->rate * CHUNK_SHARE_MIN_PERCENT / 100;
    double rate;

    update_small_rate(pc);
    rate = (double)pc->rate - pc->small_rate;
    return rate < min ? min : rate;
}
