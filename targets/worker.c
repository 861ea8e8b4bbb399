/*
 * Runs requests on the local target: admission, claims of idempotency keys,
 * the HTTP exchange and cancellation.  Only this node sends to the target, so
 * a request that it has not sent has certainly not run.
 */
#include <string.h>

#include "work_item.h"

/* Largest response in bytes, and the bytes of all that arrive at a time: a
 * target in trouble may send bytes without end. */
#define MAX_RESPONSE (16U << 20)
#define MAX_BUFFERED (32U << 20)
/* Time for the target to notice that a request was cancelled. */
#define CANCEL_GRACE (100 * JD_US_PER_MS)

static JdWorkItem *
item_from_claim(JdClaim *claim)
{
    return (JdWorkItem *)((char *)claim - offsetof(JdWorkItem, claim));
}

static JdWorkItem *
item_from_work(JdWork *work)
{
    return (JdWorkItem *)((char *)work - offsetof(JdWorkItem, work));
}

/* Frees a request that occupies neither a slot nor a place in the queue. */
void
JdWorkItem_Free(JdWorkItem *it)
{
    JdTargetRoom_Release(it);
    TAILQ_REMOVE(&it->node->work_items, it, link);
    JdRequest_Free(it->msg, it->body);
    g_free(it);
}

/* Refuses a request that no longer occupies a slot, unless nobody waits for
 * the response, and frees it. */
static void
finish_refused(JdWorkItem *it, JdReason reason)
{
    JdTargetRefusal refusal = {reason, it->was_sent, 0};

    if (!it->is_orphan) {
        JdTargetResponse_Refuse(it->node, it->msg, it->origin, &refusal);
    }
    JdWorkItem_Free(it);
}

/*
 * Refuses a request that did not run.  A key that it holds is released first,
 * so that a retry with the same key finds it free.
 */
static void
refuse_not_run(JdWorkItem *it, JdReason reason)
{
    if (it->claim.state == JD_CLAIM_HELD) {
        it->reason = reason;
        JdClaims_Release(&it->node->claims, &it->claim);
        return;
    }
    finish_refused(it, reason);
}

static void hold_slot(JdWorkItem *it);

static JdReason
classify_response(const JdNode *nd, const JdHttpResponse *ans)
{
    switch (ans->result) {
    case JD_HTTP_COMPLETED:
        return nd->dialect->is_not_run(ans) ? JD_REASON_SHED : JD_REASON_NONE;
    case JD_HTTP_NOT_SENT:
        return JD_REASON_TARGET_DOWN;
    case JD_HTTP_TIMED_OUT:
        return JD_REASON_DEADLINE;
    default:
        return JD_REASON_BROKEN;
    }
}

/* Responses from this status on do not count in the service time estimates: an
 * error may come sooner than a successful response takes. */
#define HTTP_ERROR_MIN 400

/* Frees the slot of a finished request.  Its service time is added to the
 * estimates if `is_typical`. */
static void
complete_work(JdWorkItem *it, bool is_typical)
{
    JdNode *nd = it->node;

    if (is_typical) {
        uint64_t took = JdClock_Now(&nd->loop.clock) - it->work.started_at;

        JdServiceTime_Add(JdTargetEstimate_Get(nd, it->msg->route), took);
        JdTargetEstimate_AddRun(nd, it->msg->route, took);
    }
    JdAdmission_FreeSlot(&nd->admit, &it->work, is_typical);
}

/* Records the time of running work that is cancelled or timed out: a lower
 * bound of its service time. */
static void
record_cancelled(JdWorkItem *it)
{
    JdNode *nd = it->node;

    JdServiceTime_AddLowerBound(JdTargetEstimate_Get(nd, it->msg->route),
                                JdClock_Now(&nd->loop.clock) -
                                    it->work.started_at);
    JdAdmission_RecordAbort(&nd->admit, &it->work);
}

/* Gateway Timeout: the target's own answer at the deadline. */
#define STATUS_TIMED_OUT 504
#define SERVER_ERROR_MIN 500

/* Counts how a request ended, for a roll-out of the target's service. */
static void
count_answer(const JdWorkItem *it, const JdHttpResponse *ans, JdReason reason)
{
    JdAnswerKind kind = JD_ANSWER_GOOD;

    if (reason == JD_REASON_TARGET_DOWN || reason == JD_REASON_SHED) {
        return;
    }
    if (reason == JD_REASON_DEADLINE || ans->status == STATUS_TIMED_OUT) {
        kind = JD_ANSWER_LATE;
    }
    else if (reason != JD_REASON_NONE || ans->status >= SERVER_ERROR_MIN) {
        kind = JD_ANSWER_FAILED;
    }
    JdRolloutNode_CountAnswer(it->node, it->msg, kind,
                              JdClock_Now(&it->node->loop.clock) -
                                  it->work.started_at);
}

static void
on_response(void *ctx, const JdHttpResponse *ans)
{
    JdWorkItem *it = ctx;
    JdNode *nd = it->node;
    JdReason reason = classify_response(nd, ans);

    it->call = NULL;
    it->was_sent = ans->result != JD_HTTP_NOT_SENT;
    JdWorkItem_RecordEnd(it, ans);
    count_answer(it, ans, reason);
    JdTargetNotice_OnResponse(nd, it->target_started, it->work.started_at,
                              ans);
    JdLatencies_Record(&nd->latencies, JD_LATENCY_TARGET, it->msg->service,
                       reason == JD_REASON_NONE ? "answered"
                                                : JdReason_Info(reason)->name,
                       JdClock_Now(&nd->loop.clock) - it->work.started_at);
    if (reason == JD_REASON_TARGET_DOWN) {
        JdTarget_MarkDown(&nd->target_process);
        JdTree_SetState(&nd->tree, JD_MEMBER_DOWN);
    }
    if (reason == JD_REASON_DEADLINE) {
        JdTargetRefusal refusal = {reason, it->was_sent, 0};

        record_cancelled(it);
        JdTargetResponse_Refuse(nd, it->msg, it->origin, &refusal);
        hold_slot(it);
        return;
    }
    complete_work(it,
                  reason == JD_REASON_NONE && ans->status < HTTP_ERROR_MIN);
    if (it->is_checking) {
        return;
    }
    if (reason == JD_REASON_NONE) {
        JdTargetResponse_Relay(it, ans);
        JdWorkItem_Free(it);
    }
    else if (JdReason_Info(reason)->is_not_executed) {
        refuse_not_run(it, reason);
    }
    else {
        finish_refused(it, reason);
    }
}

static void
send_to_target(JdWorkItem *it, uint64_t time_left)
{
    JdNode *nd = it->node;
    const Jd__Request *msg = it->msg;
    char *headers = JdTargetHeaders_Format(nd, msg, time_left);
    JdHttpRequest rq = {.method = msg->method,
                        .path = msg->path,
                        .headers = headers,
                        .content = it->body,
                        .timeout = time_left};

    if (msg->host[0] != '\0') {
        rq.host = msg->host;
    }
    if (nd->dialect->header[JD_FIELD_REQUEST_ID] != NULL &&
        msg->request_id[0] != '\0') {
        rq.echo_header = nd->dialect->header[JD_FIELD_REQUEST_ID];
        rq.echo_value = msg->request_id;
    }
    it->target_started = nd->target_process.started;
    JdTargetNotice_OnSend(nd);
    it->call = JdHttpc_Send(&nd->target_client, &rq, on_response, it);
    g_free(headers);
}

/* The work got a slot: sends the request to the target. */
static void
on_start(void *ctx, JdWork *work)
{
    JdNode *nd = ctx;
    JdWorkItem *it = item_from_work(work);
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t time_left = work->deadline - now;

    JdLatencies_Record(&nd->latencies, JD_LATENCY_QUEUE, it->msg->service,
                       "started", now - it->submitted_at);

    it->reason = JdWorkItem_CheckCrashes(it);
    if (it->claim.key[0] != '\0' &&
        !JdClaims_IsUsable(&nd->claims, &it->claim)) {
        it->reason = JD_REASON_CLAIM_FAILED;
    }
    if (it->reason != JD_REASON_NONE) {
        /* Ended by the timer, outside this callback of the admission. */
        JdTimer_Arm(&nd->loop.clock, &it->timer, 0);
        return;
    }
    send_to_target(it, time_left);
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    (void)ctx;
    refuse_not_run(item_from_work(work), reason);
}

/* The claim expired while this process was paused, or a target crashed under
 * the request while it was queued: nothing was sent. */
static void
on_not_sent(void *ctx)
{
    JdWorkItem *it = ctx;

    JdAdmission_FreeSlot(&it->node->admit, &it->work, false);
    if (it->reason == JD_REASON_CLAIM_FAILED) {
        finish_refused(it, it->reason);
    }
    else {
        refuse_not_run(it, it->reason);
    }
}

static const JdAdmissionOps admit_ops = {on_start, on_refuse};

/* Passes a request to admission, which starts, queues or refuses it. */
static void
admit_item(JdWorkItem *it)
{
    bool has_slot = JdAdmission_HasFreeSlot(&it->node->admit);
    JdReason reason = JdWorkItem_CheckCrashes(it);

    if (reason == JD_REASON_NONE) {
        reason = JdTargetRoom_Reserve(it);
    }
    if (reason == JD_REASON_NONE) {
        reason = JdAdmission_Offer(&it->node->admit, &it->work);
    }
    /* The estimate alone made it too late; lower it, so that the route is
     * measured again after some refusals. */
    if (reason == JD_REASON_TOO_LATE && has_slot &&
        it->work.deadline > JdClock_Now(&it->node->loop.clock)) {
        JdServiceTime_Decay(JdTargetEstimate_Get(it->node, it->msg->route));
    }
    if (reason != JD_REASON_NONE) {
        refuse_not_run(it, reason);
    }
}

/* The key is claimed: the request may run if somebody still waits for it. */
static void
on_claim_granted(void *ctx, JdClaim *claim)
{
    JdWorkItem *it = item_from_claim(claim);

    (void)ctx;
    if (it->is_orphan) {
        refuse_not_run(it, JD_REASON_CANCELLED);
        return;
    }
    admit_item(it);
}

static void
on_claim_denied(void *ctx, JdClaim *claim, JdReason reason)
{
    (void)ctx;
    finish_refused(item_from_claim(claim), reason);
}

static void
on_claim_released(void *ctx, JdClaim *claim)
{
    JdWorkItem *it = item_from_claim(claim);

    (void)ctx;
    finish_refused(it, it->reason);
}

static const JdClaimsOps claim_ops = {.granted = on_claim_granted,
                                      .denied = on_claim_denied,
                                      .released = on_claim_released};

/* The caller's node has checked that there is a key; an older one sends a GET
 * or HEAD without. */
static bool
needs_claim(const Jd__Request *msg)
{
    return msg->once && msg->key[0] != '\0';
}

/* Claims the idempotency key of a request before its admission. */
static void
claim_key(JdWorkItem *it)
{
    JdNode *nd = it->node;

    if (!JdAdmission_TakesWork(&nd->admit)) {
        finish_refused(it, JD_REASON_DRAINING);
        return;
    }
    if (JdAdmission_IsFull(&nd->admit)) {
        finish_refused(it, JD_REASON_QUEUE_FULL);
        return;
    }
    if (JdAdmission_IsRateLimited(&nd->admit, it->work.priority)) {
        finish_refused(it, JD_REASON_RATE_LIMITED);
        return;
    }
    JdClaims_Acquire(&nd->claims, &it->claim, it->msg->key);
}

/* Returns whether a request ends before this node exits, if it is draining,
 * even if it takes all of its time. */
static bool
fits_before_exit(JdNode *nd, const Jd__Request *msg)
{
    return !nd->is_draining ||
           JdClock_Now(&nd->loop.clock) + msg->left_ms * JD_US_PER_MS <=
               nd->drain_deadline;
}

/* A node that names the process it sends to has known it for as long as it was
 * announced, and would have been told of its departure. */
static void
learn_from_sender(JdNode *nd, const Jd__Request *msg)
{
    if (msg->target_started != 0 &&
        msg->target_started == nd->target_process.started &&
        !JdDeparture_IsKnown(nd)) {
        JdDeparture_OnTold(nd);
    }
}

/* Checks that the local target serves the request's service and is up. */
static JdReason
check_target(JdNode *nd, const Jd__Request *msg)
{
    if (!nd->has_target || strcmp(msg->service, nd->settings.service) != 0) {
        return JD_REASON_NO_TARGET;
    }
    if (nd->target_sends_heartbeats && !JdTargetHealth_IsUp(nd)) {
        return JD_REASON_TARGET_DOWN;
    }
    if (JdTargetHealth_IsLeaving(nd)) {
        return JD_REASON_DRAINING;
    }
    if (!fits_before_exit(nd, msg)) {
        return JD_REASON_DRAINING;
    }
    return JD_REASON_NONE;
}

/* Sets the times by which work has to end, by the clock of its caller's node:
 * what its message was delayed on the way has been used up. */
static void
set_deadlines(JdNode *nd, const Jd__Request *msg, JdConn *origin, JdWork *work)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t left = msg->left_ms * JD_US_PER_MS;
    uint64_t goal = msg->latency_ms * JD_US_PER_MS;
    uint64_t delay = 0;

    if (origin != NULL) {
        delay = JdTransit_Record(&origin->transit, msg->sent_ms, now);
    }
    work->deadline = now + (left > delay ? left - delay : 0);
    if (nd->is_draining && work->deadline > nd->drain_deadline) {
        work->deadline = nd->drain_deadline;
    }
    /* The latency goal may have passed; 0 would mean that there is none. */
    work->soft_deadline = goal > delay ? now + goal - delay : 1;
}

/* Sets the rank of work and the client account that it counts for. */
static void
set_rank(JdNode *nd, const Jd__Request *msg, JdWork *work)
{
    JdAccount account;

    nd->admit.has_ranks = nd->is_shortage_asked;
    work->rank = JdRank_OfRequest(msg);
    work->account = msg->account;
    if (JdConfig_GetAccount(nd->store.config, msg->account, &account)) {
        work->rate = account.rate;
    }
}

/*
 * Submits a request for the target and takes ownership of the message and of a
 * reference to its body.
 * `origin` is the connection it came over, or NULL for a caller of this node.
 */
static void
submit(void *ctx, Jd__Request *msg, JdBody *body, JdConn *origin)
{
    JdNode *nd = ctx;
    JdTargetRefusal refusal = {JD_REASON_NONE, false, 0};
    JdWorkItem *it;

    if (origin != NULL) {
        learn_from_sender(nd, msg);
    }
    refusal.reason = check_target(nd, msg);
    JdTargetNotice_OnRequest(nd, msg);
    if (refusal.reason != JD_REASON_NONE) {
        JdTargetResponse_Refuse(nd, msg, origin, &refusal);
        JdRequest_Free(msg, body);
        return;
    }
    it = g_new0(JdWorkItem, 1);
    it->node = nd;
    it->msg = msg;
    it->body = body;
    it->origin = origin;
    it->work.priority = JdTargetResponse_Priority(msg);
    set_rank(nd, msg, &it->work);
    set_deadlines(nd, msg, origin, &it->work);
    it->submitted_at = JdClock_Now(&nd->loop.clock);
    it->work.expected_time = JdTargetEstimate_Get(nd, msg->route)->mean;
    JdTimer_Init(&it->timer, on_not_sent, it);
    TAILQ_INSERT_TAIL(&nd->work_items, it, link);
    if (needs_claim(msg)) {
        claim_key(it);
    }
    else {
        admit_item(it);
    }
}

/* The target has had time to notice the cancellation. */
static void
on_grace_over(void *ctx)
{
    JdWorkItem *it = ctx;

    JdAdmission_FreeSlot(&it->node->admit, &it->work, false);
    JdWorkItem_Free(it);
}

/*
 * Keeps the slot of cancelled or timed-out work for CANCEL_GRACE: the target
 * goes on until it notices, and must not get more work than it has slots.
 */
static void
hold_slot(JdWorkItem *it)
{
    JdTargetRoom_Release(it);
    it->is_orphan = true;
    it->origin = NULL;
    /* The claim of this work may just have expired. */
    JdTimer_Cancel(&it->node->loop.clock, &it->timer);
    JdTimer_Init(&it->timer, on_grace_over, it);
    JdTimer_Arm(&it->node->loop.clock, &it->timer, CANCEL_GRACE);
}

/* A caller that waits until the deadline cancels at about that time. */
#define DEADLINE_TOLERANCE (50 * JD_US_PER_MS)

/* Counts running work that is cancelled, for a roll-out. */
static void
count_cancelled(const JdWorkItem *it)
{
    uint64_t now = JdClock_Now(&it->node->loop.clock);
    bool is_late = now + DEADLINE_TOLERANCE >= it->work.deadline;

    JdRolloutNode_CountAnswer(it->node, it->msg,
                              is_late ? JD_ANSWER_LATE : JD_ANSWER_CANCELLED,
                              now - it->work.started_at);
}

/* Cancels a request whose response nobody waits for any more. */
static void
cancel_item(JdWorkItem *it)
{
    bool was_queued = it->work.is_queued;

    if (it->call != NULL) {
        JdTargetCrash_OnUnanswered(it->node, it->msg, it->target_started);
        JdHttpc_Cancel(it->call);
        it->call = NULL;
    }
    it->node->counters.value[JD_C_REFUSED_CANCELLED]++;
    if (it->claim.state == JD_CLAIM_PENDING ||
        it->claim.state == JD_CLAIM_SENDING ||
        it->claim.state == JD_CLAIM_RELEASING) {
        /* The item is freed when the outcome of its claim is known. */
        it->is_orphan = true;
        it->origin = NULL;
        it->msg->id = 0;
        return;
    }
    if (it->work.is_running) {
        count_cancelled(it);
        record_cancelled(it);
        hold_slot(it);
        return;
    }
    JdAdmission_Cancel(&it->node->admit, &it->work);
    if (was_queued && it->claim.state == JD_CLAIM_HELD) {
        it->is_orphan = true;
        it->origin = NULL;
        it->msg->id = 0;
        refuse_not_run(it, JD_REASON_CANCELLED);
        return;
    }
    JdTimer_Cancel(&it->node->loop.clock, &it->timer);
    JdWorkItem_Free(it);
}

/* Cancels the request with an id on a connection, or for NULL of a caller of
 * this node; its response is no longer needed. */
static void
cancel(void *ctx, uint64_t id, const JdConn *origin)
{
    JdNode *nd = ctx;
    JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        if (it->msg->id == id && it->origin == origin && !it->is_orphan) {
            cancel_item(it);
            return;
        }
    }
}

/* A connection closed: cancels all requests that came over it. */
static void
on_conn_closed(void *ctx, const JdConn *origin)
{
    JdNode *nd = ctx;
    bool is_found = true;
    JdWorkItem *it;

    /* Cancelling one item can start or end others, so restart the scan. */
    while (is_found) {
        is_found = false;
        TAILQ_FOREACH(it, &nd->work_items, link)
        {
            if (it->origin == origin && !it->is_orphan) {
                cancel_item(it);
                is_found = true;
                break;
            }
        }
    }
}

/* Returns a request that has a slot but whose call has come no further than
 * `state`, or NULL. */
static JdWorkItem *
find_call(const JdNode *nd, JdHttpCallState state)
{
    JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        if (it->call != NULL && JdHttpc_CallState(it->call) == state) {
            return it;
        }
    }
    return NULL;
}

/* Refuses the requests that wait for a connection, or for one to open. */
static void
refuse_unsent(JdNode *nd, JdHttpCallState state)
{
    JdWorkItem *it;

    while ((it = find_call(nd, state)) != NULL) {
        JdHttpc_Cancel(it->call);
        it->call = NULL;
        JdAdmission_FreeSlot(&nd->admit, &it->work, false);
        refuse_not_run(it, JD_REASON_DRAINING);
    }
}

/*
 * The target leaves: sends nothing to it any more.  What waits in admission or
 * for a connection is refused as not run.  Calls that wait go first, as a
 * connection that is given up would be opened again for one of them.
 */
void
JdWorker_StopSending(JdNode *nd)
{
    JdAdmission_Halt(&nd->admit);
    refuse_unsent(nd, JD_HTTP_CALL_WAITING);
    refuse_unsent(nd, JD_HTTP_CALL_CONNECTING);
}

/*
 * Returns the percentage of retries among the requests that run at the target.
 * A retried run repeats its calls to other services, so the same share of the
 * target's outgoing calls is charged as retries.
 */
static unsigned
retry_percent(void *ctx)
{
    const JdNode *nd = ctx;
    unsigned running = 0, retries = 0;
    const JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        running += it->work.is_running;
        retries += it->work.is_running && it->msg->retry;
    }
    return running == 0 ? 0 : retries * 100 / running;
}

static void
on_node_ready(void *ctx)
{
    JdTargetHealth_OnNodeReady(ctx);
}

static const JdLocalTargetOps target_ops = {submit, cancel, on_conn_closed,
                                            on_node_ready, retry_percent};

/* Initializes admission, claims and the HTTP client of the target, if any. */
JdStatus
JdWorker_Init(JdNode *nd, JdError *err)
{
    JdStatus s;

    nd->target_ops = &target_ops;
    nd->target_ctx = nd;
    TAILQ_INIT(&nd->work_items);
    JdTargetEstimate_Init(nd);
    JdTargetRoom_Init(nd);
    JdAdmission_Init(&nd->admit, (unsigned)nd->settings.slots,
                     (unsigned)nd->settings.max_queued, &nd->loop.clock,
                     &admit_ops, nd);
    JdTargetClaims_Init(nd, &claim_ops);
    nd->has_target = nd->settings.target_address[0] != '\0';
    if (!nd->has_target) {
        return JD_OK;
    }
    s = JdHttpc_Init(&nd->target_client, &nd->loop,
                     nd->settings.target_address, nd->settings.max_connections,
                     err);
    if (s == JD_OK) {
        nd->target_client.max_response = MAX_RESPONSE;
        nd->target_client.max_buffered = MAX_BUFFERED;
        nd->target_client.memory = &nd->memory;
        JdTargetHealth_Init(nd);
    }
    return s;
}
