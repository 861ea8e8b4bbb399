/*
 * Chooses the version that a request may be sent to.  While a version is under
 * test it gets a small share of the requests that arrive at each node, so that
 * the share of all nodes together is kept without a message.  The canary's
 * requests go to so few of the new targets that each is about as loaded as an
 * old one: a version that fails under load shows it.
 */
#include <string.h>

#include "libjd.h"

/* Share of the requests that the version under test gets, and its limit where
 * one target needs more to be as loaded as the others; in percent of the
 * largest share that is allowed.  Retries come on top. */
#define CANARY_PERCENT 50
#define CANARY_PERCENT_MAX 80
/* Load of a target under test against that of an old one, in percent. */
#define CANARY_LOAD_PERCENT 115
/* Targets under test at most. */
#define CANARY_TARGETS_MAX 32
/* Time for which a version that has just appeared waits for its order. */
#define UNORDERED_WAIT (2 * JD_US_PER_S)
/* Time for which the targets of old versions are avoided after a success: by
 * then all have been stopped. */
#define SUCCESS_TIME (5 * JD_US_PER_S)

static bool
is_ready(const JdMember *mb)
{
    return mb->state == JD_MEMBER_READY && !JdMember_HasTargetLeft(mb);
}

/* Returns whether a target runs the version that is rolled out. */
static bool
is_new(const JdRollout *ro, const JdMember *mb)
{
    return strcmp(mb->version, ro->order.version) == 0;
}

/* Returns whether a target runs another version than the one that its service
 * is to move to. */
bool
JdRollouts_IsOldVersion(const JdRollouts *rs, const JdMember *mb)
{
    const JdRollout *ro = JdRollouts_Find(rs, mb->service);

    return ro != NULL && !is_new(ro, mb);
}

static bool
is_barred(const JdRollout *ro, const JdMember *mb)
{
    return ro->barred[0] != '\0' && strcmp(mb->version, ro->barred) == 0;
}

static uint64_t
rank_of(const JdRollout *ro, const JdMember *mb)
{
    return _Jd_HashText(mb->id, ro->order.offset);
}

/* The targets under test. */
typedef struct Canary {
    unsigned old_slots;
    unsigned new_slots;
    unsigned new_targets;
    uint64_t rank[CANARY_TARGETS_MAX]; /* the lowest ones, in order */
    unsigned rank_count;
} Canary;

static void
add_rank(Canary *ca, uint64_t rank)
{
    unsigned i = ca->rank_count;

    if (i == CANARY_TARGETS_MAX && ca->rank[i - 1] <= rank) {
        return;
    }
    if (i == CANARY_TARGETS_MAX) {
        i--;
    }
    else {
        ca->rank_count++;
    }
    for (; i > 0 && ca->rank[i - 1] > rank; i--) {
        ca->rank[i] = ca->rank[i - 1];
    }
    ca->rank[i] = rank;
}

static void
survey_targets(const JdRollout *ro, const JdMemberSet *set, Canary *ca)
{
    const JdMember *mb;

    memset(ca, 0, sizeof(*ca));
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (!is_ready(mb) || is_barred(ro, mb)) {
            continue;
        }
        if (is_new(ro, mb)) {
            ca->new_slots += mb->slots;
            ca->new_targets++;
            add_rank(ca, rank_of(ro, mb));
        }
        else {
            ca->old_slots += mb->slots;
        }
    }
}

/* Returns the share of the requests that the version under test gets, in
 * 1/1000, and sets the number of its targets that share it. */
static unsigned
canary_share(const JdRollouts *rs, const Canary *ca, unsigned *targets)
{
    double aim = rs->exposed_permille * CANARY_PERCENT / 100.0;
    double most = rs->exposed_permille * CANARY_PERCENT_MAX / 100.0;
    double slots =
        ca->new_targets == 0 ? 0 : (double)ca->new_slots / ca->new_targets;
    double n, share;

    *targets = 0;
    if (slots < 1 || ca->old_slots == 0) {
        return 0;
    }
    /* The share that loads one target as much as an old one. */
    share = 10.0 * CANARY_LOAD_PERCENT * slots / ca->old_slots;
    n = aim / share + 0.5;
    *targets = n < 1 ? 1 : (unsigned)n;
    if (*targets > ca->rank_count) {
        *targets = ca->rank_count;
    }
    share *= *targets;
    return (unsigned)(share < most ? share : most);
}

/* Returns whether the next request belongs to the canary.  A node's share is
 * kept exactly, not by chance, so that the sum over many nodes is as well. */
static bool
draw_canary(JdRollout *ro, unsigned share)
{
    ro->credit += share;
    if (ro->credit < 1000) {
        return false;
    }
    ro->credit -= 1000;
    return true;
}

static void
choose_canary(JdVersionFilter *vf, const JdRollouts *rs, JdRollout *ro,
              const JdMemberSet *set, JdRequestVersion *rv, bool may_test)
{
    unsigned targets, share;
    Canary ca;

    survey_targets(ro, set, &ca);
    share = canary_share(rs, &ca, &targets);
    if (!rv->is_drawn) {
        rv->is_drawn = true;
        rv->is_canary = may_test && draw_canary(ro, share);
    }
    if (rv->is_canary && may_test && targets > 0) {
        vf->choice = JD_CHOICE_CANARY;
        vf->canary_rank = ca.rank[targets - 1];
    }
}

/*
 * Chooses the versions for a request to an endpoint set.  `rv` is kept with
 * the request, which thereby keeps to its share in all attempts.  `may_test`
 * is false on a node that may lack the newest state: it sends nothing to a
 * version under test.
 */
void
JdVersionFilter_Init(JdVersionFilter *vf, JdRollouts *rs, const char *service,
                     const JdMemberSet *set, JdRequestVersion *rv,
                     bool may_test)
{
    JdRollout *ro = JdRollouts_Find(rs, service);

    memset(vf, 0, sizeof(*vf));
    vf->rollout = ro;
    vf->now = JdClock_Now(rs->clock);
    if (ro == NULL || set == NULL) {
        return;
    }
    switch (ro->step) {
    case JD_ROLLOUT_CANARY:
        vf->choice = JD_CHOICE_OLD;
        choose_canary(vf, rs, ro, set, rv, may_test);
        break;
    case JD_ROLLOUT_FULL:
        vf->choice = JD_CHOICE_NEW;
        break;
    case JD_ROLLOUT_SUCCEEDED:
        vf->choice = vf->now - ro->changed_at < SUCCESS_TIME ? JD_CHOICE_NEW
                                                             : JD_CHOICE_ANY;
        break;
    default:
        vf->choice = JD_CHOICE_OLD;
        break;
    }
}

/* Returns whether a target's version appeared after others of its service and
 * so lately that the order for it may be on its way. */
static bool
is_unordered(const JdVersionFilter *vf, const JdMember *mb)
{
    return !vf->allows_unordered &&
           mb->version_seen_at > mb->service_seen_at + UNORDERED_WAIT &&
           vf->now - mb->version_seen_at < UNORDERED_WAIT;
}

/* Returns whether the request may be sent to a target. */
bool
JdVersionFilter_Allows(const JdVersionFilter *vf, const JdMember *mb)
{
    const JdRollout *ro = vf->rollout;

    if (mb->version[0] == '\0') {
        return true;
    }
    if (ro == NULL) {
        return !is_unordered(vf, mb);
    }
    if (is_barred(ro, mb)) {
        return false;
    }
    switch (vf->choice) {
    case JD_CHOICE_OLD:
        return !is_new(ro, mb);
    case JD_CHOICE_CANARY:
        return is_new(ro, mb) && rank_of(ro, mb) <= vf->canary_rank;
    case JD_CHOICE_NEW:
        return is_new(ro, mb);
    default:
        return !is_unordered(vf, mb);
    }
}

/* Returns whether there is a target of another version than the new one, be it
 * lost. */
static bool
has_old_target(const JdRollout *ro, const JdMemberSet *set)
{
    const JdMember *mb;

    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        if (!is_new(ro, mb) && !JdMember_HasTargetLeft(mb)) {
            return true;
        }
    }
    return false;
}

/*
 * Allows other targets for a request that found none; returns false if there
 * are none that it has not been allowed yet.  A version under test never gets
 * what old targets refuse, except where no old target is left at all.
 */
bool
JdVersionFilter_Widen(JdVersionFilter *vf, const JdMemberSet *set)
{
    const JdRollout *ro = vf->rollout;

    switch (vf->choice) {
    case JD_CHOICE_CANARY:
    case JD_CHOICE_NEW:
        if (vf->is_old_gone) {
            return false;
        }
        vf->choice = JD_CHOICE_OLD;
        return true;
    case JD_CHOICE_OLD:
        if (ro->step != JD_ROLLOUT_CANARY || set == NULL ||
            has_old_target(ro, set)) {
            return false;
        }
        vf->is_old_gone = true;
        vf->choice = JD_CHOICE_NEW;
        return true;
    default:
        /* The only targets of the service: an order need not come. */
        if (vf->allows_unordered) {
            return false;
        }
        vf->allows_unordered = true;
        return true;
    }
}
