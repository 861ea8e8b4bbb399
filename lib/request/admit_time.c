/*
 * Times that admission expects: how long work runs, how long it waits for a
 * slot, and whether it ends in time.
 */
#include <math.h>

#include "libjd.h"

/* Margin for the variance of service times, in percent of the mean. */
#define MARGIN_PERCENT 70
/* Time constant with which the recent load decays, in us. */
#define LOAD_DECAY_US 1e6
/* Upper bound on the share of the slots that is reserved for higher
 * priorities when a wait is estimated. */
#define MAX_HIGHER_SHARE 0.9

/* Returns the time in us that work is expected to run. */
uint64_t
_JdAdmission_ExpectedTime(const JdAdmission *ad, const JdWork *work)
{
    return work->expected_time != 0 ? work->expected_time
                                    : ad->service_time.mean;
}

/* Decays the recent load by the time that has passed since the last decay. */
static void
decay_recent_load(JdAdmission *ad)
{
    uint64_t now = JdClock_Now(ad->clock);
    double factor = exp(-(double)(now - ad->recent_load_at) / LOAD_DECAY_US);

    for (int r = 0; r < JD_RANKS; r++) {
        ad->recent_load[r] *= factor;
    }
    ad->recent_load_at = now;
}

/* Returns the share of the slots that work of higher ranks has occupied
 * recently, at most MAX_HIGHER_SHARE. */
static double
higher_rank_share(JdAdmission *ad, unsigned rank)
{
    double sum = 0;

    decay_recent_load(ad);
    for (unsigned r = 0; r < rank && r < JD_RANKS; r++) {
        sum += ad->recent_load[r];
    }
    sum /= LOAD_DECAY_US * ad->slots;
    return sum < MAX_HIGHER_SHARE ? sum : MAX_HIGHER_SHARE;
}

/* Records in the recent load that work is started. */
void
_JdAdmission_RecordStart(JdAdmission *ad, const JdWork *work)
{
    decay_recent_load(ad);
    ad->recent_load[work->rank] += (double)_JdAdmission_ExpectedTime(ad, work);
}

/*
 * Returns the estimated time in us until a slot is free for work that has
 * `ahead` us of queued work before it.  Work of higher ranks that arrives
 * meanwhile is served first, so only the remaining share of the slots counts.
 */
uint64_t
_JdAdmission_EstimateWait(JdAdmission *ad, uint64_t ahead, unsigned rank)
{
    double available = ad->slots * (1 - higher_rank_share(ad, rank));

    return (uint64_t)((double)(ahead + ad->service_time.mean) / available);
}

/* Returns the safety margin on top of the expected service time.  Without it,
 * the large part of the work that takes longer than the mean would be late. */
uint64_t
_JdAdmission_TimeMargin(const JdAdmission *ad, const JdWork *work)
{
    return _JdAdmission_ExpectedTime(ad, work) * MARGIN_PERCENT / 100;
}

/* Returns whether work that starts after `wait` us is expected to finish by
 * the time `by`. */
bool
_JdAdmission_FinishesBy(const JdAdmission *ad, const JdWork *work,
                        uint64_t wait, uint64_t by)
{
    uint64_t now = JdClock_Now(ad->clock);

    return by > now && now + wait + _JdAdmission_ExpectedTime(ad, work) <= by;
}
