/*
 * Load balancing: picks the nearest locality tier that can serve a request in
 * time and, within that tier, the cheaper of two random targets.  The cost is
 * computed from the target's service time, the requests that this node has
 * outstanding there and the load that the target's node reported.  This copes
 * with load that differs between locations and with targets that differ in
 * speed.  Failing targets are ejected for a while and return with a slow
 * start.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Age from which a reported load is ignored. */
#define LOAD_MAX_AGE (500 * JD_US_PER_MS)
/* Age from which a reported service time is ignored, so that the target gets
 * requests and reports a new one. */
#define SERVICE_TIME_MAX_AGE (5 * JD_US_PER_S)
/* Age from which a reported wait for a link is ignored. */
#define LINK_WAIT_MAX_AGE (2 * JD_US_PER_S)
/* Limits on the wait and on the run time of a request in the node's own
 * failure domain, in percent of the time left.  If either is exceeded, the
 * other targets of the region are considered as well. */
#define DOMAIN_WAIT_PERCENT 50
#define DOMAIN_RUN_PERCENT 75
/* Load from which a target counts as full, in percent of its slots. */
#define FULL_LOAD_PERCENT 200
/* A request may spill over to another region after this number of targets has
 * refused it for lack of capacity. */
#define SPILLOVER_REFUSALS 3
/* Time for which a target of another region gets no request that others have
 * refused, after it refused one itself for lack of capacity. */
#define SPILLOVER_PAUSE JD_US_PER_S
/* Least time left with which a request may spill over to another region. */
#define SPILLOVER_MIN_TIME (100 * JD_US_PER_MS)
/* Maximum number of draws.  The last target drawn is taken even if it is in
 * its slow start. */
#define MAX_DRAWS 8

/* Returns the age of the last load report as a fraction of its maximum age: 1
 * if it is ignored. */
static double
load_report_age(const JdBalancer *lb, const JdTargetStats *ts)
{
    uint64_t age = JdClock_Now(lb->clock) - ts->load_reported_at;

    return ts->load_reported_at == 0 || age >= LOAD_MAX_AGE
               ? 1
               : (double)age / (double)LOAD_MAX_AGE;
}

/* Returns the reported load in percent of the slots, reduced by the age of the
 * report. */
static double
decayed_load(const JdBalancer *lb, const JdTargetStats *ts)
{
    return ts->reported_load * (1 - load_report_age(lb, ts));
}

/*
 * Returns the number of requests per slot at a target, including the new one.
 * A recent load report covers the requests of all nodes; the requests that
 * this node has sent since the report are added to it.
 */
static double
work_per_slot(const JdBalancer *lb, JdMember *mb)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);
    double slots = mb->slots == 0 ? 1 : mb->slots;
    double work = ts->outstanding;

    if (load_report_age(lb, ts) < 1) {
        double reported =
            decayed_load(lb, ts) * slots / 100 + ts->sent_since_report;

        work = reported > work ? reported : work;
    }
    return (work + 1) / slots;
}

/* Returns the service time of a target in us, or `default_time` if it is
 * unknown or outdated. */
static double
service_time_of(const JdBalancer *lb, JdMember *mb, double default_time)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);
    bool is_outdated =
        JdClock_Now(lb->clock) - ts->service_time_at > SERVICE_TIME_MAX_AGE;

    return ts->service_time == 0 || is_outdated ? default_time
                                                : (double)ts->service_time;
}

/* Returns the time in us for which the link of a target's VM delays a
 * large response: as it was reported, less with its age, and for what this
 * node has asked for since. */
static double
link_wait(const JdBalancer *lb, JdMember *mb)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);
    uint64_t age = JdClock_Now(lb->clock) - ts->link_wait_at;
    double fresh = 0;

    if (!lb->counts_link || ts->link_wait == 0) {
        return 0;
    }
    if (age < LINK_WAIT_MAX_AGE) {
        fresh = 1 - (double)age / (double)LINK_WAIT_MAX_AGE;
    }
    return (double)ts->link_wait * fresh +
           (double)ts->link_unit * ts->large_since_report;
}

/*
 * Returns the cost of sending a request to a target.  The cost includes the
 * run time of the request itself, so that a slow target is not preferred just
 * because it is idle.  `default_time` is used if the service time is unknown.
 */
static double
cost(const JdBalancer *lb, JdMember *mb, double default_time)
{
    return service_time_of(lb, mb, default_time) *
               (1 + work_per_slot(lb, mb)) +
           link_wait(lb, mb);
}

static void
count_full(const JdBalancer *lb, _JdCandidates *c)
{
    for (int t = 0; t < JD_TIER_MAX; t++) {
        c->full[t] = 0;
        for (unsigned i = 0; i < c->count[t]; i++) {
            c->full[t] +=
                decayed_load(lb, _JdBalancer_TargetStats(lb, c->list[t][i])) >=
                FULL_LOAD_PERCENT;
        }
    }
}

/*
 * Draws a target at random and returns its index.  A target in its slow start
 * is rejected with a probability that falls as its weight grows.  Its share of
 * the traffic therefore grows with the weight at any load.
 */
static unsigned
draw_candidate(const JdBalancer *lb, JdMember **list, unsigned n)
{
    unsigned i = 0;

    for (int tries = 0; tries < MAX_DRAWS; tries++) {
        i = (unsigned)JdRandom_Below(lb->random, n);
        if (JdRandom_Below(lb->random, 100) <
            _JdBalancer_Weight(lb, _JdBalancer_TargetStats(lb, list[i]))) {
            break;
        }
    }
    return i;
}

/* Returns the mean of the candidates' known service times, 1 if none is known.
 */
static double
mean_service_time(const JdBalancer *lb, const _JdCandidates *c)
{
    double sum = 0;
    unsigned n = 0;

    for (int t = 0; t < JD_TIER_MAX; t++) {
        for (unsigned i = 0; i < c->count[t]; i++) {
            uint64_t service =
                _JdBalancer_TargetStats(lb, c->list[t][i])->service_time;

            sum += (double)service;
            n += service != 0;
        }
    }
    return n == 0 ? 1 : sum / n;
}

static JdMember *
pick_of_two(const JdBalancer *lb, JdMember **list, unsigned n,
            double default_time)
{
    unsigned i = draw_candidate(lb, list, n);
    unsigned j = draw_candidate(lb, list, n);

    return cost(lb, list[i], default_time) <= cost(lb, list[j], default_time)
               ? list[i]
               : list[j];
}

/* Returns whether the node's own failure domain can serve a request well
 * within the time left.  `local` is the target that would be picked there. */
static bool
domain_has_capacity(const JdBalancer *lb, const _JdCandidates *c,
                    JdMember *local, double default_time, uint64_t time_left)
{
    double run = service_time_of(lb, local, default_time);

    if (c->full[JD_TIER_DOMAIN] >= c->count[JD_TIER_DOMAIN]) {
        return false;
    }
    return time_left == 0 ||
           (run <= (double)time_left * DOMAIN_RUN_PERCENT / 100 &&
            run * work_per_slot(lb, local) + link_wait(lb, local) <=
                (double)time_left * DOMAIN_WAIT_PERCENT / 100);
}

static JdMember *
pick_in_tier(const JdBalancer *lb, const _JdCandidates *c, JdTier tier,
             double default_time)
{
    return c->count[tier] == 0 ? NULL
                               : pick_of_two(lb, (JdMember **)c->list[tier],
                                             c->count[tier], default_time);
}

/* Returns whether a target has refused a request for lack of capacity
 * recently. */
static bool
has_refused_lately(const JdBalancer *lb, JdMember *mb)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);

    return ts->last_full_at != 0 &&
           JdClock_Now(lb->clock) - ts->last_full_at < SPILLOVER_PAUSE;
}

/*
 * Returns a target in another region for a request that several targets have
 * refused for lack of capacity.  Returns NULL if too little time is left, or
 * if the picked target has refused a request for lack of capacity recently.
 */
static JdMember *
pick_spillover(const JdBalancer *lb, const _JdCandidates *c,
               const JdExcludedTargets *excluded, uint64_t time_left,
               double default_time)
{
    JdMember *mb;

    if (excluded == NULL || excluded->full_count < SPILLOVER_REFUSALS ||
        time_left < SPILLOVER_MIN_TIME) {
        return NULL;
    }
    mb = pick_in_tier(lb, c, JD_TIER_FAR, default_time);
    return mb == NULL || has_refused_lately(lb, mb) ? NULL : mb;
}

/*
 * Returns a target in another region where the own one has none left to ask.
 * If targets refused the request for lack of capacity, it does not cross the
 * paid link to one that has refused others: it would be turned away there as
 * well.  Returns NULL then, and if there is no target.
 */
static JdMember *
pick_far(const JdBalancer *lb, const _JdCandidates *c,
         const JdExcludedTargets *excluded, double default_time)
{
    JdMember *mb = pick_in_tier(lb, c, JD_TIER_FAR, default_time);
    bool was_refused = excluded != NULL && excluded->full_count > 0;

    return mb != NULL && was_refused && has_refused_lately(lb, mb) ? NULL : mb;
}

/*
 * Picks a target by locality: in the node's own failure domain if it can serve
 * the request well within the time left, otherwise the cheaper of a target
 * there and a target in the rest of the region.  Traffic between regions costs
 * money, so another region is used only if the node's own region has no target
 * left or no capacity.
 */
static JdMember *
pick_by_locality(const JdBalancer *lb, const _JdCandidates *c,
                 const JdExcludedTargets *excluded, uint64_t time_left,
                 JdTier *tier)
{
    double default_time = mean_service_time(lb, c);
    JdMember *local = pick_in_tier(lb, c, JD_TIER_DOMAIN, default_time);
    JdMember *remote =
        pick_spillover(lb, c, excluded, time_left, default_time);
    JdMember *region;

    if (remote != NULL) {
        *tier = JD_TIER_FAR;
        return remote;
    }
    *tier = JD_TIER_DOMAIN;
    if (local != NULL &&
        domain_has_capacity(lb, c, local, default_time, time_left)) {
        return local;
    }
    region = pick_in_tier(lb, c, JD_TIER_REGION, default_time);
    if (region == NULL && local == NULL) {
        *tier = JD_TIER_FAR;
        return pick_far(lb, c, excluded, default_time);
    }
    if (region == NULL ||
        (local != NULL &&
         cost(lb, local, default_time) < cost(lb, region, default_time))) {
        return local;
    }
    *tier = JD_TIER_REGION;
    return region;
}

static bool
has_candidate(const _JdCandidates *c)
{
    for (int t = 0; t < JD_TIER_MAX; t++) {
        if (c->count[t] > 0) {
            return true;
        }
    }
    return false;
}

/*
 * Picks a target of an endpoint set.  Returns NULL if there is none, or none
 * that may have capacity left for a request that others have refused.
 * `excluded` lists the members that were tried already, or is NULL.
 * `time_left` is the time in us within which the caller wants an answer, 0: no
 * limit.
 */
JdMember *
JdBalancer_Pick(const JdBalancer *lb, const char *endpoint_set,
                const JdExcludedTargets *excluded, uint64_t time_left,
                JdTier *tier)
{
    const JdMemberSet *set = JdMembers_FindSet(lb->members, endpoint_set);
    static _JdCandidates c;

    if (set == NULL) {
        return NULL;
    }
    for (int f = _JD_FILTER_HEALTHY; f < _JD_FILTER_MAX; f++) {
        _JdBalancer_Collect(lb, set, excluded, (_JdHealthFilter)f, &c);
        count_full(lb, &c);
        if (has_candidate(&c)) {
            return pick_by_locality(lb, &c, excluded, time_left, tier);
        }
    }
    return NULL;
}

/*
 * Picks the same target of an endpoint set as all other nodes that know the
 * same members: the one of the highest rank by rendezvous hashing with `key`.
 * For a request that should run at one target at a time, wherever its copies
 * arrive.  Returns NULL if there is none.
 */
JdMember *
JdBalancer_PickPinned(const JdBalancer *lb, const char *endpoint_set,
                      const JdExcludedTargets *excluded, uint64_t key,
                      JdTier *tier)
{
    const JdMemberSet *set = JdMembers_FindSet(lb->members, endpoint_set);
    JdMember *best = NULL;
    uint64_t best_rank = 0;
    JdMember *mb;

    for (int f = _JD_FILTER_HEALTHY; set != NULL && f < _JD_FILTER_MAX; f++) {
        TAILQ_FOREACH(mb, &set->members, set_link)
        {
            uint64_t rank = _Jd_HashText(mb->id, key);

            if (_JdBalancer_Passes(lb, mb, (_JdHealthFilter)f) &&
                !_JdBalancer_IsExcluded(excluded, mb) &&
                (best == NULL || rank > best_rank)) {
                best = mb;
                best_rank = rank;
            }
        }
        if (best != NULL) {
            *tier = _JdBalancer_TierOf(lb, best);
            return best;
        }
    }
    return NULL;
}

/* Returns whether an endpoint set has a target that is ready and of a version
 * that is allowed. */
bool
JdBalancer_HasReadyTarget(const JdBalancer *lb, const char *endpoint_set,
                          const JdVersionFilter *versions)
{
    const JdMemberSet *set = JdMembers_FindSet(lb->members, endpoint_set);
    const JdMember *mb;

    if (set == NULL) {
        return false;
    }
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (mb->state == JD_MEMBER_READY && !JdMember_HasTargetLeft(mb) &&
            JdVersionFilter_Allows(versions, mb)) {
            return true;
        }
    }
    return false;
}
