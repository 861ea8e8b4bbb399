/*
 * Picks the target of an attempt by the balancer, the roll-outs of the service
 * and the capacity of targets, and the time after which a second one is asked.
 */
#include <string.h>

#include "forward.h"

/* Delay of the hedge in percent of the time left. */
#define HEDGE_DELAY_PERCENT 50

/* Returns whether the answer is large and comes in chunks. */
bool
JdPick_ExpectsChunks(const JdCall *call)
{
    return call->route.is_bulk && JdPacer_IsOn(&call->node->pacer);
}

/* Picks a target of the versions that `versions` allows, or NULL.  All copies
 * of a request under which a target has crashed get the same one. */
static JdMember *
pick_among(JdCall *call, const JdVersionFilter *versions, JdTier *tier)
{
    JdBalancer *lb = &call->node->balancer;
    JdExcludedTargets avoid = {call->target_ids, call->attempt_count,
                               call->full_count, versions};

    lb->counts_link = JdPick_ExpectsChunks(call);
    if (JdRetry_MayCrashTargets(call)) {
        return JdBalancer_PickPinned(lb, call->route.endpoint_set, &avoid,
                                     call->fingerprint.fingerprint.word[0],
                                     tier);
    }
    return JdCapacity_PickTarget(call, versions, tier);
}

/* Picks a target that has not been tried, of a version that the roll-out of
 * the service allows; NULL if there is none. */
JdMember *
JdPick_Target(JdCall *call, JdTier *tier)
{
    JdNode *nd = call->node;
    const JdMemberSet *set =
        JdMembers_FindSet(&nd->tree.members, call->route.endpoint_set);
    JdVersionFilter vf;
    JdMember *mb;

    JdVersionFilter_Init(&vf, &nd->tree.rollouts, call->route.service, set,
                         &call->version, JdRolloutNode_MayTest(nd));
    do {
        mb = pick_among(call, &vf, tier);
    } while (mb == NULL && JdVersionFilter_Widen(&vf, set));
    nd->counters.value[JD_C_ROLLOUT_CANARY] +=
        mb != NULL && vf.choice == JD_CHOICE_CANARY;
    return mb;
}

/* Returns whether a route has a ready target that its requests may be sent to:
 * one that is under test does not count. */
bool
JdPick_HasReadyTarget(JdNode *nd, const JdRoute *route)
{
    const JdMemberSet *set =
        JdMembers_FindSet(&nd->tree.members, route->endpoint_set);
    JdRequestVersion rv = {.is_drawn = true};
    JdVersionFilter vf;

    JdVersionFilter_Init(&vf, &nd->tree.rollouts, route->service, set, &rv,
                         false);
    do {
        if (JdBalancer_HasReadyTarget(&nd->balancer, route->endpoint_set,
                                      &vf)) {
            return true;
        }
    } while (JdVersionFilter_Widen(&vf, set));
    return false;
}

/*
 * Returns the time in us after which a request that is sent now is sent to a
 * second target as well.  The second attempt has the same time as the first
 * one.  It is made for what is lost on the way or at its target, not for what
 * takes longer than usual: under load a second run of that takes a slot from
 * another request.
 */
uint64_t
JdPick_HedgeDelay(const JdCall *call)
{
    uint64_t left = call->deadline - JdClock_Now(&call->node->loop.clock);

    return left * HEDGE_DELAY_PERCENT / 100;
}

static json_int_t
percent(double part)
{
    return (json_int_t)(part * 100 + 0.5);
}

/* Requests begin or cease to leave the failure domain. */
static void
on_share_changed(void *ctx, const char *endpoint_set, JdTier tier,
                 const JdSpread *sp)
{
    (void)ctx;
    JD_LOG(JD_EVENT_SPREAD, JD_TEXT("endpoint_set", endpoint_set),
           JD_TEXT("tier", JdTier_Name(tier)),
           JD_TEXT("state", sp->is_leaving[tier] ? "leaving" : "returned"),
           JD_NUMBER("share", percent(sp->share[tier])),
           JD_NUMBER("load_home", percent(sp->load[JD_TIER_DOMAIN])),
           JD_NUMBER("load_there", percent(sp->load[tier])),
           JD_NUMBER("wait_home_us", (json_int_t)sp->wait[JD_TIER_DOMAIN]),
           JD_NUMBER("wait_there_us", (json_int_t)sp->wait[tier]));
}

/* Initializes the balancer of a node. */
void
JdPick_Init(JdNode *nd)
{
    nd->balancer.members = &nd->tree.members;
    nd->balancer.clock = &nd->loop.clock;
    nd->balancer.random = &nd->tree.random;
    nd->balancer.counters = &nd->counters;
    nd->balancer.region = nd->settings.region;
    nd->balancer.domain = nd->settings.failure_domain;
    JdPlacing_Init(&nd->placing);
    nd->placing.share_changed = on_share_changed;
    nd->placing.ctx = nd;
    nd->balancer.placing = &nd->placing;
}
