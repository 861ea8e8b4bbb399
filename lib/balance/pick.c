/*
 * Picks a target by work and speed.  Answers a load that is near the capacity
 * of targets of different speeds, seen by many senders through reports that
 * are some hundred ms old.  Two targets are drawn with probabilities
 * proportional to slots times speed, so that senders with equal views do not
 * all choose the few quick ones, and the one that is expected to finish the
 * request first is picked.  The locality tier is drawn by the shares of
 * spread.c.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Least time left with which a request is sent to another region. */
#define FAR_MIN_TIME (100 * JD_US_PER_MS)

/* A retry may leave the region after this number of targets has refused the
 * request for lack of capacity. */
#define FAR_REFUSALS 3
/* Load that another tier must be below the own one for such a retry. */
#define RETRY_LOAD_GAP 0.1
/* Time constant with which what is known of another tier fades. */
#define LOAD_FADE_TIME (2 * JD_US_PER_S)

/* Round-trip times that are assumed until an answer came, in us. */
static const double default_rtt[JD_TIER_MAX] = {
    [JD_TIER_DOMAIN] = 500,
    [JD_TIER_REGION] = 5000,
    [JD_TIER_FAR] = 40000,
};

/* Candidates of one tier with what the choice needs of each. */
typedef struct TierView {
    unsigned count;
    JdMember *member[_JD_CANDIDATES_MAX];
    double capacity[_JD_CANDIDATES_MAX]; /* slots times speed */
    double slowness[_JD_CANDIDATES_MAX];
    double load[_JD_CANDIDATES_MAX];
    double capacity_sum;
    double slots_sum;
    double mean_load;
} TierView;

static unsigned
slots_of(const JdMember *mb)
{
    return mb->slots == 0 ? 1 : mb->slots;
}

/* Returns the mean load that the targets of a tier have reported, 0 if none
 * has. */
static double
mean_reported_load(const JdBalancer *lb, const _JdCandidates *c, JdTier tier)
{
    double sum = 0, slots = 0;

    for (unsigned i = 0; i < c->count[tier]; i++) {
        JdMember *mb = c->list[tier][i];
        const JdTargetView *tv = &_JdBalancer_TargetStats(lb, mb)->view;

        if (tv->reported_at != 0) {
            sum += tv->load * slots_of(mb);
            slots += slots_of(mb);
        }
    }
    return slots == 0 ? 0 : sum / slots;
}

static void
view_tier(const JdBalancer *lb, const _JdCandidates *c, JdTier tier,
          double run_time, TierView *out)
{
    double reported = mean_reported_load(lb, c, tier);
    uint64_t now = JdClock_Now(lb->clock);
    double sum = 0;

    out->count = c->count[tier];
    out->capacity_sum = out->slots_sum = 0;
    for (unsigned i = 0; i < out->count; i++) {
        JdMember *mb = c->list[tier][i];
        const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);
        unsigned slots = slots_of(mb);

        out->member[i] = mb;
        out->slowness[i] = JdTargetView_Slowness(&ts->view);
        out->load[i] = JdTargetView_Load(&ts->view, slots, reported,
                                         run_time * out->slowness[i], now);
        out->capacity[i] =
            slots * _JdBalancer_Weight(lb, ts) / (100 * out->slowness[i]);
        out->capacity_sum += out->capacity[i];
        out->slots_sum += slots;
        sum += out->load[i] * slots;
    }
    out->mean_load = out->slots_sum == 0 ? 0 : sum / out->slots_sum;
}

/* Draws a target by capacity. */
static unsigned
draw_target(const JdBalancer *lb, const TierView *tv)
{
    double draw = tv->capacity_sum *
                  (double)JdRandom_Below(lb->random, 1U << 30) / (1U << 30);
    unsigned i = 0;

    while (i + 1 < tv->count && draw >= tv->capacity[i]) {
        draw -= tv->capacity[i++];
    }
    return i;
}

/* Targets that share their load so well that they wait like one. */
#define POOLED_TARGETS 2
/* Load up to which a quicker target is preferred, and how much: the load that
 * outweighs a slowness of 100% at no load. */
#define SPEED_LOAD_MAX 0.9
#define SPEED_WEIGHT 1.0

/*
 * Returns the cost of a request at a target: its load with the request.  While
 * targets have free slots, the slower one costs more; at high loads all are
 * used alike.
 */
static double
cost_of(const TierView *tv, unsigned i)
{
    unsigned slots = slots_of(tv->member[i]);
    double load = tv->load[i] + 1.0 / slots;

    if (tv->mean_load < SPEED_LOAD_MAX) {
        load += SPEED_WEIGHT * (SPEED_LOAD_MAX - tv->mean_load) *
                (tv->slowness[i] - 1);
    }
    return load;
}

static unsigned
better_of_two(const JdBalancer *lb, const TierView *tv)
{
    unsigned i = draw_target(lb, tv);
    unsigned j = draw_target(lb, tv);

    return cost_of(tv, i) <= cost_of(tv, j) ? i : j;
}

/* Returns the mean slots of the targets of a tier. */
static unsigned
mean_slots(const TierView *tv)
{
    return tv->count == 0 ? 1 : (unsigned)(tv->slots_sum / tv->count + 0.5);
}

/* Returns the load of a tier for its share.  What was heard of another tier
 * fades into the load at home. */
static double
load_of_tier(const JdPlacingSet *ps, JdTier tier, uint64_t now)
{
    double home = ps->load[JD_TIER_DOMAIN];
    double kept;

    if (tier == JD_TIER_DOMAIN || ps->load_at[tier] == 0) {
        return home;
    }
    kept = exp(-(double)(now - ps->load_at[tier]) / (double)LOAD_FADE_TIME);
    return home + (ps->load[tier] - home) * kept;
}

/* Moves the shares of the tiers, if it is time. */
static void
update_spread(const JdBalancer *lb, const char *endpoint_set, JdPlacingSet *ps,
              const TierView view[JD_TIER_MAX])
{
    const JdPlacing *pl = lb->placing;
    bool was_leaving[JD_TIER_MAX];
    JdTierWait wait[JD_TIER_MAX];
    uint64_t now = JdClock_Now(lb->clock);

    if (!JdSpread_IsDue(&ps->spread, now)) {
        return;
    }
    ps->load[JD_TIER_DOMAIN] = view[JD_TIER_DOMAIN].mean_load;
    ps->load_at[JD_TIER_DOMAIN] = now;
    for (int t = 0; t < JD_TIER_MAX; t++) {
        const TierView *tv = &view[t];
        double slowness =
            tv->capacity_sum <= 0 ? 1 : tv->slots_sum / tv->capacity_sum;

        wait[t].capacity = tv->capacity_sum;
        wait[t].load = load_of_tier(ps, (JdTier)t, now);
        wait[t].wait =
            ps->run_time.mean * slowness *
            JdWork_Wait(wait[t].load, POOLED_TARGETS * mean_slots(tv));
        wait[t].rtt =
            lb->placing->rtt[t] > 0 ? lb->placing->rtt[t] : default_rtt[t];
    }
    memcpy(was_leaving, ps->spread.is_leaving, sizeof(was_leaving));
    if (!JdSpread_Update(&ps->spread, wait, ps->run_time.mean, now) ||
        pl->share_changed == NULL) {
        return;
    }
    for (int t = 0; t < JD_TIER_MAX; t++) {
        if (ps->spread.is_leaving[t] != was_leaving[t]) {
            pl->share_changed(pl->ctx, endpoint_set, (JdTier)t, &ps->spread);
        }
    }
}

/* Returns the nearest tier that has a candidate. */
static JdTier
nearest_tier(const TierView view[JD_TIER_MAX])
{
    int t = JD_TIER_DOMAIN;

    while (t + 1 < JD_TIER_MAX && view[t].count == 0) {
        t++;
    }
    return (JdTier)t;
}

/* Returns the tier for a request that targets have refused for lack of
 * capacity: another one, unless it is known to have more load. */
static JdTier
tier_after_refusal(const JdPlacingSet *ps, unsigned refusals, uint64_t now,
                   const TierView view[JD_TIER_MAX])
{
    double home = ps->load[JD_TIER_DOMAIN];

    if (refusals >= FAR_REFUSALS && view[JD_TIER_FAR].count > 0 &&
        load_of_tier(ps, JD_TIER_FAR, now) + RETRY_LOAD_GAP < home) {
        return JD_TIER_FAR;
    }
    return view[JD_TIER_REGION].count > 0 && ps->load[JD_TIER_REGION] <= home
               ? JD_TIER_REGION
               : JD_TIER_DOMAIN;
}

/* Draws the tier of a request. */
static JdTier
draw_tier(const JdBalancer *lb, const JdPlacingSet *ps, const char *route,
          const JdExcludedTargets *excluded, uint64_t time_left,
          const TierView view[JD_TIER_MAX])
{
    bool may_go_far = (time_left == 0 || time_left >= FAR_MIN_TIME) &&
                      _JdPlacingSet_IsSmall(ps, route);
    JdTier tier = JdSpread_Draw(&ps->spread, lb->random);

    if (excluded != NULL && excluded->full_count > 0) {
        tier = tier_after_refusal(ps, excluded->full_count,
                                  JdClock_Now(lb->clock), view);
    }
    if (tier == JD_TIER_FAR && !may_go_far) {
        tier = JD_TIER_DOMAIN;
    }
    return view[tier].count > 0 ? tier : nearest_tier(view);
}

/* Returns the expected time in us from sending a request of a route to a
 * target until its answer, 0: unknown. */
uint64_t
JdBalancer_ExpectedTime(const JdBalancer *lb, JdMember *mb, const char *route)
{
    const JdPlacingSet *ps = JdPlacing_Find(lb->placing, mb->endpoint_set);
    const JdTargetView *tv = &_JdBalancer_TargetStats(lb, mb)->view;
    unsigned slots = slots_of(mb);
    double load, run;

    if (ps == NULL || ps->run_time.samples == 0) {
        return 0;
    }
    run = ps->run_time.mean * JdTargetView_Slowness(tv);
    load = JdTargetView_Load(tv, slots, ps->load[JD_TIER_DOMAIN], run,
                             JdClock_Now(lb->clock));
    return (uint64_t)(_JdPlacingSet_RouteTime(ps, route) *
                          JdTargetView_Slowness(tv) +
                      run * JdWork_Wait(load, slots) +
                      lb->placing->rtt[_JdBalancer_TierOf(lb, mb)]);
}

/*
 * Picks a target of an endpoint set by work and speed, for a request of a
 * route.  Otherwise as JdBalancer_Pick().
 */
JdMember *
JdBalancer_PickByWork(const JdBalancer *lb, const char *endpoint_set,
                      const char *route, const JdExcludedTargets *excluded,
                      uint64_t time_left, JdTier *tier)
{
    const JdMemberSet *set = JdMembers_FindSet(lb->members, endpoint_set);
    JdPlacingSet *ps = _JdPlacing_Get(lb->placing, endpoint_set);
    static TierView view[JD_TIER_MAX];
    static _JdCandidates c;
    unsigned total = 0;

    for (int f = 0; set != NULL && f < _JD_FILTER_MAX && total == 0; f++) {
        _JdBalancer_Collect(lb, set, excluded, (_JdHealthFilter)f, &c);
        for (int t = 0; t < JD_TIER_MAX; t++) {
            total += c.count[t];
        }
    }
    if (total == 0) {
        return NULL;
    }
    for (int t = 0; t < JD_TIER_MAX; t++) {
        view_tier(lb, &c, (JdTier)t, ps->run_time.mean, &view[t]);
    }
    if (excluded == NULL || excluded->count == 0) {
        update_spread(lb, endpoint_set, ps, view);
    }
    *tier = draw_tier(lb, ps, route, excluded, time_left, view);
    return view[*tier].member[better_of_two(lb, &view[*tier])];
}
