/*
 * Forwards the requests of callers: starts attempts, retries them and gives
 * the final answer.  A call is routed by the configuration version in force
 * when it began.  Attempts follow one another, except that an idempotent
 * request is hedged: when half of its time has passed and its target answers
 * nothing else either, it is sent to a second target as well, and the first
 * answer is used.
 */
#include <string.h>

#include "forward.h"

/* Pause before a retry after a connection broke.  What resets one connection
 * often resets others within a few milliseconds, and a retry that is sent on
 * one of them is lost as well. */
#define RETRY_PAUSE (5 * JD_US_PER_MS)
/* Interval between two checks of the connections that carry requests. */
#define CONN_CHECK_PERIOD (250 * JD_US_PER_MS)

static void try_next_target(JdCall *call);

/* ---- the end of a call ------------------------------------------------- */

/* Tells the target's node that the answer is no longer needed. */
void
JdForward_SendCancel(JdAttempt *att)
{
    JdNode *nd = att->call->node;
    Jd__Cancel msg = JD__CANCEL__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (!att->is_sent) {
        return;
    }
    if (att->request_conn == NULL) {
        nd->target_ops->cancel(nd->target_ctx, att->id, NULL);
        return;
    }
    msg.id = att->id;
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_CANCEL;
    frame.cancel = &msg;
    JdConn_Send(att->request_conn->conn, &frame);
}

/* Returns the id of the node that an attempt was made at. */
const char *
JdForward_TargetId(const JdAttempt *att)
{
    return att->call->target_ids[att - att->call->attempts];
}

/* Marks an attempt as over; an answer to it is dropped from now on. */
static void
end_attempt(JdAttempt *att)
{
    JdRequestConn_RemoveAttempt(att);
    JdPartial_Clear(&att->partial);
    att->is_active = false;
    att->call->active_count--;
}

/* Cancels the attempts under way and reports `reason` for them to the
 * balancer. */
static void
cancel_attempts(JdCall *call, JdReason reason)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    for (unsigned i = 0; i < call->attempt_count; i++) {
        JdAttempt *att = &call->attempts[i];

        if (att->is_active) {
            /* The time since the request was sent is a lower bound on how
             * long the target takes. */
            JdLoadReport report = {.service_time = now - att->sent_at};

            if (reason == JD_REASON_DEADLINE && att->is_sent) {
                JdLostAttempt_Add(att);
            }
            JdForward_SendCancel(att);
            JdBalancer_RecordFailure(&call->node->balancer,
                                     JdForward_TargetId(att), reason, &report);
            end_attempt(att);
        }
    }
}

static void
free_call(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Cancel(&nd->loop.clock, &call->deadline_timer);
    JdTimer_Cancel(&nd->loop.clock, &call->hedge_timer);
    JdTimer_Cancel(&nd->loop.clock, &call->retry_timer);
    TAILQ_REMOVE(&nd->calls, call, link);
    nd->call_count--;
    JdConfig_Unref(call->config);
    JdRequest_Free(call->msg, call->body);
    g_free(call);
}

static void
record_total_latency(JdCall *call, const char *outcome)
{
    JdNode *nd = call->node;

    JdLatencies_Record(&nd->latencies, JD_LATENCY_TOTAL, call->route.service,
                       outcome,
                       JdClock_Now(&nd->loop.clock) - call->arrived_at);
}

/* Logs a call that ends without the answer of a target. */
static void
log_refused_call(const JdCall *call, JdReason reason)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    unsigned last = call->attempt_count;

    JD_LOG(JD_EVENT_REQUEST, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_TEXT("account", call->msg->account),
           JD_TEXT("route", call->route.name),
           JD_TEXT("service", call->route.service),
           JD_NUMBER("version", call->config->version),
           JD_TEXT("last", JdReason_Info(call->last_reason)->name),
           JD_TEXT("target", last == 0 ? "" : call->target_ids[last - 1]),
           JD_NUMBER("tries", last),
           JD_NUMBER("sends", call->failed_sent_count),
           JD_NUMBER("has_run", call->may_have_run),
           JD_NUMBER("held_ms", (now - call->arrived_at) / JD_US_PER_MS),
           JD_NUMBER("left_ms", ((int64_t)call->deadline - (int64_t)now) /
                                    (int64_t)JD_US_PER_MS));
}

/*
 * Ends a call with a refusal.  When an earlier attempt may have run, the
 * reason must not claim that the request did not run, even if that is true of
 * the last attempt.
 */
static void
refuse_call(JdCall *call, JdReason reason)
{
    JdServerRequest *req = call->req;
    JdNode *nd = call->node;
    unsigned retry_after_ms;
    JdReason cancel_reason = reason;

    if (reason == JD_REASON_DEADLINE && !call->may_have_run) {
        reason = JD_REASON_TOO_LATE;
    }
    if (call->may_have_run && JdReason_Info(reason)->is_not_executed) {
        reason = JD_REASON_BROKEN;
    }
    if (reason == JD_REASON_QUEUE_FULL || reason == JD_REASON_TOO_LATE) {
        JdCapacity_Promise(call);
    }
    retry_after_ms = call->retry_after_ms;
    if (retry_after_ms == 0 || !JdReason_Info(reason)->is_not_executed) {
        retry_after_ms = JdReason_Info(reason)->retry_after_ms;
    }
    if (call->has_token && JdReason_Info(reason)->is_not_executed) {
        JdQuota_Return(&nd->quota, call->msg->account);
    }
    /* A refusal by the target's node is counted by that node. */
    if (call->attempt_count == 0 || cancel_reason == JD_REASON_DEADLINE ||
        reason == JD_REASON_BROKEN) {
        nd->counters.value[JdReason_Info(reason)->counter]++;
    }
    log_refused_call(call, reason);
    record_total_latency(call, JdReason_Info(reason)->name);
    cancel_attempts(call, cancel_reason);
    free_call(call);
    if (req != NULL) {
        JdReply_Refuse(nd, req, reason, retry_after_ms);
    }
}

/* Ends a call with the answer of a target. */
static void
answer_call(JdCall *call, const Jd__Response *msg, JdBody *body)
{
    JdServerRequest *req = call->req;
    JdNode *nd = call->node;
    uint64_t version = call->config->version;

    nd->counters.value[JD_C_REQUESTS_ANSWERED]++;
    record_total_latency(call, "answered");
    cancel_attempts(call, JD_REASON_CANCELLED);
    free_call(call);
    if (req != NULL) {
        JdReply_Answer(nd, req, version, msg, body);
    }
}

/* Ends the call of an attempt with the answer that the attempt got. */
void
JdForward_AttemptAnswered(JdAttempt *att, const Jd__Response *msg,
                          JdBody *body)
{
    end_attempt(att);
    answer_call(att->call, msg, body);
}

/* ---- attempts ---------------------------------------------------------- */

static void
log_failed_attempt(const JdAttempt *att, const JdAttemptFailure *failure)
{
    const JdCall *call = att->call;
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    JD_LOG(JD_EVENT_RETRY, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("target", JdForward_TargetId(att)),
           JD_TEXT("reason", JdReason_Info(failure->reason)->name),
           JD_NUMBER("was_sent", failure->was_sent),
           JD_NUMBER("load", failure->report.load),
           JD_NUMBER("try", att - call->attempts + 1),
           JD_NUMBER("took_ms", (now - att->sent_at) / JD_US_PER_MS),
           JD_TEXT("tier", JdTier_Name(att->tier)));
}

/* Records a failed attempt in the counters and flags of its call. */
static void
record_failure(JdCall *call, const JdAttemptFailure *failure)
{
    unsigned retry_after_ms = failure->retry_after_ms;

    call->last_reason = failure->reason;
    call->full_count += failure->reason == JD_REASON_QUEUE_FULL ||
                        failure->reason == JD_REASON_TOO_LATE ||
                        failure->reason == JD_REASON_RATE_LIMITED ||
                        failure->reason == JD_REASON_NO_LINK_ROOM;
    if (failure->was_sent) {
        call->failed_sent_count++;
        call->may_have_run = call->may_have_run ||
                             !JdReason_Info(failure->reason)->is_not_executed;
    }
    if (retry_after_ms != 0 &&
        (call->retry_after_ms == 0 || retry_after_ms < call->retry_after_ms)) {
        call->retry_after_ms = retry_after_ms;
    }
    if (failure->reason == JD_REASON_CRASHES) {
        call->retry_after_ms = 0;
    }
}

/* Returns whether an attempt is under way at a node that gives answers. */
static bool
has_live_attempt(const JdCall *call)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        const JdAttempt *att = &call->attempts[i];

        if (att->is_active &&
            (att->request_conn == NULL || !att->request_conn->is_silent)) {
            return true;
        }
    }
    return false;
}

/*
 * Handles the failure of an attempt.  While another attempt is under way, the
 * call waits for it; otherwise the call is retried at another target, or
 * refused unless a silent node may still answer it.
 */
void
JdForward_AttemptFailed(JdAttempt *att, const JdAttemptFailure *failure)
{
    JdCall *call = att->call;

    JdBalancer_RecordFailure(&call->node->balancer, JdForward_TargetId(att),
                             failure->reason, &failure->report);
    end_attempt(att);
    record_failure(call, failure);
    log_failed_attempt(att, failure);
    if (has_live_attempt(call)) {
        return;
    }
    JdTimer_Cancel(&call->node->loop.clock, &call->hedge_timer);
    if (!JdRetry_Take(call, failure->reason, failure->was_sent)) {
        if (call->active_count == 0) {
            refuse_call(call, failure->reason);
        }
        return;
    }
    if (failure->reason == JD_REASON_BROKEN) {
        JdTimer_Arm(&call->node->loop.clock, &call->retry_timer, RETRY_PAUSE);
        return;
    }
    try_next_target(call);
}

static void
on_retry_timer(void *ctx)
{
    try_next_target(ctx);
}

/* Updates the message of a call for an attempt that is sent now. */
static void
fill_message(JdAttempt *att)
{
    JdCall *call = att->call;
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    uint64_t goal_at = call->arrived_at + call->route.latency_goal;
    Jd__Request *msg = call->msg;

    att->is_sent = true;
    msg->retry = att->is_retry;
    msg->id = att->id;
    msg->takes_chunks = JdPick_ExpectsChunks(call);
    msg->left_ms = call->deadline > now
                       ? (uint32_t)((call->deadline - now) / JD_US_PER_MS)
                       : 0;
    msg->rate_limit = att->rate_limit;
    msg->target_started = att->target_started;
    msg->latency_ms =
        goal_at > now ? (uint32_t)((goal_at - now) / JD_US_PER_MS) : 0;
}

/* Hands a copy of the request to the local target, which frees it. */
static void
submit_to_local_target(JdAttempt *att)
{
    JdCall *call = att->call;
    JdNode *nd = call->node;

    fill_message(att);
    nd->target_ops->submit(nd->target_ctx,
                           JdRequest_Copy(call->msg, call->body),
                           JdBody_Ref(call->body), NULL);
}

/* Sends the request of an attempt on its connection, which is open. */
void
JdForward_SendAttempt(JdAttempt *att)
{
    JdNode *nd = att->call->node;
    Jd__Frame frame = JD__FRAME__INIT;
    size_t n;

    fill_message(att);
    if (nd->is_shortage_asked) {
        att->call->msg->sent_ms =
            JdTransit_Stamp(JdClock_Now(&nd->loop.clock));
    }
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_REQUEST;
    frame.request = att->call->msg;
    n = JdConn_SendBody(att->request_conn->conn, &frame, att->call->body);
    nd->counters.value[JD_C_REQUEST_BYTES] += n;
    if (att->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += n;
    }
}

/* Returns whether the target of the last attempt has answered other requests
 * since: a hedge would only add to its load, and to that of another one. */
static bool
is_target_at_work(const JdCall *call)
{
    const JdAttempt *att = &call->attempts[call->attempt_count - 1];

    return JdBalancer_HasAnsweredSince(&call->node->balancer,
                                       JdForward_TargetId(att), att->sent_at);
}

/* Starts another attempt beside the one under way, if a retry is allowed. */
void
JdForward_Hedge(JdCall *call)
{
    if (!JdRetry_MayCrashTargets(call) &&
        JdRetry_Take(call, JD_REASON_BROKEN, true)) {
        try_next_target(call);
    }
}

/* Hedges a slow attempt whose target gives no answers. */
static void
on_hedge_timer(void *ctx)
{
    JdCall *call = ctx;

    if (!is_target_at_work(call)) {
        JdForward_Hedge(call);
    }
}

/* Schedules the hedge of an idempotent request that is sent now. */
static void
arm_hedge_timer(JdCall *call)
{
    if (call->msg->idempotent && JdRetry_HasAttemptsLeft(call)) {
        JdTimer_Arm(&call->node->loop.clock, &call->hedge_timer,
                    JdPick_HedgeDelay(call));
    }
}

/* Adds an attempt at a member. */
static JdAttempt *
begin_attempt(JdCall *call, JdMember *mb, JdTier tier)
{
    JdNode *nd = call->node;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    JdAttempt *att = &call->attempts[call->attempt_count];

    att->is_retry = call->failed_sent_count + call->active_count > 0;
    att->call = call;
    att->id = ++nd->last_attempt_id;
    att->is_active = true;
    att->sent_at = now;
    att->target_started = mb->target_started;
    att->incarnation = mb->incarnation;
    att->tier = tier;
    att->is_old_version = JdRollouts_IsOldVersion(&nd->tree.rollouts, mb);
    g_strlcpy(call->target_ids[call->attempt_count], mb->id, JD_NAME_MAX);
    call->attempt_count++;
    call->active_count++;
    att->rate_limit = JdBalancer_RateLimit(&nd->balancer, mb);
    JdBalancer_RecordSend(&nd->balancer, mb);
    return att;
}

/* Sends the request to a target that has not been tried, or refuses the call
 * when there is none and no attempt is under way. */
static void
send_to_next_target(JdCall *call)
{
    JdAttemptFailure down = {.reason = JD_REASON_TARGET_DOWN};
    JdNode *nd = call->node;
    JdTier tier;
    JdMember *mb = JdPick_Target(call, &tier);
    JdRequestConn *rconn;
    JdAttempt *att;

    if (mb == NULL || !JdCapacity_HasTimeFor(call, mb)) {
        if (call->active_count == 0) {
            refuse_call(call, call->last_reason == JD_REASON_NONE
                                  ? JD_REASON_NO_TARGET
                                  : call->last_reason);
        }
        return;
    }
    att = begin_attempt(call, mb, tier);
    arm_hedge_timer(call);
    if (strcmp(mb->id, nd->settings.node) == 0) {
        submit_to_local_target(att);
        return;
    }
    if (tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUESTS_CROSS_REGION]++;
    }
    rconn = JdRequestConn_Get(nd, mb, !call->msg->idempotent);
    if (rconn == NULL) {
        JdForward_AttemptFailed(att, &down);
        return;
    }
    JdRequestConn_AddAttempt(rconn, att);
}

/* Sends the request to another target, unless it crashes targets. */
static void
try_next_target(JdCall *call)
{
    if (!JdRetry_CrashesTargets(call)) {
        send_to_next_target(call);
    }
    else if (call->active_count == 0) {
        call->retry_after_ms = 0;
        refuse_call(call, JD_REASON_CRASHES);
    }
}

/* ---- beginning and end ------------------------------------------------ */

/* Returns whether a request is under way to a target or at one. */
static bool
has_sent_attempt(const JdCall *call)
{
    for (unsigned i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i].is_active && call->attempts[i].is_sent) {
            return true;
        }
    }
    return false;
}

/* Counts the attempts under way at targets of old versions of a service. */
unsigned
JdForward_CountOldRunning(const JdNode *nd, const JdRollout *ro)
{
    const JdCall *call;
    unsigned n = 0;

    TAILQ_FOREACH(call, &nd->calls, link)
    {
        for (unsigned i = 0; i < call->attempt_count; i++) {
            n += call->attempts[i].is_active &&
                 call->attempts[i].is_old_version &&
                 strcmp(call->route.service, ro->order.service) == 0;
        }
    }
    return n;
}

/* Ends a call at its deadline.  Attempts that were sent may have run. */
static void
on_deadline(void *ctx)
{
    JdCall *call = ctx;

    call->may_have_run = call->may_have_run || has_sent_attempt(call);
    refuse_call(call, JD_REASON_DEADLINE);
}

/* Cancels a call whose caller closed its connection before the answer. */
void
JdForward_CallerDisconnected(JdCall *call)
{
    call->req = NULL;
    call->node->counters.value[JD_C_REFUSED_CANCELLED]++;
    cancel_attempts(call, JD_REASON_CANCELLED);
    free_call(call);
}

/* Starts a call whose request has been checked and copied.  The call is freed
 * when it ends. */
void
JdForward_Begin(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Init(&call->deadline_timer, on_deadline, call);
    JdTimer_Init(&call->hedge_timer, on_hedge_timer, call);
    JdTimer_Init(&call->retry_timer, on_retry_timer, call);
    JdTimer_Arm(&nd->loop.clock, &call->deadline_timer,
                call->deadline - JdClock_Now(&nd->loop.clock));
    TAILQ_INSERT_TAIL(&nd->calls, call, link);
    nd->call_count++;
    JdRetry_RecordCall(nd, &call->route);
    try_next_target(call);
}

static void
on_conn_check(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->conn_check_timer, CONN_CHECK_PERIOD);
    JdRequestConn_CheckAll(nd);
}

/* Initializes the forwarding of requests. */
void
JdForward_Init(JdNode *nd)
{
    TAILQ_INIT(&nd->calls);
    nd->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    JdCapacity_Init(nd);
    JdPick_Init(nd);
    JdRequestConn_Init(nd);
    JdTimer_Init(&nd->conn_check_timer, on_conn_check, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->conn_check_timer, CONN_CHECK_PERIOD);
}
