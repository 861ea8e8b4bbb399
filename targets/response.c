/*
 * Responses to the nodes whose requests reach the local target: its answers
 * and the refusals.  Each carries the target's load and what it says of
 * itself.
 */
#include <string.h>

#include "work_item.h"

/* Returns the priority of a request; the lowest one for unknown numbers. */
unsigned
JdTargetResponse_Priority(const Jd__Request *msg)
{
    return msg->priority < JD_PRIORITIES ? msg->priority : JD_PRIORITIES - 1;
}

/* Returns the time until the rate limit allows a request, rounded up. */
static uint32_t
rate_limit_wait_ms(JdNode *nd, unsigned priority)
{
    uint64_t wait = JdAdmission_RateLimitWait(&nd->admit, priority);

    return (uint32_t)((wait + JD_US_PER_MS - 1) / JD_US_PER_MS);
}

/* Tells which ranks the target refuses for now. */
static void
fill_cutoff(JdNode *nd, Jd__Response *msg)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    const JdCutoff *co = &nd->admit.cutoff;

    if (co->until > now) {
        msg->cutoff_rank = co->rank;
        msg->cutoff_ms =
            (uint32_t)((co->until - now + JD_US_PER_MS - 1) / JD_US_PER_MS);
    }
}

/* Adds the state of the target and of its link to the response to a request
 * that came `held` us ago. */
static void
add_reports(JdNode *nd, const Jd__Request *request, uint64_t held,
            Jd__Response *msg)
{
    fill_cutoff(nd, msg);
    msg->load = JdAdmission_Load(&nd->admit);
    msg->service_us = nd->admit.service_time.mean;
    msg->target_started = nd->target_process.started;
    msg->rate_limit = nd->target_process.rate_limit;
    msg->target_leaving = JdTargetHealth_IsLeaving(nd);
    msg->limit_wait_ms = rate_limit_wait_ms(nd, 0);
    msg->link_wait_ms = JdTargetRoom_Wait(nd);
    if (JdConfig_IsByWork(nd->store.config, request->service)) {
        JdTargetEstimate_Report(nd, request->route, held, msg);
    }
}

static void
log_refusal(const JdNode *nd, const Jd__Request *request, JdReason reason,
            bool was_sent)
{
    JD_LOG(JD_EVENT_WORK, JD_TEXT("id", request->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_TEXT("account", request->account),
           JD_NUMBER("rank", JdRank_OfRequest(request)),
           JD_NUMBER("is_call", request->is_call),
           JD_NUMBER("was_sent", was_sent),
           JD_NUMBER("running", nd->admit.running),
           JD_NUMBER("queued", nd->admit.queued),
           JD_NUMBER("slots", nd->admit.slots),
           JD_NUMBER("service_ms", nd->admit.service_time.mean / JD_US_PER_MS),
           JD_NUMBER("left_ms", request->left_ms),
           JD_TEXT("target", nd->target_process.id));
}

/* Refuses a request that came over `origin`, or of a caller of this node if
 * that is NULL. */
void
JdTargetResponse_Refuse(JdNode *nd, const Jd__Request *request, JdConn *origin,
                        const JdTargetRefusal *refusal)
{
    Jd__Response msg = JD__RESPONSE__INIT;
    JdReason reason = refusal->reason;

    msg.id = request->id;
    msg.reason = reason;
    msg.sent = refusal->was_sent;
    msg.crashed_process = refusal->crashed_process;
    msg.retry_after_ms = JdReason_Info(reason)->retry_after_ms;
    if (reason == JD_REASON_QUEUE_FULL || reason == JD_REASON_TOO_LATE) {
        msg.retry_after_ms =
            (uint32_t)(JdAdmission_RetryAfter(&nd->admit) / JD_US_PER_MS);
    }
    if (reason == JD_REASON_RATE_LIMITED) {
        msg.retry_after_ms =
            rate_limit_wait_ms(nd, JdTargetResponse_Priority(request));
    }
    if (reason == JD_REASON_NO_LINK_ROOM) {
        msg.retry_after_ms = JdTargetRoom_RetryAfter(nd, request);
    }
    nd->counters.value[JdReason_Info(reason)->counter]++;
    log_refusal(nd, request, reason, refusal->was_sent);
    add_reports(nd, request, 0, &msg);
    nd->response_ops->respond(nd->response_ctx, origin, &msg, NULL);
}

/* Relays the target's answer to a request. */
void
JdTargetResponse_Relay(JdWorkItem *it, const JdHttpResponse *ans)
{
    JdNode *nd = it->node;
    Jd__Header header[JD_HTTP_HEADERS_MAX];
    Jd__Header *list[JD_HTTP_HEADERS_MAX];
    char *names[JD_HTTP_HEADERS_MAX] = {NULL};
    Jd__Response msg = JD__RESPONSE__INIT;

    msg.id = it->msg->id;
    msg.sent = true;
    msg.status = (uint32_t)ans->status;
    msg.body.data = (uint8_t *)ans->body;
    msg.body.len = ans->body_len;
    for (size_t i = 0; i < ans->header_count; i++) {
        const JdHttpHeader *h = &ans->header[i];
        size_t n = msg.n_header;

        if (!JdTargetHeaders_IsRelayed(h)) {
            continue;
        }
        jd__header__init(&header[n]);
        names[n] = g_strndup(h->name, h->name_len);
        header[n].name = names[n];
        header[n].value.data = (uint8_t *)h->value;
        header[n].value.len = h->value_len;
        list[n] = &header[n];
        msg.n_header++;
    }
    msg.header = list;
    add_reports(nd, it->msg, JdClock_Now(&nd->loop.clock) - it->submitted_at,
                &msg);
    if (!JdTargetRoom_Respond(it, &msg, ans->content)) {
        nd->response_ops->respond(nd->response_ctx, it->origin, &msg,
                                  ans->content);
    }
    for (size_t i = 0; i < msg.n_header; i++) {
        g_free(names[i]);
    }
}
