/*
 * Choice of a target: the nearest tier that can serve in time, and the quicker
 * of two random targets in it, by its usual time, the work this node has there
 * and the load its node reported.  The load that it answers is one that
 * differs by place and targets that differ in speed.  Targets that fail are
 * ejected for a while and come back slowly.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Silence of a target with work outstanding that counts as a stall. */
#define STALL_AFTER (500 * JD_US_PER_MS)
/* Time over which a new or returning target gets its full share. */
#define WARM_UP (5 * JD_US_PER_S)
/* Share of the full weight at the start of the warm-up, in percent. */
#define WARM_LEAST 10
/* Age at which a reported load no longer counts. */
#define LOAD_FRESH (500 * JD_US_PER_MS)
/* Age at which a target's usual time no longer counts: it is asked again. */
#define SERVICE_FRESH (5 * JD_US_PER_S)
/* Shares of the time wanted, in percent, that work in front of a request and
 * its own run may take in the own failure domain before the region is asked.
 */
#define NEAR_SHARE 50
#define NEAR_RUN_SHARE 75
/* Load at which a target is full, in percent of its slots. */
#define LOAD_FULL 200
/* Near targets without room after which the far side is asked, and the time
 * for which one that had none either is left alone. */
#define SPILL_AFTER 3
#define SPILL_PAUSE JD_US_PER_S
/* Time wanted that has to be left for the far side. */
#define SPILL_TIME (100 * JD_US_PER_MS)
#define CANDIDATES_MOST 256
/* Draws before a target that is still cold is taken all the same. */
#define DRAWS_MOST 8

static const char *const tier_names[JD_TIER_MAX] = {
    [JD_TIER_DOMAIN] = "domain",
    [JD_TIER_REGION] = "region",
    [JD_TIER_FAR] = "far",
};

/* Returns the name of a tier. */
const char *
JdTier_Name(JdTier tier)
{
    return tier < JD_TIER_MAX ? tier_names[tier] : "none";
}

/* Returns what this node has seen of a member's target. */
JdTargetStats *
_JdBalancer_TargetStats(const JdBalancer *ch, JdMember *mb)
{
    JdTargetStats *ts = mb->user;

    if (ts == NULL) {
        ts = g_new0(JdTargetStats, 1);
        mb->user = ts;
    }
    if (ts->incarnation != mb->incarnation ||
        ts->target_started != mb->target_started) {
        memset(ts, 0, sizeof(*ts));
        ts->incarnation = mb->incarnation;
        ts->target_started = mb->target_started;
        ts->slow_start_at = JdClock_Now(ch->clock);
    }
    return ts;
}

bool
_JdBalancer_IsEjected(const JdBalancer *ch, const JdTargetStats *ts)
{
    return ts->ejected_until > JdClock_Now(ch->clock);
}

static bool
is_stalled(const JdBalancer *ch, const JdTargetStats *ts)
{
    uint64_t limit = ts->mean_latency * 4;

    if (limit < STALL_AFTER) {
        limit = STALL_AFTER;
    }
    return ts->outstanding > 0 &&
           JdClock_Now(ch->clock) - ts->progress_at > limit;
}

/* Age of the last report, as a share of the time for which it counts: 1 when
 * it no longer does. */
static double
report_age(const JdBalancer *ch, const JdTargetStats *ts)
{
    uint64_t age = JdClock_Now(ch->clock) - ts->load_reported_at;

    return ts->load_reported_at == 0 || age >= LOAD_FRESH
               ? 1
               : (double)age / (double)LOAD_FRESH;
}

/* Percent of the slots that the target's node told, fading with its age. */
static double
reported_load(const JdBalancer *ch, const JdTargetStats *ts)
{
    return ts->reported_load * (1 - report_age(ch, ts));
}

/*
 * Work per slot that a request would meet.  A fresh report counts what others
 * sent as well; what this node sent since comes on top.
 */
static double
work_per_slot(const JdBalancer *ch, JdMember *mb)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(ch, mb);
    double slots = mb->slots == 0 ? 1 : mb->slots;
    double work = ts->outstanding;

    if (report_age(ch, ts) < 1) {
        double told =
            reported_load(ch, ts) * slots / 100 + ts->sent_since_report;

        work = told > work ? told : work;
    }
    return (work + 1) / slots;
}

/* Share of the full weight in percent: less than 100 while warming up. */
static unsigned
warmth(const JdBalancer *ch, const JdTargetStats *ts)
{
    uint64_t age = JdClock_Now(ch->clock) - ts->slow_start_at;

    if (age >= WARM_UP) {
        return 100;
    }
    return WARM_LEAST + (unsigned)((100 - WARM_LEAST) * age / WARM_UP);
}

/* Usual time of work at a target, in us; `usual` where it is not known or was
 * told too long ago. */
static double
service_of(const JdBalancer *ch, JdMember *mb, double usual)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(ch, mb);
    bool is_old = JdClock_Now(ch->clock) - ts->service_time_at > SERVICE_FRESH;

    return ts->service_time == 0 || is_old ? usual : (double)ts->service_time;
}

/*
 * What is least at the better of two targets.  The own run counts beside the
 * work that is there, so that a slow target is not taken for a free one.
 */
static double
cost(const JdBalancer *ch, JdMember *mb, double usual)
{
    return service_of(ch, mb, usual) * (1 + work_per_slot(ch, mb));
}

static JdTier
tier_of(const JdBalancer *ch, const JdMember *mb)
{
    if (strcmp(mb->region, ch->region) != 0) {
        return JD_TIER_FAR;
    }
    return strcmp(mb->domain, ch->domain) == 0 ? JD_TIER_DOMAIN
                                               : JD_TIER_REGION;
}

/* The members of a set that may be chosen, by tier. */
typedef struct Candidates {
    JdMember *list[JD_TIER_MAX][CANDIDATES_MOST];
    unsigned count[JD_TIER_MAX];
    unsigned full[JD_TIER_MAX]; /* of those, how many are full */
} Candidates;

/* How much has to be wrong with a target for it to be left out. */
typedef enum Strictness {
    STRICT,  /* ready, neither ejected nor stalled */
    LENIENT, /* ready */
    DESPAIR, /* any that has not left: perhaps it is only cut off here */
    STRICTNESS_MAX
} Strictness;

static bool
is_usable(const JdBalancer *ch, JdMember *mb, Strictness strict)
{
    const JdTargetStats *ts = _JdBalancer_TargetStats(ch, mb);

    switch (strict) {
    case STRICT:
        return mb->state == JD_MEMBER_READY &&
               !_JdBalancer_IsEjected(ch, ts) && !is_stalled(ch, ts);
    case LENIENT:
        return mb->state == JD_MEMBER_READY;
    default:
        return mb->state == JD_MEMBER_READY || mb->state == JD_MEMBER_LOST;
    }
}

static bool
is_avoided(const JdExcludedTargets *avoid, const JdMember *mb)
{
    for (unsigned i = 0; avoid != NULL && i < avoid->count; i++) {
        if (strcmp(avoid->id[i], mb->id) == 0) {
            return true;
        }
    }
    return false;
}

static void
collect(const JdBalancer *ch, const JdMemberSet *set,
        const JdExcludedTargets *avoid, Strictness strict, Candidates *out)
{
    JdMember *mb;

    memset(out->count, 0, sizeof(out->count));
    memset(out->full, 0, sizeof(out->full));
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        JdTier t = tier_of(ch, mb);

        if (!is_usable(ch, mb, strict) || out->count[t] == CANDIDATES_MOST ||
            is_avoided(avoid, mb)) {
            continue;
        }
        out->list[t][out->count[t]++] = mb;
        if (reported_load(ch, _JdBalancer_TargetStats(ch, mb)) >= LOAD_FULL) {
            out->full[t]++;
        }
    }
}

/*
 * Draws a target at random; one that warms up is often passed over, so that
 * its share of the traffic grows with its warmth at any load.
 */
static unsigned
draw(const JdBalancer *ch, JdMember **list, unsigned n)
{
    unsigned i = 0;

    for (int tries = 0; tries < DRAWS_MOST; tries++) {
        i = (unsigned)JdRandom_Below(ch->random, n);
        if (JdRandom_Below(ch->random, 100) <
            warmth(ch, _JdBalancer_TargetStats(ch, list[i]))) {
            break;
        }
    }
    return i;
}

/* The mean service time of the candidates that are known, or 1. */
static double
usual_service(const JdBalancer *ch, const Candidates *c)
{
    double sum = 0;
    unsigned n = 0;

    for (int t = 0; t < JD_TIER_MAX; t++) {
        for (unsigned i = 0; i < c->count[t]; i++) {
            uint64_t service =
                _JdBalancer_TargetStats(ch, c->list[t][i])->service_time;

            sum += (double)service;
            n += service != 0;
        }
    }
    return n == 0 ? 1 : sum / n;
}

static JdMember *
pick_of_two(const JdBalancer *ch, JdMember **list, unsigned n, double usual)
{
    unsigned i = draw(ch, list, n);
    unsigned j = draw(ch, list, n);

    return cost(ch, list[i], usual) <= cost(ch, list[j], usual) ? list[i]
                                                                : list[j];
}

/* Whether the own failure domain can serve in time without help. */
static bool
has_room(const JdBalancer *ch, const Candidates *c, JdMember *near,
         double usual, uint64_t wanted)
{
    double run = service_of(ch, near, usual);

    if (c->full[JD_TIER_DOMAIN] >= c->count[JD_TIER_DOMAIN]) {
        return false;
    }
    return wanted == 0 || (run <= (double)wanted * NEAR_RUN_SHARE / 100 &&
                           run * work_per_slot(ch, near) <=
                               (double)wanted * NEAR_SHARE / 100);
}

static JdMember *
pick_in(const JdBalancer *ch, const Candidates *c, JdTier tier, double usual)
{
    return c->count[tier] == 0 ? NULL
                               : pick_of_two(ch, (JdMember **)c->list[tier],
                                             c->count[tier], usual);
}

/*
 * Returns a far target for work that several near ones had no room for, or
 * NULL: where it could not be answered when it is wanted, and where the far
 * side has no room either, as far as this node has heard.
 */
static JdMember *
pick_spill(const JdBalancer *ch, const Candidates *c,
           const JdExcludedTargets *avoid, uint64_t wanted, double usual)
{
    uint64_t now = JdClock_Now(ch->clock);
    const JdTargetStats *ts;
    JdMember *mb;

    if (avoid == NULL || avoid->full_count < SPILL_AFTER ||
        wanted < SPILL_TIME) {
        return NULL;
    }
    mb = pick_in(ch, c, JD_TIER_FAR, usual);
    if (mb == NULL) {
        return NULL;
    }
    ts = _JdBalancer_TargetStats(ch, mb);
    return ts->last_full_at != 0 && now - ts->last_full_at < SPILL_PAUSE ? NULL
                                                                         : mb;
}

/*
 * The own failure domain serves while it does so well within the time wanted;
 * then the quicker of it and the region.  The far side of the paid link is
 * used only when the region has no target left, or no room.
 */
static JdMember *
pick_member(const JdBalancer *ch, const Candidates *c,
            const JdExcludedTargets *avoid, uint64_t wanted, JdTier *tier)
{
    double usual = usual_service(ch, c);
    JdMember *near = pick_in(ch, c, JD_TIER_DOMAIN, usual);
    JdMember *far = pick_spill(ch, c, avoid, wanted, usual);
    JdMember *region;

    if (far != NULL) {
        *tier = JD_TIER_FAR;
        return far;
    }
    *tier = JD_TIER_DOMAIN;
    if (near != NULL && has_room(ch, c, near, usual, wanted)) {
        return near;
    }
    region = pick_in(ch, c, JD_TIER_REGION, usual);
    if (region == NULL && near == NULL) {
        *tier = JD_TIER_FAR;
        return pick_in(ch, c, JD_TIER_FAR, usual);
    }
    if (region == NULL ||
        (near != NULL && cost(ch, near, usual) < cost(ch, region, usual))) {
        return near;
    }
    *tier = JD_TIER_REGION;
    return region;
}

/*
 * Picks a target of an endpoint set, or NULL when none is known.  `avoid`
 * names the members that were tried, or is NULL; `wanted` is the time in us
 * within which an answer is wanted, 0 where there is none.
 */
JdMember *
JdBalancer_Pick(const JdBalancer *ch, const char *endpoint_set,
                const JdExcludedTargets *avoid, uint64_t wanted, JdTier *tier)
{
    const JdMemberSet *set = JdMembers_FindSet(ch->members, endpoint_set);
    static Candidates c;
    JdMember *mb;

    if (set == NULL) {
        return NULL;
    }
    for (int s = STRICT; s < STRICTNESS_MAX; s++) {
        collect(ch, set, avoid, (Strictness)s, &c);
        mb = pick_member(ch, &c, avoid, wanted, tier);
        if (mb != NULL) {
            return mb;
        }
    }
    return NULL;
}

/* Returns whether a target of an endpoint set is ready. */
bool
JdBalancer_HasReadyTarget(const JdBalancer *ch, const char *endpoint_set)
{
    const JdMemberSet *set = JdMembers_FindSet(ch->members, endpoint_set);
    const JdMember *mb;

    if (set == NULL) {
        return false;
    }
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (mb->state == JD_MEMBER_READY) {
            return true;
        }
    }
    return false;
}
