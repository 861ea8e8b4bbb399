/*
 * Whether the target beside this node takes work, as its own heartbeats or,
 * for a target that sends none, a probe tell; and its announcement to the
 * fleet.
 */
#include <string.h>

#include "../node/node.h"

static JdMemberState
state_of_target(const JdNode *nd)
{
    if (!nd->target_process.is_alive) {
        return JD_MEMBER_DOWN;
    }
    return nd->target_process.is_draining || nd->is_draining
               ? JD_MEMBER_DRAINING
               : JD_MEMBER_READY;
}

/* Announces what is known of the target. */
static void
announce_target(JdNode *nd)
{
    if (nd->tree.is_ready) {
        JdTree_SetTarget(&nd->tree, nd->target_process.started,
                         nd->target_process.slots, state_of_target(nd));
    }
}

/* Takes a heartbeat of the target beside this node. */
void
JdTargetHealth_OnHeartbeat(JdNode *nd, const JdHeartbeat *hb)
{
    JdHeartbeatResult beat;

    if (strcmp(hb->service, nd->settings.service) != 0 ||
        strcmp(hb->address, nd->settings.target_address) != 0) {
        nd->counters.value[JD_C_HEARTBEATS_FOREIGN]++;
        JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", "foreign"),
               JD_TEXT("target", hb->id), JD_TEXT("service", hb->service),
               JD_TEXT("address", hb->address));
        return;
    }
    beat = JdTarget_Heartbeat(&nd->target_process, hb,
                              JdClock_Now(&nd->loop.clock));
    if (beat == JD_HEARTBEAT_STALE) {
        nd->counters.value[JD_C_HEARTBEATS_OLD]++;
        return;
    }
    JdAdmission_SetSlots(&nd->admit, hb->slots);
    if (beat == JD_HEARTBEAT_CHANGED) {
        JD_LOG(JD_EVENT_TARGET,
               JD_TEXT("outcome", hb->is_draining ? "draining" : "ready"),
               JD_TEXT("target", hb->id), JD_NUMBER("started", hb->started),
               JD_NUMBER("seq", hb->seq), JD_NUMBER("slots", hb->slots));
    }
    announce_target(nd);
}

/* A process of the target leaves: it gets no new work. */
void
JdTargetHealth_OnDeregister(JdNode *nd, const char *id, uint64_t started)
{
    JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", "left"), JD_TEXT("target", id),
           JD_NUMBER("started", started));
    if (JdTarget_Deregister(&nd->target_process, id, started,
                            JdLoop_WallClock() / JD_US_PER_MS)) {
        announce_target(nd);
    }
}

/* Health is a weak hint: only its absence counts. */
static void
on_health(void *ctx, const JdHttpResponse *ans)
{
    JdNode *nd = ctx;
    bool is_up = ans->result != JD_HTTP_NOT_SENT;

    nd->is_probe_pending = false;
    if (!nd->tree.is_ready || nd->is_draining) {
        return;
    }
    if (ans->result == JD_HTTP_COMPLETED && ans->status == 410) {
        JdTree_SetState(&nd->tree, JD_MEMBER_DRAINING);
        return;
    }
    JdTree_SetState(&nd->tree, is_up ? JD_MEMBER_READY : JD_MEMBER_DOWN);
}

static void
on_health_due(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->probe_timer,
                nd->settings.health_interval_ms * JD_US_PER_MS);
    if (!nd->is_probe_pending) {
        nd->is_probe_pending = true;
        JdHttpc_Get(&nd->target_client, "/health",
                    nd->settings.health_interval_ms * JD_US_PER_MS * 2,
                    on_health, nd);
    }
}

/*
 * Another target stands beside this node.  Work at the old one goes on over
 * the connections it has; nothing new is sent until the new one is heard.
 */
void
JdTargetHealth_SetTarget(JdNode *nd, const JdSettings *s)
{
    JdError err = {0};

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
    JdTree_SetService(&nd->tree, s->service, s->endpoint_set);
    announce_target(nd);
}

/* The node became ready: what its target said meanwhile counts from now on. */
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

/* Starts to probe a target that does not announce itself. */
void
JdTargetHealth_Init(JdNode *nd)
{
    JdTimer_Init(&nd->probe_timer, on_health_due, nd);
    if (!nd->target_sends_heartbeats) {
        JdTimer_Arm(&nd->loop.clock, &nd->probe_timer, 0);
    }
}
