/*
 * Choice of a target: the nearest tier that can serve, and the better of two
 * random targets in it by the work this node has there and the load its node
 * reported.  Targets that fail are ejected for a while and come back slowly.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Failures in a row after which a target is ejected. */
#define EJECT_AFTER 3
/* First and longest ejection. */
#define EJECT_FIRST (500 * JD_US_PER_MS)
#define EJECT_MOST (10 * JD_US_PER_S)
/* Silence of a target with work outstanding that counts as a stall. */
#define STALL_AFTER (500 * JD_US_PER_MS)
/* Time over which a new or returning target gets its full share. */
#define WARM_UP (5 * JD_US_PER_S)
/* Share of the full weight at the start of the warm-up, in percent. */
#define WARM_LEAST 10
/* Age at which a reported load no longer counts. */
#define LOAD_FRESH (500 * JD_US_PER_MS)
/* Load at which a target is full, in percent of its slots. */
#define LOAD_FULL 200
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

static JdTargetStat *
stat_of(const JdChooser *ch, JdMember *mb)
{
    JdTargetStat *ts = mb->user;

    if (ts == NULL) {
        ts = g_new0(JdTargetStat, 1);
        mb->user = ts;
    }
    if (ts->incarnation != mb->incarnation ||
        ts->target_started != mb->target_started) {
        memset(ts, 0, sizeof(*ts));
        ts->incarnation = mb->incarnation;
        ts->target_started = mb->target_started;
        ts->warm_from = JdClock_Now(ch->clock);
    }
    return ts;
}

static bool
is_ejected(const JdChooser *ch, const JdTargetStat *ts)
{
    return ts->ejected_until > JdClock_Now(ch->clock);
}

static bool
is_stalled(const JdChooser *ch, const JdTargetStat *ts)
{
    uint64_t limit = ts->latency * 4;

    if (limit < STALL_AFTER) {
        limit = STALL_AFTER;
    }
    return ts->outstanding > 0 &&
           JdClock_Now(ch->clock) - ts->progress_at > limit;
}

static unsigned
reported_load(const JdChooser *ch, const JdTargetStat *ts)
{
    bool is_fresh =
        ts->load_at != 0 && JdClock_Now(ch->clock) - ts->load_at < LOAD_FRESH;

    return is_fresh ? ts->load : 0;
}

/* Share of the full weight in percent: less than 100 while warming up. */
static unsigned
warmth(const JdChooser *ch, const JdTargetStat *ts)
{
    uint64_t age = JdClock_Now(ch->clock) - ts->warm_from;

    if (age >= WARM_UP) {
        return 100;
    }
    return WARM_LEAST + (unsigned)((100 - WARM_LEAST) * age / WARM_UP);
}

/* Work per slot that a request would meet; lower is better. */
static double
cost(const JdChooser *ch, JdMember *mb)
{
    const JdTargetStat *ts = stat_of(ch, mb);
    double slots = mb->slots == 0 ? 1 : mb->slots;
    double work = 1 + ts->outstanding + reported_load(ch, ts) * slots / 100.0;

    return work / slots;
}

static JdTier
tier_of(const JdChooser *ch, const JdMember *mb)
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
is_usable(const JdChooser *ch, JdMember *mb, Strictness strict)
{
    const JdTargetStat *ts = stat_of(ch, mb);

    switch (strict) {
    case STRICT:
        return mb->state == JD_MEMBER_READY && !is_ejected(ch, ts) &&
               !is_stalled(ch, ts);
    case LENIENT:
        return mb->state == JD_MEMBER_READY;
    default:
        return mb->state == JD_MEMBER_READY || mb->state == JD_MEMBER_LOST;
    }
}

static bool
is_avoided(const JdAvoid *avoid, const JdMember *mb)
{
    for (unsigned i = 0; avoid != NULL && i < avoid->count; i++) {
        if (strcmp(avoid->id[i], mb->id) == 0) {
            return true;
        }
    }
    return false;
}

static void
collect(const JdChooser *ch, const JdMemberSet *set, const JdAvoid *avoid,
        Strictness strict, Candidates *out)
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
        if (reported_load(ch, stat_of(ch, mb)) >= LOAD_FULL) {
            out->full[t]++;
        }
    }
}

/*
 * Draws a target at random; one that warms up is often passed over, so that
 * its share of the traffic grows with its warmth at any load.
 */
static unsigned
draw(const JdChooser *ch, JdMember **list, unsigned n)
{
    unsigned i = 0;

    for (int tries = 0; tries < DRAWS_MOST; tries++) {
        i = (unsigned)JdRandom_Below(ch->random, n);
        if (JdRandom_Below(ch->random, 100) <
            warmth(ch, stat_of(ch, list[i]))) {
            break;
        }
    }
    return i;
}

static JdMember *
pick_of_two(const JdChooser *ch, JdMember **list, unsigned n)
{
    unsigned i = draw(ch, list, n);
    unsigned j = draw(ch, list, n);

    return cost(ch, list[i]) <= cost(ch, list[j]) ? list[i] : list[j];
}

/*
 * The own failure domain serves unless all of it is full; then the region
 * does.  The far side is used only when the region has no target left.
 */
static JdTier
pick_tier(const Candidates *c)
{
    bool has_domain = c->count[JD_TIER_DOMAIN] > 0;
    bool has_region = c->count[JD_TIER_REGION] > 0;

    if (has_domain &&
        (c->full[JD_TIER_DOMAIN] < c->count[JD_TIER_DOMAIN] || !has_region)) {
        return JD_TIER_DOMAIN;
    }
    if (has_region) {
        return JD_TIER_REGION;
    }
    return c->count[JD_TIER_FAR] > 0 ? JD_TIER_FAR : JD_TIER_MAX;
}

/*
 * Picks a target of an endpoint set, or NULL when none is known.  `avoid`
 * names the members that were tried, or is NULL.
 */
JdMember *
JdChooser_Pick(const JdChooser *ch, const char *endpoint_set,
               const JdAvoid *avoid, JdTier *tier)
{
    const JdMemberSet *set = JdMembers_Set(ch->members, endpoint_set);
    static Candidates c;

    if (set == NULL) {
        return NULL;
    }
    for (int s = STRICT; s < STRICTNESS_MAX; s++) {
        collect(ch, set, avoid, (Strictness)s, &c);
        *tier = pick_tier(&c);
        if (*tier != JD_TIER_MAX) {
            return pick_of_two(ch, c.list[*tier], c.count[*tier]);
        }
    }
    return NULL;
}

/* A request goes to a member. */
void
JdChooser_Sent(const JdChooser *ch, JdMember *mb)
{
    JdTargetStat *ts = stat_of(ch, mb);

    if (ts->outstanding == 0) {
        ts->progress_at = JdClock_Now(ch->clock);
    }
    ts->outstanding++;
}

/* A try at a member is over; returns NULL when it is no longer known. */
static JdTargetStat *
take_back(const JdChooser *ch, const char *id, JdMember **mb)
{
    JdTargetStat *ts;

    *mb = JdMembers_Find(ch->members, id);
    if (*mb == NULL) {
        return NULL;
    }
    ts = stat_of(ch, *mb);
    if (ts->outstanding > 0) {
        ts->outstanding--;
    }
    return ts;
}

static void
note_load(const JdChooser *ch, JdTargetStat *ts, unsigned load)
{
    ts->load = load;
    ts->load_at = JdClock_Now(ch->clock);
}

/* A target answered after `took` us; `load` is in percent of its slots. */
void
JdChooser_Answered(const JdChooser *ch, const char *id, uint64_t took,
                   unsigned load)
{
    JdMember *mb;
    JdTargetStat *ts = take_back(ch, id, &mb);

    if (ts == NULL) {
        return;
    }
    ts->progress_at = JdClock_Now(ch->clock);
    ts->failures = 0;
    ts->ejections = 0;
    ts->latency = ts->latency == 0 ? took : (ts->latency * 7 + took) / 8;
    note_load(ch, ts, load);
}

/* Half of a set at the most may be ejected. */
static bool
may_eject(const JdChooser *ch, const JdMember *mb)
{
    unsigned n = 0;
    JdMember *m;

    if (mb->set == NULL) {
        return false;
    }
    TAILQ_FOREACH(m, &mb->set->members, set_link)
    {
        if (is_ejected(ch, stat_of(ch, m))) {
            n++;
        }
    }
    return (n + 1) * 2 <= mb->set->count;
}

static void
eject(const JdChooser *ch, JdTargetStat *ts)
{
    uint64_t wait = EJECT_FIRST << (ts->ejections < 5 ? ts->ejections : 5);

    if (wait > EJECT_MOST) {
        wait = EJECT_MOST;
    }
    ts->ejected_until = JdClock_Now(ch->clock) + wait;
    ts->warm_from = ts->ejected_until;
    ts->ejections++;
    ts->failures = 0;
    ch->counters->value[JD_C_EJECTED]++;
}

/* A try at a member failed. */
void
JdChooser_Failed(const JdChooser *ch, const char *id, JdReason reason,
                 unsigned load)
{
    JdMember *mb;
    JdTargetStat *ts = take_back(ch, id, &mb);

    if (ts == NULL) {
        return;
    }
    switch (reason) {
    case JD_REASON_QUEUE_FULL:
    case JD_REASON_TOO_LATE:
        /* The node is well and says that its target has enough to do. */
        ts->progress_at = JdClock_Now(ch->clock);
        note_load(ch, ts, load);
        return;
    case JD_REASON_CANCELLED:
        return;
    default:
        break;
    }
    ts->failures++;
    if ((ts->failures >= EJECT_AFTER || reason == JD_REASON_TARGET_DOWN ||
         reason == JD_REASON_DRAINING) &&
        may_eject(ch, mb)) {
        eject(ch, ts);
    }
}
