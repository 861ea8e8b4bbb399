/*
 * Tracks whether the local target accepts requests, by its heartbeats or, for
 * a target that sends none, by probing it, and announces the result to the
 * other nodes.
 */
#include <string.h>

#include "../node/node.h"

/* Gone: the answer of a target that leaves to a probe. */
#define STATUS_GONE 410

/* Returns whether the target has said that it leaves, to this node or to the
 * one that ran here before a restart, of which other nodes tell. */
bool
JdTargetHealth_IsLeaving(const JdNode *nd)
{
    const JdTarget *tg = &nd->target_process;

    return tg->is_draining ||
           (tg->started != 0 && nd->tree.self.target_left == tg->started);
}

/* Returns whether the target may be used by its heartbeats: not before the
 * first one, nor before it is known which process had left. */
bool
JdTargetHealth_IsUp(const JdNode *nd)
{
    return nd->target_process.is_alive && JdDeparture_IsKnown(nd);
}

static JdMemberState
target_state(const JdNode *nd)
{
    if (!JdTargetHealth_IsUp(nd)) {
        return JD_MEMBER_DOWN;
    }
    return JdTargetHealth_IsLeaving(nd) || nd->is_drain_announced
               ? JD_MEMBER_DRAINING
               : JD_MEMBER_READY;
}

/* Sends to the target unless it leaves, by what is known now. */
static void
update_sending(JdNode *nd)
{
    if (JdTargetHealth_IsLeaving(nd)) {
        JdWorker_StopSending(nd);
    }
    else {
        JdAdmission_Resume(&nd->admit);
    }
}

/* Announces the target's state by its heartbeats, and its slots. */
static void
announce_target(JdNode *nd)
{
    update_sending(nd);
    if (nd->target_process.is_draining) {
        JdTree_SetTargetLeft(&nd->tree, nd->target_process.started);
    }
    JdDeparture_OnChanged(nd);
    if (nd->tree.is_ready) {
        JdTree_SetTarget(&nd->tree, nd->target_process.started,
                         nd->target_process.slots, target_state(nd));
    }
}

/* Handles a heartbeat.  Ignores those of another service or address. */
void
JdTargetHealth_OnHeartbeat(JdNode *nd, const JdHeartbeat *hb)
{
    JdHeartbeatResult result;

    if (strcmp(hb->service, nd->settings.service) != 0 ||
        strcmp(hb->address, nd->settings.target_address) != 0) {
        nd->counters.value[JD_C_HEARTBEATS_FOREIGN]++;
        JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", "foreign"),
               JD_TEXT("target", hb->id), JD_TEXT("service", hb->service),
               JD_TEXT("address", hb->address));
        return;
    }
    if (JdTarget_IsReplacedBy(&nd->target_process, hb)) {
        JdTargetCrash_OnReplaced(nd);
    }
    result = JdTarget_Heartbeat(&nd->target_process, hb,
                                JdClock_Now(&nd->loop.clock));
    if (result == JD_HEARTBEAT_STALE) {
        nd->counters.value[JD_C_HEARTBEATS_OLD]++;
        return;
    }
    nd->target_warm_at = JdClock_Now(&nd->loop.clock) + hb->warmup_left;
    if (result == JD_HEARTBEAT_CHANGED) {
        JD_LOG(JD_EVENT_TARGET,
               JD_TEXT("outcome", hb->is_draining ? "draining" : "ready"),
               JD_TEXT("target", hb->id), JD_TEXT("version", hb->version),
               JD_NUMBER("started", hb->started), JD_NUMBER("seq", hb->seq),
               JD_NUMBER("slots", hb->slots));
    }
    JdTree_SetVersion(&nd->tree, hb->version);
    announce_target(nd);
    /* Later, as more slots let queued work start. */
    JdAdmission_SetSlots(&nd->admit, hb->slots);
    JdAdmission_SetRateLimit(&nd->admit, nd->target_process.rate_limit);
}

/* The target has said in an answer that it leaves: it gets no new requests. */
void
JdTargetHealth_OnLeaving(JdNode *nd)
{
    if (nd->target_sends_heartbeats) {
        announce_target(nd);
        return;
    }
    update_sending(nd);
    if (nd->tree.is_ready) {
        JdTree_SetState(&nd->tree, JD_MEMBER_DRAINING);
    }
}

/* Another node tells that the process of the target had said that it leaves,
 * before this node restarted. */
void
JdTargetHealth_OnLeftLearned(JdNode *nd)
{
    if (nd->target_sends_heartbeats) {
        announce_target(nd);
    }
}

/* A process of the target deregisters: it gets no new requests. */
void
JdTargetHealth_OnDeregister(JdNode *nd, const char *id, uint64_t started)
{
    uint64_t wall_ms = JdLoop_WallClock() / JD_US_PER_MS;

    JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", "left"), JD_TEXT("target", id),
           JD_NUMBER("started", started));
    if (nd->target_process.id[0] == '\0' && started <= wall_ms) {
        /* This node has just started and has not heard of it yet. */
        JdTree_SetTargetLeft(&nd->tree, started);
        JdDeparture_OnChanged(nd);
    }
    if (JdTarget_Deregister(&nd->target_process, id, started, wall_ms)) {
        JdTree_SetTargetLeft(&nd->tree, nd->target_process.started);
        announce_target(nd);
    }
}

/*
 * Any response but 410 counts as ready, and so does a connection that breaks
 * or times out: a probe is a weak hint.  The target is down only when the
 * probe could not be sent; 410 Gone means that it drains.  An answer without
 * the notice that it leaves is that of another process.
 */
static void
on_probe_response(void *ctx, const JdHttpResponse *ans)
{
    JdNode *nd = ctx;
    bool is_up = ans->result != JD_HTTP_NOT_SENT;

    nd->is_probe_pending = false;
    if (ans->result == JD_HTTP_COMPLETED) {
        nd->target_process.is_draining =
            ans->status == STATUS_GONE || JdTargetNotice_SaysLeaving(nd, ans);
        update_sending(nd);
    }
    if (!nd->tree.is_ready || nd->is_drain_announced) {
        return;
    }
    if (nd->target_process.is_draining) {
        JdTree_SetState(&nd->tree, JD_MEMBER_DRAINING);
        return;
    }
    JdTree_SetState(&nd->tree, is_up ? JD_MEMBER_READY : JD_MEMBER_DOWN);
}

static void
on_probe_due(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->probe_timer,
                nd->settings.health_interval_ms * JD_US_PER_MS);
    if (!nd->is_probe_pending) {
        nd->is_probe_pending = true;
        JdHttpc_Get(&nd->target_client, "/health",
                    nd->settings.health_interval_ms * JD_US_PER_MS * 2,
                    on_probe_response, nd);
    }
}

/*
 * Switches to another local target.  Requests at the old target finish on
 * their connections; those that wait for it are refused.  The new target is
 * announced as down until its first heartbeat or probe.
 */
void
JdTargetHealth_SetTarget(JdNode *nd, const JdSettings *s)
{
    JdError err = {0};

    JdWorker_StopSending(nd);
    g_strlcpy(nd->settings.service, s->service, sizeof(nd->settings.service));
    g_strlcpy(nd->settings.endpoint_set, s->endpoint_set,
              sizeof(nd->settings.endpoint_set));
    g_strlcpy(nd->settings.target_address, s->target_address,
              sizeof(nd->settings.target_address));
    if (JdHttpc_SetAddress(&nd->target_client, s->target_address, &err) !=
        JD_OK) {
        JD_LOG(JD_EVENT_FAILED, JD_TEXT("text", err.text));
    }
    JdTarget_MarkDown(&nd->target_process);
    JdTarget_ForgetNotices(&nd->target_process);
    JdAdmission_SetRateLimit(&nd->admit, 0);
    JdTree_SetService(&nd->tree, s->service, s->endpoint_set);
    announce_target(nd);
}

/* The node became ready: announces the state of its target. */
void
JdTargetHealth_OnNodeReady(JdNode *nd)
{
    if (nd->target_sends_heartbeats) {
        announce_target(nd);
    }
    else {
        JdTree_SetState(&nd->tree,
                        nd->has_target ? JD_MEMBER_DOWN : JD_MEMBER_READY);
    }
}

/* Starts the probes of a target that sends no heartbeats. */
void
JdTargetHealth_Init(JdNode *nd)
{
    JdTimer_Init(&nd->probe_timer, on_probe_due, nd);
    if (!nd->target_sends_heartbeats) {
        JdTimer_Arm(&nd->loop.clock, &nd->probe_timer, 0);
    }
}
