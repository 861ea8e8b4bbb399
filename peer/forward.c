/*
 * Requests of callers: choice of targets, tries and their ends.  A request
 * keeps the configuration version it began with.  One try is under way at a
 * time, but for idempotent work whose target takes far longer than usual: it
 * gets a second one, and the first answer counts.
 */
#include <string.h>

#include "forward.h"

/* Time after which idempotent work gets a second try: a multiple of the
 * target's usual time, at least the second figure, and the third while its
 * time is not known. */
#define PATIENCE_TIMES 4
#define PATIENCE_LEAST (50 * JD_US_PER_MS)
#define PATIENCE_UNKNOWN (500 * JD_US_PER_MS)
/* Period of the checks on connections. */
#define TEND_EVERY (250 * JD_US_PER_MS)

static void try_target(JdCall *call);

/* ---- the end of a call ------------------------------------------------- */

static void
cancel_try(JdAttempt *tr)
{
    JdNode *nd = tr->call->node;
    Jd__Cancel msg = JD__CANCEL__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (tr->request_conn == NULL) {
        JdWorker_Cancel(nd, tr->id, NULL);
        return;
    }
    msg.id = tr->id;
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_CANCEL;
    frame.cancel = &msg;
    JdConn_Send(tr->request_conn->conn, &frame);
}

static const char *
target_of(const JdAttempt *tr)
{
    return tr->call->target_ids[tr - tr->call->attempts];
}

static void
end_try(JdAttempt *tr)
{
    JdRequestConn_RemoveAttempt(tr);
    tr->is_active = false;
    tr->call->active_count--;
}

/* Cancels the tries that are still under way; `reason` says why. */
static void
cancel_tries(JdCall *call, JdReason reason)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    for (unsigned i = 0; i < call->attempt_count; i++) {
        JdAttempt *tr = &call->attempts[i];

        if (tr->is_active) {
            /* It takes at least as long as it has run so far. */
            JdLoadReport report = {.service_time = now - tr->sent_at};

            cancel_try(tr);
            JdBalancer_RecordFailure(&call->node->chooser, target_of(tr),
                                     reason, &report);
            end_try(tr);
        }
    }
}

static void
free_call(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Cancel(&nd->loop.clock, &call->deadline_timer);
    JdTimer_Cancel(&nd->loop.clock, &call->hedge_timer);
    TAILQ_REMOVE(&nd->calls, call, link);
    nd->call_count--;
    JdConfig_Unref(call->config);
    jd__request__free_unpacked(call->msg, NULL);
    g_free(call);
}

static void
note_total(JdCall *call, const char *outcome)
{
    JdNode *nd = call->node;

    JdLatencies_Record(&nd->latencies, JD_LATENCY_TOTAL, call->route.service,
                       outcome,
                       JdClock_Now(&nd->loop.clock) - call->started_at);
}

/* One line at the end of a request that was not answered by a target. */
static void
log_end(const JdCall *call, JdReason reason)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    unsigned last = call->attempt_count;

    JD_LOG(JD_EVENT_REQUEST, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_TEXT("route", call->route.name),
           JD_TEXT("service", call->route.service),
           JD_NUMBER("version", call->config->version),
           JD_TEXT("last", JdReason_Info(call->last_reason)->name),
           JD_TEXT("target", last == 0 ? "" : call->target_ids[last - 1]),
           JD_NUMBER("tries", last), JD_NUMBER("sends", call->sent_count),
           JD_NUMBER("has_run", call->may_have_run),
           JD_NUMBER("held_ms", (now - call->started_at) / JD_US_PER_MS),
           JD_NUMBER("left_ms", ((int64_t)call->deadline - (int64_t)now) /
                                    (int64_t)JD_US_PER_MS));
}

/*
 * Gives the final answer.  What a target may have got cannot be called not
 * run, whatever became of the last try.
 */
static void
end_refused(JdCall *call, JdReason reason)
{
    JdServerRequest *req = call->req;
    JdNode *nd = call->node;
    unsigned wait = call->retry_after;

    if (call->may_have_run && JdReason_Info(reason)->is_not_executed) {
        reason = JD_REASON_BROKEN;
    }
    if (wait == 0 || !JdReason_Info(reason)->is_not_executed) {
        wait = JdReason_Info(reason)->retry_after_ms;
    }
    /* What the target's node refused was counted there. */
    if (call->attempt_count == 0 || reason == JD_REASON_DEADLINE ||
        reason == JD_REASON_BROKEN) {
        nd->counters.value[JdReason_Info(reason)->counter]++;
    }
    log_end(call, reason);
    note_total(call, JdReason_Info(reason)->name);
    cancel_tries(call, reason);
    free_call(call);
    if (req != NULL) {
        JdReply_Refuse(nd, req, reason, wait);
    }
}

static void
end_answered(JdCall *call, const Jd__Response *msg)
{
    JdServerRequest *req = call->req;
    JdNode *nd = call->node;
    uint64_t version = call->config->version;

    nd->counters.value[JD_C_REQUESTS_ANSWERED]++;
    note_total(call, "answered");
    cancel_tries(call, JD_REASON_CANCELLED);
    free_call(call);
    if (req != NULL) {
        JdReply_Answer(nd, req, version, msg);
    }
}

/* ---- tries ------------------------------------------------------------- */

static JdRetryBudget *
budget_of(JdNode *nd, const char *service)
{
    JdRetryBudget *bg = g_hash_table_lookup(nd->retry_budgets, service);

    if (bg == NULL) {
        bg = g_new0(JdRetryBudget, 1);
        JdRetryBudget_Init(bg);
        g_hash_table_insert(nd->retry_budgets, g_strdup(service), bg);
    }
    return bg;
}

static bool
is_idempotent(const JdCall *call)
{
    const char *m = call->msg->method;

    return call->route.is_idempotent || strcmp(m, "GET") == 0 ||
           strcmp(m, "HEAD") == 0 || strcmp(m, "OPTIONS") == 0;
}

/* Whether one more target may get the request, tries under way counted. */
static bool
has_attempts(const JdCall *call)
{
    return call->attempt_count < JD_ATTEMPTS_MAX &&
           call->sent_count + call->active_count < call->route.attempts;
}

static bool
may_retry(JdCall *call, JdReason reason, bool was_sent)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    JdNode *nd = call->node;

    if (!info->is_retryable || !has_attempts(call) || call->req == NULL ||
        JdClock_Now(&nd->loop.clock) >= call->deadline) {
        return false;
    }
    if (!info->is_not_executed && !is_idempotent(call)) {
        return false;
    }
    /* A node that refused before its target saw the request costs no work. */
    if (was_sent && !JdRetryBudget_Take(budget_of(nd, call->route.service),
                                        call->msg->priority)) {
        nd->counters.value[JD_C_REFUSED_RETRY_BUDGET]++;
        return false;
    }
    nd->counters.value[info->is_not_executed ? JD_C_RETRIES_NOT_RUN
                                             : JD_C_RETRIES_IDEMPOTENT]++;
    return true;
}

static void
log_try(const JdAttempt *tr, const JdAttemptFailure *why)
{
    const JdCall *call = tr->call;
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    JD_LOG(JD_EVENT_RETRY, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("target", target_of(tr)),
           JD_TEXT("reason", JdReason_Info(why->reason)->name),
           JD_NUMBER("was_sent", why->was_sent),
           JD_NUMBER("load", why->report.load),
           JD_NUMBER("try", tr - call->attempts + 1),
           JD_NUMBER("took_ms", (now - tr->sent_at) / JD_US_PER_MS),
           JD_TEXT("tier", JdTier_Name(tr->tier)));
}

static void
note_failure(JdCall *call, const JdAttemptFailure *why)
{
    unsigned wait = why->retry_after_ms;

    call->last_reason = why->reason;
    call->full_count += why->reason == JD_REASON_QUEUE_FULL ||
                        why->reason == JD_REASON_TOO_LATE;
    if (why->was_sent) {
        call->sent_count++;
        call->may_have_run =
            call->may_have_run || !JdReason_Info(why->reason)->is_not_executed;
    }
    if (wait != 0 && (call->retry_after == 0 || wait < call->retry_after)) {
        call->retry_after = wait;
    }
}

/*
 * A try failed: waits for another one that is under way, tries another target,
 * or gives the final answer at once.
 */
void
JdForward_AttemptFailed(JdAttempt *tr, const JdAttemptFailure *why)
{
    JdCall *call = tr->call;

    JdBalancer_RecordFailure(&call->node->chooser, target_of(tr), why->reason,
                             &why->report);
    end_try(tr);
    note_failure(call, why);
    log_try(tr, why);
    if (call->active_count > 0) {
        return;
    }
    JdTimer_Cancel(&call->node->loop.clock, &call->hedge_timer);
    if (!may_retry(call, why->reason, why->was_sent)) {
        end_refused(call, why->reason);
        return;
    }
    try_target(call);
}

static void
run_here(JdCall *call)
{
    size_t n = jd__request__get_packed_size(call->msg);
    uint8_t *buf = g_malloc(n);

    jd__request__pack(call->msg, buf);
    JdWorker_Submit(call->node, jd__request__unpack(NULL, n, buf), NULL);
    g_free(buf);
}

static void
send_to(JdAttempt *tr, JdRequestConn *lane)
{
    JdNode *nd = tr->call->node;
    Jd__Frame frame = JD__FRAME__INIT;
    size_t n;

    JdRequestConn_AddAttempt(lane, tr);
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_REQUEST;
    frame.request = tr->call->msg;
    n = JdConn_Send(lane->conn, &frame);
    nd->counters.value[JD_C_REQUEST_BYTES] += n;
    if (tr->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += n;
    }
}

/* The target takes far longer than usual: another one gets the work as well,
 * and the first answer counts. */
static void
on_impatience(void *ctx)
{
    JdCall *call = ctx;

    if (may_retry(call, JD_REASON_BROKEN, true)) {
        try_target(call);
    }
}

/* Limits the wait for idempotent work to a multiple of the usual time. */
static void
arm_patience(JdCall *call, const JdMember *mb)
{
    const JdTargetStats *ts = mb->user;
    uint64_t left = call->deadline - JdClock_Now(&call->node->loop.clock);
    uint64_t wait = PATIENCE_UNKNOWN;

    if (!is_idempotent(call) || !has_attempts(call)) {
        return;
    }
    if (ts != NULL && ts->mean_latency > 0) {
        wait = ts->mean_latency * PATIENCE_TIMES;
    }
    if (wait < PATIENCE_LEAST) {
        wait = PATIENCE_LEAST;
    }
    /* Another try needs time as well. */
    JdTimer_Arm(&call->node->loop.clock, &call->hedge_timer,
                wait < left / 2 ? wait : left / 2);
}

/* Prepares the message of one more try at a member. */
static JdAttempt *
begin_try(JdCall *call, JdMember *mb, JdTier tier)
{
    JdNode *nd = call->node;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t wanted = call->started_at + call->route.latency_goal;
    JdAttempt *tr = &call->attempts[call->attempt_count];

    call->msg->retry = call->sent_count + call->active_count > 0;
    tr->call = call;
    tr->id = ++nd->last_try_id;
    tr->is_active = true;
    tr->sent_at = now;
    tr->tier = tier;
    g_strlcpy(call->target_ids[call->attempt_count], mb->id, JD_NAME_MAX);
    call->attempt_count++;
    call->active_count++;
    call->msg->id = tr->id;
    call->msg->left_ms = (uint32_t)((call->deadline - now) / JD_US_PER_MS);
    call->msg->latency_ms =
        wanted > now ? (uint32_t)((wanted - now) / JD_US_PER_MS) : 0;
    JdBalancer_RecordSend(&nd->chooser, mb);
    return tr;
}

/* Returns the us left until an answer is wanted; 1 where that is past. */
static uint64_t
wanted_in(const JdCall *call)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);
    uint64_t wanted = call->started_at + call->route.latency_goal;

    return wanted > now ? wanted - now : 1;
}

static void
try_target(JdCall *call)
{
    JdAttemptFailure down = {.reason = JD_REASON_TARGET_DOWN};
    JdNode *nd = call->node;
    JdExcludedTargets avoid = {call->target_ids, call->attempt_count,
                               call->full_count};
    JdTier tier;
    JdMember *mb = JdBalancer_Pick(&nd->chooser, call->route.endpoint_set,
                                   &avoid, wanted_in(call), &tier);
    JdRequestConn *lane;
    JdAttempt *tr;

    if (mb == NULL) {
        if (call->active_count == 0) {
            end_refused(call, call->attempt_count == 0 ? JD_REASON_NO_TARGET
                                                       : call->last_reason);
        }
        return;
    }
    tr = begin_try(call, mb, tier);
    arm_patience(call, mb);
    if (strcmp(mb->id, nd->settings.node) == 0) {
        run_here(call);
        return;
    }
    if (tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUESTS_CROSS_REGION]++;
    }
    lane = JdRequestConn_Get(nd, mb, !is_idempotent(call));
    if (lane == NULL) {
        JdForward_AttemptFailed(tr, &down);
        return;
    }
    send_to(tr, lane);
}

/* ---- answers ----------------------------------------------------------- */

static JdAttempt *
find_try(JdNode *nd, uint64_t id)
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

/* Takes the answer of a target's node. */
void
JdForward_OnResponse(JdNode *nd, const Jd__Response *msg)
{
    JdLoadReport report = {msg->load, msg->service_us};
    JdAttempt *tr = find_try(nd, msg->id);

    if (tr == NULL) {
        nd->counters.value[JD_C_LATE_ANSWERS]++;
        return;
    }
    nd->counters.value[JD_C_REQUEST_BYTES] += msg->body.len;
    if (tr->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += msg->body.len;
    }
    if (msg->reason != JD_REASON_NONE || msg->status == 0) {
        JdAttemptFailure why = {.reason = JD_REASON_BROKEN,
                                .was_sent = msg->sent,
                                .report = report,
                                .retry_after_ms = msg->retry_after_ms};

        if (msg->reason != JD_REASON_NONE && msg->reason < JD_REASON_MAX) {
            why.reason = (JdReason)msg->reason;
        }
        JdForward_AttemptFailed(tr, &why);
        return;
    }
    JdBalancer_RecordAnswer(&nd->chooser, target_of(tr),
                            JdClock_Now(&nd->loop.clock) - tr->sent_at,
                            &report);
    end_try(tr);
    end_answered(tr->call, msg);
}

/* The time is up.  What became of the tries under way is not known. */
static void
on_deadline(void *ctx)
{
    JdCall *call = ctx;

    call->may_have_run = call->may_have_run || call->active_count > 0;
    end_refused(call, JD_REASON_DEADLINE);
}

/* The caller of a request left before it was answered: nobody waits. */
void
JdForward_CallerDisconnected(JdCall *call)
{
    call->req = NULL;
    call->node->counters.value[JD_C_REFUSED_CANCELLED]++;
    cancel_tries(call, JD_REASON_CANCELLED);
    free_call(call);
}

/*
 * Returns the percent of the requests for a service that come from runs which
 * are retries.  Callers' own requests cannot be told from the target's calls;
 * a target hardly calls its own service, so none are charged there.
 */
static unsigned
inherited_share(const JdNode *nd, const char *service)
{
    return strcmp(service, nd->settings.service) == 0
               ? 0
               : JdWorker_RetryPercent(nd);
}

static void
note_first_try(JdNode *nd, const JdRoute *route)
{
    JdRetryBudgetParams rate = {.retry_percent = route->retry_percent,
                                .nested_retry_percent =
                                    inherited_share(nd, route->service),
                                .node_count = nd->tree.members.count};

    JdRetryBudget_RecordFirstAttempt(budget_of(nd, route->service), &rate);
}

/* Starts a call whose request is checked and copied. */
void
JdForward_Begin(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Init(&call->deadline_timer, on_deadline, call);
    JdTimer_Init(&call->hedge_timer, on_impatience, call);
    JdTimer_Arm(&nd->loop.clock, &call->deadline_timer,
                call->deadline - JdClock_Now(&nd->loop.clock));
    TAILQ_INSERT_TAIL(&nd->calls, call, link);
    nd->call_count++;
    note_first_try(nd, &call->route);
    try_target(call);
}

static void
on_tend(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->maintenance_timer, TEND_EVERY);
    JdRequestConn_CheckAll(nd);
}

/* Initializes the path of requests. */
void
JdForward_Init(JdNode *nd)
{
    TAILQ_INIT(&nd->calls);
    nd->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    JdRequestConn_Init(nd);
    nd->chooser.members = &nd->tree.members;
    nd->chooser.clock = &nd->loop.clock;
    nd->chooser.random = &nd->tree.random;
    nd->chooser.counters = &nd->counters;
    nd->chooser.region = nd->settings.region;
    nd->chooser.domain = nd->settings.failure_domain;
    JdTimer_Init(&nd->maintenance_timer, on_tend, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->maintenance_timer, TEND_EVERY);
}
