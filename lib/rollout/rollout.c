/*
 * The roll-outs that a node knows.  Orders are identified by their place at
 * the source of configuration, and the step of an order only rises, so states
 * that arrive twice, late or from different sources merge to the same result.
 * A success outranks a roll-back that is not recorded, as the source has
 * refused the latter.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

#define DEFAULT_EXPOSED_PERMILLE 100

static const char *const step_names[JD_ROLLOUT_STEP_MAX] = {
    [JD_ROLLOUT_HELD] = "held",
    [JD_ROLLOUT_CANARY] = "canary",
    [JD_ROLLOUT_FULL] = "full",
    [JD_ROLLOUT_STOPPED] = "stopped",
    [JD_ROLLOUT_SUCCEEDED] = "succeeded",
    [JD_ROLLOUT_ROLLED_BACK] = "rolled-back",
};

/* Returns the name of a step. */
const char *
JdRolloutStep_Name(JdRolloutStep step)
{
    return step < JD_ROLLOUT_STEP_MAX ? step_names[step] : "?";
}

/* Initializes an empty table. */
void
JdRollouts_Init(JdRollouts *rs, JdClock *clk, JdRandom *rnd)
{
    memset(rs, 0, sizeof(*rs));
    TAILQ_INIT(&rs->all);
    TAILQ_INIT(&rs->pending);
    rs->clock = clk;
    rs->random = rnd;
    rs->exposed_permille = DEFAULT_EXPOSED_PERMILLE;
}

/* Frees all roll-outs. */
void
JdRollouts_Finish(JdRollouts *rs)
{
    JdRollout *ro;

    while ((ro = TAILQ_FIRST(&rs->all)) != NULL) {
        TAILQ_REMOVE(&rs->all, ro, link);
        g_free(ro);
    }
}

/* Returns the roll-out of a service, or NULL. */
JdRollout *
JdRollouts_Find(const JdRollouts *rs, const char *service)
{
    JdRollout *ro;

    TAILQ_FOREACH(ro, &rs->all, link)
    {
        if (strcmp(ro->order.service, service) == 0) {
            return ro;
        }
    }
    return NULL;
}

/* Returns whether a roll-out is that of the order at this place of the source.
 */
bool
JdRollout_HasOrder(const JdRollout *ro, uint64_t epoch, uint64_t offset)
{
    return ro->order.epoch == epoch && ro->order.offset == offset;
}

/* Returns whether the source has a final state of the roll-out. */
bool
JdRollout_IsFinal(const JdRollout *ro)
{
    return ro->step >= JD_ROLLOUT_SUCCEEDED;
}

/* Returns whether answers of the roll-out's targets are counted. */
bool
JdRollout_IsUnderWay(const JdRollout *ro)
{
    return ro->step < JD_ROLLOUT_STOPPED;
}

/* Removes a roll-out from the list of changes to forward. */
void
JdRollouts_ClearPending(JdRollouts *rs, JdRollout *ro)
{
    if (ro->is_pending) {
        ro->is_pending = false;
        TAILQ_REMOVE(&rs->pending, ro, pending_link);
    }
}

static void
note_change(JdRollouts *rs, JdRollout *ro, uint64_t source_link)
{
    ro->changed_at = JdClock_Now(rs->clock);
    ro->source_link = source_link;
    if (!ro->is_pending) {
        ro->is_pending = true;
        TAILQ_INSERT_TAIL(&rs->pending, ro, pending_link);
    }
    if (rs->changed != NULL) {
        rs->changed(rs->ctx, ro);
    }
}

/* Raises the step; a lower one changes nothing. */
void
JdRollouts_SetStep(JdRollouts *rs, JdRollout *ro, JdRolloutStep step,
                   uint64_t source_link)
{
    if (step > ro->step) {
        ro->step = step;
        note_change(rs, ro, source_link);
    }
}

/* Names a version that an earlier order rolled back. */
void
JdRollouts_Bar(JdRollouts *rs, JdRollout *ro, const char *version,
               uint64_t source_link)
{
    if (version[0] != '\0' && strcmp(version, ro->order.version) != 0 &&
        strcmp(version, ro->barred) != 0) {
        _Jd_CopyText(ro->barred, sizeof(ro->barred), version);
        note_change(rs, ro, source_link);
    }
}

static JdRollout *
add_rollout(JdRollouts *rs)
{
    JdRollout *ro = g_new0(JdRollout, 1);

    TAILQ_INSERT_TAIL(&rs->all, ro, link);
    rs->count++;
    return ro;
}

static bool
is_newer(const JdRolloutOrder *a, const JdRolloutOrder *b)
{
    return a->epoch != b->epoch ? a->epoch > b->epoch : a->offset > b->offset;
}

/* Puts a newer order in the place of another one of the same service. */
static void
replace_order(JdRollout *ro, const JdRolloutOrder *order)
{
    bool was_bad =
        ro->step == JD_ROLLOUT_STOPPED || ro->step == JD_ROLLOUT_ROLLED_BACK;
    bool is_same_version = strcmp(ro->order.version, order->version) == 0;
    /* The source was restored, which numbers its records again. */
    bool is_renumbered = is_same_version && ro->order.epoch != order->epoch;

    if (was_bad && !is_same_version) {
        _Jd_CopyText(ro->barred, sizeof(ro->barred), ro->order.version);
    }
    if (strcmp(ro->barred, order->version) == 0) {
        ro->barred[0] = '\0';
    }
    ro->order = *order;
    ro->record = JD_ROLLOUT_HELD;
    if (!is_renumbered) {
        ro->step = JD_ROLLOUT_HELD;
    }
}

/*
 * Merges the state of an order into the table; `left` is the time until its
 * deadline.  Returns the roll-out of the service, which is that of a newer
 * order where one is known.
 */
JdRollout *
JdRollouts_Merge(JdRollouts *rs, const JdRolloutOrder *order,
                 JdRolloutStep step, uint64_t left, uint64_t source_link)
{
    JdRollout *ro = JdRollouts_Find(rs, order->service);
    bool is_new = ro == NULL || is_newer(order, &ro->order);

    if (ro == NULL) {
        ro = add_rollout(rs);
        ro->order = *order;
    }
    else if (is_new) {
        replace_order(ro, order);
    }
    else if (is_newer(&ro->order, order)) {
        return ro;
    }
    if (is_new) {
        ro->deadline = JdClock_Now(rs->clock) + left;
        ro->credit = (unsigned)JdRandom_Below(rs->random, 1000);
        ro->step = step > ro->step ? step : ro->step;
        note_change(rs, ro, source_link);
    }
    else {
        JdRollouts_SetStep(rs, ro, step, source_link);
    }
    return ro;
}
