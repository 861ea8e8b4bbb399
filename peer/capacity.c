/*
 * What a node that sends requests knows of the capacity of targets: which of
 * them refuse a request for now, whether one can still run it, and when a
 * caller that is refused may come back.  (Room on a VM's link is another
 * thing: lib/link/room.c and targets/room.c.)
 */
#include <string.h>

#include "forward.h"

/* A request is not sent to another target with less time left than this share
 * of the target's mean service time, in percent. */
#define RETRY_MIN_PERCENT 50
/* Shortest Retry-After of requests that this node refuses by itself. */
#define RETRY_AFTER_MIN_MS 50

/*
 * Returns the time in us until the route's latency goal.  Returns 1 when it
 * has passed, since 0 means to the balancer that there is no goal.
 */
static uint64_t
time_until_latency_goal(const JdCall *call)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    uint64_t goal_at = call->arrived_at + call->route.latency_goal;

    return goal_at > now ? goal_at - now : 1;
}

/* Picks a target by work where the service asks for it.  The response of a
 * large request waits for the target's link, so it is placed by links. */
static JdMember *
pick_any(const JdCall *call, const JdExcludedTargets *excluded, JdTier *tier)
{
    const JdBalancer *lb = &call->node->balancer;
    const char *set = call->route.endpoint_set;
    uint64_t left = time_until_latency_goal(call);

    if (call->route.is_by_work && !lb->counts_link) {
        return JdBalancer_PickByWork(lb, set, call->route.name, excluded, left,
                                     tier);
    }
    return JdBalancer_Pick(lb, set, excluded, left, tier);
}

/* Returns the time in us for which a target refuses a request, as it told
 * last; 0: it may take it. */
static uint64_t
refused_time(const JdCall *call, const JdMember *mb)
{
    const JdTargetStats *ts = mb->user;
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    if (!call->node->is_shortage_asked || ts == NULL ||
        !JdCutoff_Refuses(&ts->cutoff, JdRank_OfRequest(call->msg), now)) {
        return 0;
    }
    return ts->cutoff.until - now;
}

/* Records that a target is passed by.  The caller may come back when it takes
 * requests again. */
static void
record_passed_by(JdCall *call, uint64_t refused_for)
{
    unsigned ms = (unsigned)(refused_for / JD_US_PER_MS);

    call->node->counters.value[JD_C_TARGETS_PASSED_BY]++;
    call->full_count++;
    call->last_reason = JD_REASON_TOO_LATE;
    if (ms < RETRY_AFTER_MIN_MS) {
        ms = RETRY_AFTER_MIN_MS;
    }
    if (call->retry_after_ms == 0 || ms < call->retry_after_ms) {
        call->retry_after_ms = ms;
    }
}

/*
 * Picks a target of the versions that `versions` allows that has not been
 * tried and does not refuse requests of this rank for now.  Returns NULL if
 * there is none, or if as many refuse as would be tried.
 */
JdMember *
JdCapacity_PickTarget(JdCall *call, const JdVersionFilter *versions,
                      JdTier *tier)
{
    char ids[JD_ATTEMPTS_MAX][JD_NAME_MAX];
    JdExcludedTargets avoid = {ids, call->attempt_count, call->full_count,
                               versions};

    memcpy(ids, call->target_ids, sizeof(ids));
    while (avoid.count < JD_ATTEMPTS_MAX) {
        JdMember *mb = pick_any(call, &avoid, tier);
        uint64_t refused_for = mb == NULL ? 0 : refused_time(call, mb);

        if (refused_for == 0) {
            return mb;
        }
        record_passed_by(call, refused_for);
        avoid.full_count = call->full_count;
        g_strlcpy(ids[avoid.count++], mb->id, JD_NAME_MAX);
    }
    return NULL;
}

/* Returns whether enough time is left for a target to run the request.  A
 * first attempt is made in any case, as the estimate may be outdated. */
bool
JdCapacity_HasTimeFor(const JdCall *call, const JdMember *mb)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    const JdTargetStats *ts = mb->user;

    return !call->node->is_shortage_asked || call->attempt_count == 0 ||
           ts == NULL ||
           now + ts->service_time * RETRY_MIN_PERCENT / 100 < call->deadline;
}

/* Returns the promises to callers of this node for a service. */
static JdPromises *
get_promises(JdNode *nd, const char *service)
{
    JdPromises *pr = g_hash_table_lookup(nd->promises, service);

    if (pr == NULL) {
        pr = g_new0(JdPromises, 1);
        g_hash_table_insert(nd->promises, g_strdup(service), pr);
    }
    return pr;
}

/* Returns the part of an endpoint set's slots that callers of this node use if
 * they come to all nodes alike, and the mean run time there. */
static double
find_share_of_slots(const JdNode *nd, const char *endpoint_set,
                    uint64_t *run_time)
{
    const JdMemberSet *set =
        JdMembers_FindSet(nd->balancer.members, endpoint_set);
    unsigned known = 0, slots = 0;
    uint64_t sum = 0;
    const JdMember *mb;

    *run_time = 0;
    if (set == NULL) {
        return 0;
    }
    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        const JdTargetStats *ts = mb->user;

        slots += mb->state == JD_MEMBER_READY ? mb->slots : 0;
        if (ts != NULL && ts->service_time != 0) {
            sum += ts->service_time;
            known++;
        }
    }
    if (known > 0) {
        *run_time = sum / known;
    }
    return (double)slots / nd->tree.members.count;
}

/* Adds the time until there is room for a caller that is refused because all
 * targets are full, behind those that were refused before it. */
void
JdCapacity_Promise(JdCall *call)
{
    JdNode *nd = call->node;
    uint64_t run_time, wait;
    double slots =
        find_share_of_slots(nd, call->route.endpoint_set, &run_time);

    if (!nd->is_shortage_asked || slots <= 0) {
        return;
    }
    wait = JdPromises_Make(get_promises(nd, call->route.service),
                           JdRank_OfRequest(call->msg), run_time, slots,
                           JdClock_Now(&nd->loop.clock));
    call->retry_after_ms += (unsigned)(wait / JD_US_PER_MS);
}

/* Initializes a node that has promised no capacity. */
void
JdCapacity_Init(JdNode *nd)
{
    nd->promises =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}
