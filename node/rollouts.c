/*
 * Roll-outs at a node: counts the answers of its target, says which targets
 * its requests may be sent to, and keeps the director of a root in touch with
 * the source of configuration.
 */
#include <string.h>

#include "node.h"

/* A node whose parent, or for a root the source, has been silent for longer
 * may lack a roll-back, and sends nothing to a version under test. */
#define PARENT_SILENCE_MAX (2 * JD_US_PER_S)
#define SOURCE_SILENCE_MAX (5 * JD_US_PER_S)

/* ---- requests ---------------------------------------------------------- */

/* Returns whether this node is in touch with those that decide, so that it may
 * send requests to a version under test. */
bool
JdRolloutNode_MayTest(const JdNode *nd)
{
    const JdTree *tr = &nd->tree;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        return JdClock_Now(tr->clock) - tr->parent.heard_at <
               PARENT_SILENCE_MAX;
    }
    return tr->is_root && JdTree_SourceAge(tr) < SOURCE_SILENCE_MAX;
}

/* Counts the end of a request at the local target for the roll-out of its
 * service, if there is one.  `took` is the time since its start, in us.  Of
 * one that began while the target was cold only an answer counts, not its
 * time. */
void
JdRolloutNode_CountAnswer(JdNode *nd, const Jd__Request *msg,
                          JdAnswerKind kind, uint64_t took)
{
    const JdRollout *ro =
        JdRollouts_Find(&nd->tree.rollouts, nd->settings.service);
    const char *version = nd->tree.self.version;
    bool is_warm = JdClock_Now(&nd->loop.clock) >= nd->target_warm_at + took;
    JdRolloutReport *rp;
    bool is_new;

    if (ro == NULL || !JdRollout_IsUnderWay(ro) || version[0] == '\0' ||
        (!is_warm &&
         (kind == JD_ANSWER_LATE || kind == JD_ANSWER_CANCELLED))) {
        return;
    }
    is_new = strcmp(version, ro->order.version) == 0;
    rp = JdTree_OwnReport(&nd->tree, ro);
    JdRolloutReport_Count(rp, msg->route, is_new,
                          kind == JD_ANSWER_FAILED || kind == JD_ANSWER_LATE);
    if (is_warm && kind != JD_ANSWER_FAILED) {
        JdAnswerCounts_AddTime(
            &JdRolloutReport_Route(rp, msg->route, is_new)->total, took);
    }
}

/* ---- log --------------------------------------------------------------- */

static void
on_decided(void *ctx, const JdRollout *ro, const JdRolloutFinding *finding)
{
    const JdRouteAnswers *ra = &finding->answers;

    (void)ctx;
    JD_LOG(JD_EVENT_ROLLOUT, JD_TEXT("service", ro->order.service),
           JD_TEXT("target_version", ro->order.version),
           JD_NUMBER("order", ro->order.offset),
           JD_TEXT("decided", JdRolloutStep_Name(ro->step)),
           JD_TEXT("verdict", JdVerdict_Name(finding->verdict)),
           JD_TEXT("route", finding->route),
           JD_NUMBER("new_answers", ra->of_new.answered),
           JD_NUMBER("new_failed", ra->of_new.failed),
           JD_NUMBER("old_answers", ra->of_old.answered),
           JD_NUMBER("old_failed", ra->of_old.failed),
           JD_NUMBER("new_targets", ra->new_targets),
           JD_NUMBER("unconfirmed", finding->unconfirmed));
}

/* A roll-out was added or has changed its step. */
void
JdRolloutNode_OnChanged(JdNode *nd, JdRollout *ro)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t left = ro->deadline > now ? ro->deadline - now : 0;

    JD_LOG(JD_EVENT_ROLLOUT, JD_TEXT("service", ro->order.service),
           JD_TEXT("target_version", ro->order.version),
           JD_NUMBER("order", ro->order.offset),
           JD_TEXT("step", JdRolloutStep_Name(ro->step)),
           JD_NUMBER("left_ms", left / JD_US_PER_MS));
    nd->counters.value[JD_C_ROLLOUT_STEPS]++;
    JdDirector_Wake(&nd->director);
}

/* ---- the source -------------------------------------------------------- */

static void
load_states(void *ctx)
{
    JdNode *nd = ctx;

    nd->config_source->read_rollouts(nd);
}

static void
write_state(void *ctx, const JdRollout *ro, JdRolloutStep step)
{
    JdNode *nd = ctx;

    JD_LOG(JD_EVENT_ROLLOUT, JD_TEXT("service", ro->order.service),
           JD_TEXT("target_version", ro->order.version),
           JD_NUMBER("order", ro->order.offset),
           JD_TEXT("writing", JdRolloutStep_Name(step)));
    nd->config_source->put_rollout(nd, ro, step);
}

/* The root decides, where the source can keep what it decides. */
static bool
may_decide(void *ctx)
{
    const JdNode *nd = ctx;

    return nd->config_source->read_rollouts != NULL && nd->tree.is_root &&
           nd->tree.is_reading_log;
}

static const JdDirectorOps director_ops = {.may_decide = may_decide,
                                           .write = write_state,
                                           .load = load_states,
                                           .decided = on_decided};

/* Waits for the next states that another director writes. */
static void
follow(JdNode *nd)
{
    if (nd->director.is_active && nd->director.is_loaded &&
        !nd->is_following_rollouts) {
        nd->is_following_rollouts = true;
        nd->config_source->follow_rollouts(nd);
    }
}

/* The source holds an order. */
void
JdRolloutStore_OnOrder(JdNode *nd, const JdRolloutOrder *order)
{
    JdDirector_OnOrder(&nd->director, order);
}

/* The source holds the state of an order. */
void
JdRolloutStore_OnRecord(JdNode *nd, const JdRolloutOrder *order,
                        JdRolloutStep step, uint64_t left)
{
    JdDirector_OnRecord(&nd->director, order, step, left);
}

/* All states have been handed over, or the read failed. */
void
JdRolloutStore_OnReadEnd(JdNode *nd, JdStatus status)
{
    JdDirector_OnLoaded(&nd->director, status);
    follow(nd);
}

/* The wait for changes has ended. */
void
JdRolloutStore_OnFollowed(JdNode *nd, JdStatus status)
{
    nd->is_following_rollouts = false;
    if (status != JD_OK) {
        JdDirector_OnLoaded(&nd->director, status);
    }
    else if (JdDirector_HasWork(&nd->director)) {
        follow(nd);
    }
    else {
        nd->director.is_loaded = false;
    }
}

/* A write has ended. */
void
JdRolloutStore_OnPut(JdNode *nd, JdStatus status)
{
    if (status != JD_OK) {
        JD_LOG(JD_EVENT_ROLLOUT, JD_TEXT("outcome", "not written"),
               JD_TEXT("status", JdStatus_Name(status)));
        nd->counters.value[JD_C_ROLLOUT_WRITES_FAILED]++;
    }
    JdDirector_OnWritten(&nd->director, status);
}

/* Initializes a node that knows of no roll-out. */
void
JdRolloutNode_Init(JdNode *nd)
{
    nd->tree.rollouts.exposed_permille =
        (unsigned)nd->settings.exposed_permille;
    JdDirector_Init(&nd->director, &nd->tree.rollouts, &nd->tree.reports,
                    &nd->tree.members, &nd->loop.clock, &director_ops, nd);
}
