/*
 * Share of the requests that leave a failure domain.  Answers a load that
 * rises and falls at different times in different domains: the share grows
 * while requests wait longer at home than elsewhere, with the round trip
 * there, and shrinks when they no longer do.  It moves by a part of the
 * difference of the loads a second, so that many nodes with old views do not
 * move all at once, and rests between the two bounds.
 */
#include <string.h>

#include "libjd.h"

/* Time between two steps. */
#define STEP_TIME (50 * JD_US_PER_MS)
/* Longest time that counts as one step. */
#define MAX_STEP_TIME (200 * JD_US_PER_MS)
/* Time constant of waits and loads. */
#define AVERAGE_TIME (200 * JD_US_PER_MS)
/* Part of the difference of the loads by which a share changes in a second. */
#define RATE 1.5
/* Part of itself by which a share shrinks in a second when it is not needed.
 */
#define SHRINK_RATE 1.0
/* Wait at home beyond that of another tier from which its share grows, and up
 * to which it shrinks, as multiples of the round-trip time. */
#define GROW_FACTOR 1.3
#define SHRINK_FACTOR 0.6
/* The round-trip time counts as at least this part of a run time: less is
 * chance. */
#define MIN_RTT_RUNS 0.1
/* The round-trip time to another region counts this many times, and this part
 * of a run time more: its bytes are the dearest. */
#define FAR_RTT_FACTOR 1.5
#define FAR_RTT_RUNS 0.3
/* Load of another tier up to which its share grows, and from which it shrinks:
 * where no slots are free, work moved there only waits elsewhere. */
#define ROOM_LOAD 0.9
#define FULL_LOAD 1.0
/* Shares of all tiers but the own one, together. */
#define MAX_SHARE 0.9
/* Shares that keep the knowledge of a tier fresh: always in the own region,
 * and in another one while the wait at home is longer than the round trip
 * there. */
#define PROBE_SHARE_REGION 0.01
#define PROBE_SHARE_FAR 0.01

/* Shares from which and up to which a tier counts as used. */
#define LEAVING_SHARE 0.10
#define RETURNED_SHARE 0.03

/* Returns whether the shares may be changed again. */
bool
JdSpread_IsDue(const JdSpread *sp, uint64_t now)
{
    return sp->updated_at == 0 || now - sp->updated_at >= STEP_TIME;
}

static void
average(JdSpread *sp, const JdTierWait tier[JD_TIER_MAX], double passed)
{
    double weight =
        sp->updated_at == 0 ? 1 : passed / ((double)AVERAGE_TIME + passed);

    for (int t = 0; t < JD_TIER_MAX; t++) {
        sp->wait[t] += (tier[t].wait - sp->wait[t]) * weight;
        sp->load[t] += (tier[t].load - sp->load[t]) * weight;
    }
}

/* Returns by how much the round trip to a tier is longer than the one at home,
 * in us. */
static double
extra_rtt(const JdTierWait tier[JD_TIER_MAX], JdTier t, double run_time)
{
    double rtt = tier[t].rtt - tier[JD_TIER_DOMAIN].rtt;

    if (t == JD_TIER_FAR) {
        rtt = rtt * FAR_RTT_FACTOR + run_time * FAR_RTT_RUNS;
    }
    return rtt > run_time * MIN_RTT_RUNS ? rtt : run_time * MIN_RTT_RUNS;
}

/* Returns the change of a tier's share in a second. */
static double
change_of(const JdSpread *sp, const JdTierWait tier[JD_TIER_MAX], JdTier t,
          double rtt)
{
    double gain = sp->wait[JD_TIER_DOMAIN] - sp->wait[t];
    double capacity = tier[t].capacity + tier[JD_TIER_DOMAIN].capacity;
    double load = sp->load[JD_TIER_DOMAIN];
    double part = load <= 0 || capacity <= 0 ? 0
                                             : (load - sp->load[t]) / load *
                                                   tier[t].capacity / capacity;

    if (gain > rtt * GROW_FACTOR && sp->load[t] < ROOM_LOAD) {
        return part > 0 ? part * RATE : 0;
    }
    if (gain < rtt * SHRINK_FACTOR || sp->load[t] > FULL_LOAD) {
        return (part < 0 ? part * RATE : 0) - sp->share[t] * SHRINK_RATE;
    }
    return 0;
}

/* Returns the least share of a tier. */
static double
probe_share(const JdSpread *sp, JdTier t, double rtt)
{
    if (t == JD_TIER_REGION) {
        return PROBE_SHARE_REGION;
    }
    return sp->wait[JD_TIER_DOMAIN] > rtt ? PROBE_SHARE_FAR : 0;
}

/* Bounds the sum of the shares; the own domain gets the rest. */
static void
bound_shares(JdSpread *sp, bool is_home_usable)
{
    double sum = sp->share[JD_TIER_REGION] + sp->share[JD_TIER_FAR];

    if (sum > MAX_SHARE) {
        sp->share[JD_TIER_REGION] *= MAX_SHARE / sum;
        sp->share[JD_TIER_FAR] *= MAX_SHARE / sum;
        sum = MAX_SHARE;
    }
    sp->share[JD_TIER_DOMAIN] = is_home_usable ? 1 - sum : 0;
}

/* Records which tiers are used.  Returns whether this changed. */
static bool
note_leaving(JdSpread *sp)
{
    bool is_changed = false;

    for (int t = JD_TIER_REGION; t < JD_TIER_MAX; t++) {
        bool was_leaving = sp->is_leaving[t];

        sp->is_leaving[t] =
            sp->share[t] >= (was_leaving ? RETURNED_SHARE : LEAVING_SHARE);
        is_changed = is_changed || sp->is_leaving[t] != was_leaving;
    }
    return is_changed;
}

/* Moves the shares by one step.  `run_time` is the mean run time of a request
 * in us.  Returns whether `is_leaving` changed. */
bool
JdSpread_Update(JdSpread *sp, const JdTierWait tier[JD_TIER_MAX],
                double run_time, uint64_t now)
{
    uint64_t passed = sp->updated_at == 0 ? 0 : now - sp->updated_at;

    passed = passed > MAX_STEP_TIME ? MAX_STEP_TIME : passed;
    average(sp, tier, (double)passed);
    for (int t = JD_TIER_REGION; t < JD_TIER_MAX; t++) {
        double rtt = extra_rtt(tier, (JdTier)t, run_time);
        double least = probe_share(sp, (JdTier)t, rtt);

        sp->share[t] += change_of(sp, tier, (JdTier)t, rtt) * (double)passed /
                        (double)JD_US_PER_S;
        if (sp->share[t] < least) {
            sp->share[t] = least;
        }
        if (tier[t].capacity <= 0) {
            sp->share[t] = 0;
        }
    }
    bound_shares(sp, tier[JD_TIER_DOMAIN].capacity > 0);
    sp->updated_at = now;
    return note_leaving(sp);
}

/* Draws the tier for a request. */
JdTier
JdSpread_Draw(const JdSpread *sp, JdRandom *rnd)
{
    double draw = (double)JdRandom_Below(rnd, 1U << 30) / (1U << 30);

    if (draw < sp->share[JD_TIER_FAR]) {
        return JD_TIER_FAR;
    }
    draw -= sp->share[JD_TIER_FAR];
    return draw < sp->share[JD_TIER_REGION] ? JD_TIER_REGION : JD_TIER_DOMAIN;
}
