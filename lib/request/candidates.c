/*
 * Candidates of the load balancer: the statistics of targets, their health and
 * locality, and those of an endpoint set that may be picked.
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

/* Returns the weight in percent: less than 100 during the slow start. */
unsigned
_JdBalancer_Weight(const JdBalancer *lb, const JdTargetStats *ts)
{
    uint64_t age = JdClock_Now(lb->clock) - ts->slow_start_at;

    if (age >= SLOW_START_TIME) {
        return 100;
    }
    return SLOW_START_MIN_PERCENT +
           (unsigned)((100 - SLOW_START_MIN_PERCENT) * age / SLOW_START_TIME);
}

JdTier
_JdBalancer_TierOf(const JdBalancer *lb, const JdMember *mb)
{
    if (strcmp(mb->region, lb->region) != 0) {
        return JD_TIER_FAR;
    }
    return strcmp(mb->domain, lb->domain) == 0 ? JD_TIER_DOMAIN
                                               : JD_TIER_REGION;
}

bool
_JdBalancer_Passes(const JdBalancer *lb, JdMember *mb, _JdHealthFilter filter)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);

    if (JdMember_HasTargetLeft(mb)) {
        return false;
    }
    switch (filter) {
    case _JD_FILTER_HEALTHY:
        return mb->state == JD_MEMBER_READY &&
               !_JdBalancer_IsEjected(lb, ts) && !is_stalled(lb, ts) &&
               !is_rate_limited(lb, mb);
    case _JD_FILTER_READY:
        return mb->state == JD_MEMBER_READY;
    default:
        return mb->state == JD_MEMBER_READY || mb->state == JD_MEMBER_LOST;
    }
}

bool
_JdBalancer_IsExcluded(const JdExcludedTargets *excluded, const JdMember *mb)
{
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
add_candidate(const JdBalancer *lb, _JdCandidates *out, JdMember *mb)
{
    JdTier t = _JdBalancer_TierOf(lb, mb);
    uint64_t i;

    out->seen[t]++;
    if (out->count[t] < _JD_CANDIDATES_MAX) {
        out->list[t][out->count[t]++] = mb;
        return;
    }
    i = JdRandom_Below(lb->random, out->seen[t]);
    if (i < _JD_CANDIDATES_MAX) {
        out->list[t][i] = mb;
    }
}

void
_JdBalancer_Collect(const JdBalancer *lb, const JdMemberSet *set,
                    const JdExcludedTargets *excluded, _JdHealthFilter filter,
                    _JdCandidates *out)
{
    JdMember *mb;

    memset(out->count, 0, sizeof(out->count));
    memset(out->seen, 0, sizeof(out->seen));
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (_JdBalancer_Passes(lb, mb, filter) &&
            !_JdBalancer_IsExcluded(excluded, mb)) {
            add_candidate(lb, out, mb);
        }
    }
    for (int t = 0; t < JD_TIER_MAX; t++) {
        if (out->seen[t] > out->count[t]) {
            lb->counters->value[JD_C_CANDIDATES_SAMPLED]++;
            break;
        }
    }
}
