/* Answers and refusals by the nodes of targets, whole or in chunks: finds the
 * attempt that one belongs to and records its reports. */
#include "forward.h"

/* Finds the attempt under way that an answer belongs to, or NULL. */
static JdAttempt *
find_attempt(JdNode *nd, uint64_t id)
{
    JdCall *call;

    TAILQ_FOREACH_REVERSE(call, &nd->calls, JdCallHead, link)
    {
        for (unsigned i = 0; i < call->attempt_count; i++) {
            if (call->attempts[i].id == id && call->attempts[i].is_active) {
                return &call->attempts[i];
            }
        }
    }
    return NULL;
}

/* Records that the process of a target crashed under a request; 0: none. */
static void
learn_crash(JdCall *call, uint64_t process)
{
    if (process != 0) {
        JdCrashTable_Record(
            &call->node->tree.crashes,
            JdLazyFingerprint_Get(&call->fingerprint, call->msg), process);
    }
}

/* Returns what a response with a body of `body_len` bytes reports of the
 * target and its link. */
static JdLoadReport
report_of(const JdCall *call, const Jd__Response *msg, size_t body_len)
{
    JdLoadReport report = {.load = msg->load,
                           .service_time = msg->service_us,
                           .has_notices = true,
                           .process = msg->target_started,
                           .rate_limit = msg->rate_limit,
                           .limit_wait = msg->limit_wait_ms * JD_US_PER_MS,
                           .is_leaving = msg->target_leaving,
                           .link_wait = msg->link_wait_ms * JD_US_PER_MS,
                           .cutoff_rank = msg->cutoff_rank,
                           .cutoff_wait = msg->cutoff_ms * JD_US_PER_MS};

    if (call->route.is_by_work) {
        report.work = (JdWorkReport){.route = call->route.name,
                                     .route_time = msg->route_us,
                                     .load = msg->work,
                                     .held = msg->held_us,
                                     .body_len = body_len,
                                     .domain_load = msg->domain_load};
    }
    return report;
}

/* Handles an answer or a refusal by a target's node.  `body` is that of the
 * answer, or NULL where the message has a small one. */
void
JdAnswer_OnResponse(JdNode *nd, const Jd__Response *msg, JdBody *body)
{
    JdAttempt *att = find_attempt(nd, msg->id);
    size_t len = body != NULL ? body->len : msg->body.len;
    JdLoadReport report;

    if (att == NULL) {
        nd->counters.value[JD_C_LATE_ANSWERS]++;
        return;
    }
    report = report_of(att->call, msg, len);
    learn_crash(att->call, msg->crashed_process);
    nd->counters.value[JD_C_REQUEST_BYTES] += len;
    if (att->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += len;
    }
    /* Nodes of older releases pass on whatever status a target sends. */
    if (msg->reason != JD_REASON_NONE || msg->status < JD_HTTP_STATUS_MIN ||
        msg->status > JD_HTTP_STATUS_MAX) {
        JdAttemptFailure failure = {.reason = JD_REASON_BROKEN,
                                    .was_sent = msg->sent,
                                    .report = report,
                                    .retry_after_ms = msg->retry_after_ms};

        if (msg->reason != JD_REASON_NONE && msg->reason < JD_REASON_MAX) {
            failure.reason = (JdReason)msg->reason;
        }
        JdForward_AttemptFailed(att, &failure);
        return;
    }
    JdBalancer_RecordAnswer(&nd->balancer, JdForward_TargetId(att),
                            JdClock_Now(&nd->loop.clock) - att->sent_at,
                            &report);
    JdForward_AttemptAnswered(att, msg, body);
}

/* Handles a part of a large answer. */
void
JdAnswer_OnChunk(JdNode *nd, Jd__Chunk *chunk)
{
    JdAttemptFailure broken = {.reason = JD_REASON_BROKEN, .was_sent = true};
    JdAttempt *att = find_attempt(nd, chunk->id);
    Jd__Response *msg;
    JdBody *body;

    if (att == NULL) {
        nd->counters.value[JD_C_LATE_ANSWERS] += !chunk->more;
        return;
    }
    if (!JdPartial_Add(&att->partial, &nd->memory, chunk)) {
        JdForward_AttemptFailed(att, &broken);
        return;
    }
    JdTimer_Cancel(&nd->loop.clock, &att->call->hedge_timer);
    JdBalancer_RecordProgress(&nd->balancer, JdForward_TargetId(att));
    if (JdPartial_IsWhole(&att->partial)) {
        msg = JdPartial_Take(&att->partial, &body);
        JdAnswer_OnResponse(nd, msg, body);
        jd__response__free_unpacked(msg, NULL);
        JdBody_Unref(body);
    }
}

/* There was no room for an answer, or for a part of it. */
void
JdAnswer_OnDropped(JdNode *nd, uint64_t id)
{
    JdAttemptFailure broken = {.reason = JD_REASON_BROKEN, .was_sent = true};
    JdAttempt *att = find_attempt(nd, id);

    if (att != NULL) {
        JdForward_AttemptFailed(att, &broken);
    }
}
