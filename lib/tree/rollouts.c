/* Roll-outs in the tree: each change of a state goes to all nodes at once. */
#include "libjd.h"
#include "libtree.h"

/* Maximum number of roll-outs in one frame. */
#define ROLLOUTS_PER_FRAME 32

/* Roll-outs collected for the next frame on one link. */
typedef struct RolloutBatch {
    Jd__Rollout rollout[ROLLOUTS_PER_FRAME];
    Jd__Rollout *list[ROLLOUTS_PER_FRAME];
    size_t count;
} RolloutBatch;

static void
send_batch(JdTree *tr, void *peer, RolloutBatch *b)
{
    Jd__Rollouts msg = JD__ROLLOUTS__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (b->count == 0) {
        return;
    }
    msg.n_rollout = b->count;
    msg.rollout = b->list;
    frame.body_case = JD__FRAME__BODY_ROLLOUTS;
    frame.rollouts = &msg;
    _JdTree_Send(tr, peer, &frame);
    b->count = 0;
}

static void
add_to_batch(JdTree *tr, void *peer, RolloutBatch *b, const JdRollout *ro)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t left = ro->deadline > now ? ro->deadline - now : 0;
    Jd__Rollout *msg = &b->rollout[b->count];

    jd__rollout__init(msg);
    b->list[b->count++] = msg;
    msg->service = (char *)ro->order.service;
    msg->version = (char *)ro->order.version;
    msg->epoch = ro->order.epoch;
    msg->offset = ro->order.offset;
    msg->duration_ms = (uint32_t)(ro->order.duration / JD_US_PER_MS);
    msg->step = ro->step;
    msg->left_ms = (uint32_t)(left / JD_US_PER_MS);
    msg->barred = (char *)ro->barred;
    if (b->count == ROLLOUTS_PER_FRAME) {
        send_batch(tr, peer, b);
    }
}

/* Sends a peer that has just connected all roll-outs. */
void
_JdTree_SendRollouts(JdTree *tr, void *peer)
{
    RolloutBatch b = {.count = 0};
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &tr->rollouts.all, link)
    {
        add_to_batch(tr, peer, &b, ro);
    }
    send_batch(tr, peer, &b);
}

static void
send_pending(JdTree *tr, void *peer, uint64_t link_id)
{
    RolloutBatch b = {.count = 0};
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &tr->rollouts.pending, pending_link)
    {
        if (ro->source_link != link_id) {
            add_to_batch(tr, peer, &b, ro);
        }
    }
    send_batch(tr, peer, &b);
}

/* Sends each changed roll-out on all links but the one that it came over. */
static void
on_rollout_timer(void *ctx)
{
    JdTree *tr = ctx;
    JdRollout *ro;
    JdChild *ch;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        send_pending(tr, tr->parent.peer, tr->parent.link_id);
    }
    TAILQ_FOREACH(ch, &tr->children, link)
    {
        send_pending(tr, ch->peer, ch->link_id);
    }
    while ((ro = TAILQ_FIRST(&tr->rollouts.pending)) != NULL) {
        JdRollouts_ClearPending(&tr->rollouts, ro);
    }
}

static void
on_changed(void *ctx, JdRollout *ro)
{
    JdTree *tr = ctx;

    if (!tr->rollout_timer.is_armed) {
        JdTimer_Arm(tr->clock, &tr->rollout_timer, 0);
    }
    if (!JdRollout_IsFinal(ro)) {
        _JdTree_ScheduleReport(tr, 0);
    }
    JdRolloutReports_Drop(&tr->reports, &tr->rollouts);
    if (tr->ops->rollout_changed != NULL) {
        tr->ops->rollout_changed(tr->ctx, ro);
    }
}

/* Merges the roll-outs that another node knows. */
void
_JdTree_OnRollouts(JdTree *tr, void *peer, const Jd__Rollouts *msg)
{
    uint64_t link_id = _JdTree_LinkId(tr, peer);

    for (size_t i = 0; i < msg->n_rollout; i++) {
        const Jd__Rollout *in = msg->rollout[i];
        JdRolloutOrder order = {.epoch = in->epoch,
                                .offset = in->offset,
                                .duration = in->duration_ms * JD_US_PER_MS};
        JdRollout *ro;

        if (in->service[0] == '\0' || in->version[0] == '\0' ||
            in->step >= JD_ROLLOUT_STEP_MAX) {
            tr->counters->value[JD_C_BAD_FRAME]++;
            continue;
        }
        _Jd_CopyText(order.service, sizeof(order.service), in->service);
        _Jd_CopyText(order.version, sizeof(order.version), in->version);
        ro = JdRollouts_Merge(&tr->rollouts, &order, (JdRolloutStep)in->step,
                              in->left_ms * JD_US_PER_MS, link_id);
        if (JdRollout_HasOrder(ro, in->epoch, in->offset)) {
            JdRollouts_Bar(&tr->rollouts, ro, in->barred, link_id);
        }
    }
}

void
_JdTree_InitRollouts(JdTree *tr)
{
    JdRollouts_Init(&tr->rollouts, tr->clock, &tr->random);
    tr->rollouts.changed = on_changed;
    tr->rollouts.ctx = tr;
    JdTimer_Init(&tr->rollout_timer, on_rollout_timer, tr);
    _JdTree_InitReports(tr);
}

void
_JdTree_FinishRollouts(JdTree *tr)
{
    JdTimer_Cancel(tr->clock, &tr->rollout_timer);
    _JdTree_FinishReports(tr);
    JdRollouts_Finish(&tr->rollouts);
}
