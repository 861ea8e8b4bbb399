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

/* Time without an answer after which a target with outstanding requests counts
 * as stalled.  The time is longer for a target with a high latency. */
#define STALL_TIMEOUT (500 * JD_US_PER_MS)
/* Time within which the weight of a new or returning target grows to 100%. */
#define SLOW_START_TIME (5 * JD_US_PER_S)
/* Weight at the beginning of the slow start, in percent. */
#define SLOW_START_MIN_PERCENT 10
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
/* Time for which a target gets no spillover after it refused a request for
 * lack of capacity. */
#define SPILLOVER_PAUSE JD_US_PER_S
/* Least time left with which a request may spill over to another region. */
#define SPILLOVER_MIN_TIME (100 * JD_US_PER_MS)
/* Maximum number of targets of a tier that are considered for one request; of
 * more, a random sample is. */
#define MAX_CANDIDATES 256
/* Maximum number of draws.  The last target drawn is taken even if it is in
 * its slow start. */
#define MAX_DRAWS 8

static const char *const tier_names[JD_TIER_MAX] = {
    [JD_TIER_DOMAIN] = "domain",
    [JD_TIER_REGION] = "region",
    [JD_TIER_FAR] = "far",
};

/* Returns the name of a locality tier. */
const char *
JdTier_Name(JdTier tier)
{
    return tier < JD_TIER_MAX ? tier_names[tier] : "none";
}

/*
 * Resets the statistics of a target whose node or process has restarted.  A
 * new process begins a slow start.  A process that was running before its node
 * restarted is warm, and continues where it was.  While the node has not heard
 * of its target, its member names no process.
 */
static void
reset_stats(const JdBalancer *lb, JdTargetStats *ts, const JdMember *mb)
{
    uint64_t process = ts->process_started;
    uint64_t seen_at = ts->process_seen_at;
    uint64_t limited_process = ts->limited_process;
    unsigned rate_limit = ts->rate_limit;

    memset(ts, 0, sizeof(*ts));
    ts->limited_process = limited_process;
    ts->rate_limit = rate_limit;
    ts->incarnation = mb->incarnation;
    ts->target_started = mb->target_started;
    ts->process_started = process;
    ts->process_seen_at = seen_at;
    if (process == 0 ||
        (mb->target_started != 0 && mb->target_started != process)) {
        ts->process_started = mb->target_started;
        ts->process_seen_at = JdClock_Now(lb->clock);
    }
    ts->slow_start_at = ts->process_seen_at;
}

/* Returns the statistics of a member's target. */
JdTargetStats *
_JdBalancer_TargetStats(const JdBalancer *lb, JdMember *mb)
{
    JdTargetStats *ts = mb->user;

    if (ts == NULL) {
        ts = g_new0(JdTargetStats, 1);
        mb->user = ts;
    }
    if (ts->incarnation != mb->incarnation ||
        ts->target_started != mb->target_started) {
        reset_stats(lb, ts, mb);
    }
    return ts;
}

bool
_JdBalancer_IsEjected(const JdBalancer *lb, const JdTargetStats *ts)
{
    return ts->ejected_until > JdClock_Now(lb->clock);
}

static bool
is_stalled(const JdBalancer *lb, const JdTargetStats *ts)
{
    uint64_t limit = ts->mean_latency * 4;

    if (limit < STALL_TIMEOUT) {
        limit = STALL_TIMEOUT;
    }
    return ts->outstanding > 0 &&
           JdClock_Now(lb->clock) - ts->progress_at > limit;
}

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

/* Returns the weight in percent: less than 100 during the slow start. */
static unsigned
slow_start_weight(const JdBalancer *lb, const JdTargetStats *ts)
{
    uint64_t age = JdClock_Now(lb->clock) - ts->slow_start_at;

    if (age >= SLOW_START_TIME) {
        return 100;
    }
    return SLOW_START_MIN_PERCENT +
           (unsigned)((100 - SLOW_START_MIN_PERCENT) * age / SLOW_START_TIME);
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

/* Returns the time in us for which the link of a target's machine delays a
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

static JdTier
tier_of(const JdBalancer *lb, const JdMember *mb)
{
    if (strcmp(mb->region, lb->region) != 0) {
        return JD_TIER_FAR;
    }
    return strcmp(mb->domain, lb->domain) == 0 ? JD_TIER_DOMAIN
                                               : JD_TIER_REGION;
}

/* Returns the rate limit that the target's present process has named to this
 * node, in requests per 1000 s, 0: none.  It outlives a restart of the
 * target's node. */
unsigned
JdBalancer_RateLimit(const JdBalancer *lb, JdMember *mb)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);

    return ts->limited_process == mb->target_started ? ts->rate_limit : 0;
}

/* Returns whether the target's rate limit allows no request for now. */
static bool
is_rate_limited(const JdBalancer *lb, JdMember *mb)
{
    return JdBalancer_RateLimit(lb, mb) != 0 &&
           _JdBalancer_TargetStats(lb, mb)->limited_until >
               JdClock_Now(lb->clock);
}

/* Members of an endpoint set that may be picked, by tier. */
typedef struct Candidates {
    JdMember *list[JD_TIER_MAX][MAX_CANDIDATES];
    unsigned count[JD_TIER_MAX];
    unsigned full[JD_TIER_MAX]; /* candidates at full load */
    unsigned seen[JD_TIER_MAX]; /* members that may be picked */
} Candidates;

/* Health that a target needs to be picked.  The filters are tried in this
 * order until a target passes. */
typedef enum HealthFilter {
    FILTER_HEALTHY, /* ready, not ejected, stalled or rate limited */
    FILTER_READY,
    FILTER_READY_OR_LOST, /* perhaps only this node lost contact */
    FILTER_MAX
} HealthFilter;

static bool
passes_filter(const JdBalancer *lb, JdMember *mb, HealthFilter filter)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);

    if (JdMember_HasTargetLeft(mb)) {
        return false;
    }
    switch (filter) {
    case FILTER_HEALTHY:
        return mb->state == JD_MEMBER_READY &&
               !_JdBalancer_IsEjected(lb, ts) && !is_stalled(lb, ts) &&
               !is_rate_limited(lb, mb);
    case FILTER_READY:
        return mb->state == JD_MEMBER_READY;
    default:
        return mb->state == JD_MEMBER_READY || mb->state == JD_MEMBER_LOST;
    }
}

static bool
is_excluded(const JdExcludedTargets *excluded, const JdMember *mb)
{
    if (excluded != NULL && excluded->versions != NULL &&
        !JdVersionFilter_Allows(excluded->versions, mb)) {
        return true;
    }
    for (unsigned i = 0; excluded != NULL && i < excluded->count; i++) {
        if (strcmp(excluded->id[i], mb->id) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds a member to the candidates of its tier, by reservoir sampling once
 * there are too many: each member is as likely to be a candidate as any other.
 */
static void
add_candidate(const JdBalancer *lb, Candidates *out, JdMember *mb)
{
    JdTier t = tier_of(lb, mb);
    uint64_t i;

    out->seen[t]++;
    if (out->count[t] < MAX_CANDIDATES) {
        out->list[t][out->count[t]++] = mb;
        return;
    }
    i = JdRandom_Below(lb->random, out->seen[t]);
    if (i < MAX_CANDIDATES) {
        out->list[t][i] = mb;
    }
}

static void
count_full(const JdBalancer *lb, Candidates *c)
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

static void
collect_candidates(const JdBalancer *lb, const JdMemberSet *set,
                   const JdExcludedTargets *excluded, HealthFilter filter,
                   Candidates *out)
{
    JdMember *mb;

    memset(out->count, 0, sizeof(out->count));
    memset(out->seen, 0, sizeof(out->seen));
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (passes_filter(lb, mb, filter) && !is_excluded(excluded, mb)) {
            add_candidate(lb, out, mb);
        }
    }
    count_full(lb, out);
    for (int t = 0; t < JD_TIER_MAX; t++) {
        if (out->seen[t] > out->count[t]) {
            lb->counters->value[JD_C_CANDIDATES_SAMPLED]++;
            break;
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
            slow_start_weight(lb, _JdBalancer_TargetStats(lb, list[i]))) {
            break;
        }
    }
    return i;
}

/* Returns the mean of the candidates' known service times, 1 if none is known.
 */
static double
mean_service_time(const JdBalancer *lb, const Candidates *c)
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
domain_has_capacity(const JdBalancer *lb, const Candidates *c, JdMember *local,
                    double default_time, uint64_t time_left)
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
pick_in_tier(const JdBalancer *lb, const Candidates *c, JdTier tier,
             double default_time)
{
    return c->count[tier] == 0 ? NULL
                               : pick_of_two(lb, (JdMember **)c->list[tier],
                                             c->count[tier], default_time);
}

/*
 * Returns a target in another region for a request that several targets have
 * refused for lack of capacity.  Returns NULL if too little time is left, or
 * if the picked target has refused a request for lack of capacity recently.
 */
static JdMember *
pick_spillover(const JdBalancer *lb, const Candidates *c,
               const JdExcludedTargets *excluded, uint64_t time_left,
               double default_time)
{
    uint64_t now = JdClock_Now(lb->clock);
    const JdTargetStats *ts;
    JdMember *mb;

    if (excluded == NULL || excluded->full_count < SPILLOVER_REFUSALS ||
        time_left < SPILLOVER_MIN_TIME) {
        return NULL;
    }
    mb = pick_in_tier(lb, c, JD_TIER_FAR, default_time);
    if (mb == NULL) {
        return NULL;
    }
    ts = _JdBalancer_TargetStats(lb, mb);
    return ts->last_full_at != 0 && now - ts->last_full_at < SPILLOVER_PAUSE
               ? NULL
               : mb;
}

/*
 * Picks a target by locality: in the node's own failure domain if it can serve
 * the request well within the time left, otherwise the cheaper of a target
 * there and a target in the rest of the region.  Traffic between regions costs
 * money, so another region is used only if the node's own region has no target
 * left or no capacity.
 */
static JdMember *
pick_by_locality(const JdBalancer *lb, const Candidates *c,
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
        return pick_in_tier(lb, c, JD_TIER_FAR, default_time);
    }
    if (region == NULL ||
        (local != NULL &&
         cost(lb, local, default_time) < cost(lb, region, default_time))) {
        return local;
    }
    *tier = JD_TIER_REGION;
    return region;
}

/*
 * Picks a target of an endpoint set.  Returns NULL if there is none.
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
    static Candidates c;
    JdMember *mb;

    if (set == NULL) {
        return NULL;
    }
    for (int f = FILTER_HEALTHY; f < FILTER_MAX; f++) {
        collect_candidates(lb, set, excluded, (HealthFilter)f, &c);
        mb = pick_by_locality(lb, &c, excluded, time_left, tier);
        if (mb != NULL) {
            return mb;
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

    for (int f = FILTER_HEALTHY; set != NULL && f < FILTER_MAX; f++) {
        TAILQ_FOREACH(mb, &set->members, set_link)
        {
            uint64_t rank = _Jd_HashText(mb->id, key);

            if (passes_filter(lb, mb, (HealthFilter)f) &&
                !is_excluded(excluded, mb) &&
                (best == NULL || rank > best_rank)) {
                best = mb;
                best_rank = rank;
            }
        }
        if (best != NULL) {
            *tier = tier_of(lb, best);
            return best;
        }
    }
    return NULL;
}

/* Returns whether an endpoint set has a target that is ready. */
bool
JdBalancer_HasReadyTarget(const JdBalancer *lb, const char *endpoint_set)
{
    const JdMemberSet *set = JdMembers_FindSet(lb->members, endpoint_set);
    const JdMember *mb;

    if (set == NULL) {
        return false;
    }
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (mb->state == JD_MEMBER_READY && !JdMember_HasTargetLeft(mb)) {
            return true;
        }
    }
    return false;
}
