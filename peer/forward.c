/*
 * Requests of callers: choice of a target, tries and answers.  A request keeps
 * the configuration version it began with.
 */
#include <string.h>

#include "forward.h"

/* Time for a try of idempotent work: a multiple of the target's usual time,
 * at least the second figure, and the third while its time is not known. */
#define PATIENCE_TIMES 8
#define PATIENCE_LEAST (50 * JD_US_PER_MS)
#define PATIENCE_UNKNOWN (500 * JD_US_PER_MS)
/* Period of the checks on connections. */
#define TEND_EVERY (250 * JD_US_PER_MS)

static void try_target(JdCall *call);

/* ---- answers to callers ------------------------------------------------ */

static void
free_call(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Cancel(&nd->loop.clock, &call->timer);
    JdTimer_Cancel(&nd->loop.clock, &call->patience);
    TAILQ_REMOVE(&nd->calls, call, link);
    nd->call_count--;
    JdConfig_Unref(call->config);
    if (call->msg != NULL) {
        jd__request__free_unpacked(call->msg, NULL);
    }
    g_free(call);
}

static void
add_retry_after(const JdNode *nd, GString *head, unsigned ms)
{
    if (ms == 0) {
        return;
    }
    if (nd->dialect->has_fractions) {
        g_string_append_printf(head, "retry-after: %u.%03u\r\n", ms / 1000,
                               ms % 1000);
    }
    else {
        g_string_append_printf(head, "retry-after: %u\r\n", (ms + 999) / 1000);
    }
}

/*
 * Tells a caller that its request was refused or given up, and why;
 * `retry_after` is in ms, 0 where coming back does not help.
 */
void
JdForward_ReplyRefusal(JdNode *nd, JdServerRequest *req, JdReason reason,
                       unsigned retry_after)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    GString *head = g_string_new("content-type: application/json\r\n");
    char body[JD_TEXT_MAX];

    if (nd->dialect->tells_outcome) {
        /* This node has tried as often as helps; a retry at every depth of a
         * chain of calls would multiply them. */
        g_string_append_printf(
            head, "x-outcome: %s\r\nx-reason: %s\r\nx-retry: no\r\n",
            info->is_not_run ? "not-run" : "unknown", info->name);
    }
    add_retry_after(nd, head, retry_after);
    g_snprintf(body, sizeof(body),
               "{\"refused\": \"%s\", \"not_run\": %s, \"node\": \"%s\"}",
               info->name, info->is_not_run ? "true" : "false",
               nd->settings.node);
    JdServer_Reply(req, info->http_status, head->str, body, strlen(body));
    g_string_free(head, TRUE);
}

/* One line at the end of a request that was not answered by a target. */
static void
log_end(const JdCall *call, JdReason reason)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    JD_LOG(JD_EVENT_REQUEST, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_TEXT("route", call->route.prefix),
           JD_TEXT("service", call->route.service),
           JD_NUMBER("version", call->config->version),
           JD_TEXT("last", JdReason_Info(call->reason)->name),
           JD_TEXT("target", call->target), JD_NUMBER("tries", call->tries),
           JD_NUMBER("sends", call->sends),
           JD_NUMBER("has_run", call->has_run),
           JD_NUMBER("held_ms", (now - call->started) / JD_US_PER_MS),
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

    if (call->has_run && JdReason_Info(reason)->is_not_run) {
        reason = JD_REASON_BROKEN;
    }
    if (wait == 0 || !JdReason_Info(reason)->is_not_run) {
        wait = JdReason_Info(reason)->retry_after;
    }
    /* What the target's node refused was counted there. */
    if (call->tries == 0 || reason == JD_REASON_DEADLINE ||
        reason == JD_REASON_BROKEN) {
        nd->counters.value[JdReason_Info(reason)->counter]++;
    }
    log_end(call, reason);
    free_call(call);
    if (req != NULL) {
        JdForward_ReplyRefusal(nd, req, reason, wait);
    }
}

static void
end_answered(JdCall *call, const Jd__Response *msg)
{
    JdServerRequest *req = call->req;
    JdNode *nd = call->node;
    GString *head = g_string_new(NULL);

    for (size_t i = 0; i < msg->n_header; i++) {
        const Jd__Header *h = msg->header[i];

        g_string_append_printf(head, "%s: %.*s\r\n", h->name,
                               (int)h->value.len, (const char *)h->value.data);
    }
    if (nd->dialect->tells_outcome) {
        g_string_append_printf(head,
                               "x-outcome: ran\r\n"
                               "x-config-version: %" G_GUINT64_FORMAT "\r\n",
                               call->config->version);
    }
    nd->counters.value[JD_C_ANSWERED]++;
    free_call(call);
    if (req != NULL) {
        JdServer_Reply(req, (int)msg->status, head->str, msg->body.data,
                       msg->body.len);
    }
    g_string_free(head, TRUE);
}

static void
send_cancel(JdCall *call)
{
    Jd__Cancel msg = JD__CANCEL__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (call->tries == 0) {
        return;
    }
    if (call->lane == NULL) {
        JdWorker_Cancel(call->node, call->id, NULL);
        return;
    }
    msg.id = call->id;
    frame.version = call->node->store.config->version;
    frame.body_case = JD__FRAME__BODY_CANCEL;
    frame.cancel = &msg;
    JdConn_Send(call->lane->conn, &frame);
}

/* ---- tries ------------------------------------------------------------- */

static JdBudget *
budget_of(JdNode *nd, const char *service)
{
    JdBudget *bg = g_hash_table_lookup(nd->budgets, service);

    if (bg == NULL) {
        bg = g_new0(JdBudget, 1);
        JdBudget_Init(bg);
        g_hash_table_insert(nd->budgets, g_strdup(service), bg);
    }
    return bg;
}

static bool
is_idempotent(const JdCall *call)
{
    const char *m = call->msg->method;

    return call->route.idempotent || strcmp(m, "GET") == 0 ||
           strcmp(m, "HEAD") == 0 || strcmp(m, "OPTIONS") == 0;
}

static bool
may_retry(JdCall *call, JdReason reason, bool was_sent)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    JdNode *nd = call->node;

    if (!info->is_retry_useful || call->tries >= JD_TRIES_MAX ||
        call->sends >= call->route.attempts || call->req == NULL ||
        JdClock_Now(&nd->loop.clock) >= call->deadline) {
        return false;
    }
    if (!info->is_not_run && !is_idempotent(call)) {
        return false;
    }
    /* A node that refused before its target saw the request costs no work. */
    if (was_sent && !JdBudget_Take(budget_of(nd, call->route.service))) {
        nd->counters.value[JD_C_R_BUDGET]++;
        return false;
    }
    nd->counters
        .value[info->is_not_run ? JD_C_T_NOT_RUN : JD_C_T_IDEMPOTENT]++;
    return true;
}

static void
log_try(const JdCall *call, const JdFailure *why)
{
    uint64_t now = JdClock_Now(&call->node->loop.clock);

    JD_LOG(JD_EVENT_RETRY, JD_TEXT("id", call->msg->request_id),
           JD_TEXT("target", call->target),
           JD_TEXT("reason", JdReason_Info(why->reason)->name),
           JD_NUMBER("was_sent", why->was_sent), JD_NUMBER("load", why->load),
           JD_NUMBER("try", call->tries),
           JD_NUMBER("took_ms", (now - call->sent_at) / JD_US_PER_MS),
           JD_TEXT("tier", JdTier_Name(call->tier)));
}

static void
note_failure(JdCall *call, const JdFailure *why)
{
    unsigned wait = why->retry_after;

    if (why->was_sent) {
        call->sends++;
        call->has_run =
            call->has_run || !JdReason_Info(why->reason)->is_not_run;
    }
    if (wait != 0 && (call->retry_after == 0 || wait < call->retry_after)) {
        call->retry_after = wait;
    }
    g_strlcpy(call->avoid[call->tries - 1], call->target, JD_NAME_MAX);
}

/* A try failed: tries another target, or gives the final answer at once. */
void
JdForward_TryAgain(JdCall *call, const JdFailure *why)
{
    JdLane_Leave(call);
    JdTimer_Cancel(&call->node->loop.clock, &call->patience);
    JdChooser_Failed(&call->node->chooser, call->target, why->reason,
                     why->load);
    note_failure(call, why);
    call->reason = why->reason;
    log_try(call, why);
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
send_to(JdCall *call, JdLane *lane)
{
    JdNode *nd = call->node;
    Jd__Frame frame = JD__FRAME__INIT;
    size_t n;

    JdLane_Enter(lane, call);
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_REQUEST;
    frame.request = call->msg;
    n = JdConn_Send(lane->conn, &frame);
    nd->counters.value[JD_C_REQUEST_BYTES] += n;
    if (call->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += n;
    }
}

/* The target is slow beyond what it was: another one may take the work. */
static void
on_impatience(void *ctx)
{
    JdFailure why = {.reason = JD_REASON_DEADLINE, .was_sent = true};
    JdCall *call = ctx;

    if (call->sends + 1 >= call->route.attempts ||
        !may_retry(call, JD_REASON_BROKEN, true)) {
        return;
    }
    note_failure(call, &why);
    log_try(call, &why);
    send_cancel(call);
    JdLane_Leave(call);
    JdChooser_Failed(&call->node->chooser, call->target, why.reason, 0);
    call->reason = why.reason;
    try_target(call);
}

/* Limits a try of idempotent work to a multiple of the usual time. */
static void
arm_patience(JdCall *call, const JdMember *mb)
{
    const JdTargetStat *ts = mb->user;
    uint64_t wait = PATIENCE_UNKNOWN;
    uint64_t left = call->deadline - call->sent_at;

    if (!is_idempotent(call) || call->tries >= JD_TRIES_MAX) {
        return;
    }
    if (ts != NULL && ts->latency > 0) {
        wait = ts->latency * PATIENCE_TIMES;
    }
    if (wait < PATIENCE_LEAST) {
        wait = PATIENCE_LEAST;
    }
    /* Another try needs time as well. */
    if (wait > left / 2) {
        wait = left / 2;
    }
    JdTimer_Arm(&call->node->loop.clock, &call->patience, wait);
}

/* Prepares the message of one more try at a member. */
static void
begin_try(JdCall *call, JdMember *mb)
{
    JdNode *nd = call->node;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t wanted = call->started + call->route.latency;

    call->tries++;
    /* An answer to an earlier try must not pass for one to this try. */
    call->id = ++nd->next_call;
    call->msg->id = call->id;
    call->sent_at = now;
    g_strlcpy(call->target, mb->id, sizeof(call->target));
    call->msg->left_ms = (uint32_t)((call->deadline - now) / JD_US_PER_MS);
    call->msg->latency_ms =
        wanted > now ? (uint32_t)((wanted - now) / JD_US_PER_MS) : 0;
    JdChooser_Sent(&nd->chooser, mb);
}

static void
try_target(JdCall *call)
{
    JdFailure down = {.reason = JD_REASON_TARGET_DOWN};
    JdNode *nd = call->node;
    JdAvoid avoid = {call->avoid, call->tries};
    JdMember *mb = JdChooser_Pick(&nd->chooser, call->route.endpoint_set,
                                  &avoid, &call->tier);
    JdLane *lane = NULL;

    if (mb == NULL) {
        end_refused(call,
                    call->tries == 0 ? JD_REASON_NO_TARGET : call->reason);
        return;
    }
    begin_try(call, mb);
    arm_patience(call, mb);
    if (strcmp(mb->id, nd->settings.node) == 0) {
        run_here(call);
        return;
    }
    if (call->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_CROSS_REGION]++;
    }
    lane = JdLane_Get(nd, mb, !is_idempotent(call));
    if (lane == NULL) {
        JdForward_TryAgain(call, &down);
        return;
    }
    send_to(call, lane);
}

static JdCall *
find_call(JdNode *nd, uint64_t id)
{
    JdCall *call;

    TAILQ_FOREACH_REVERSE(call, &nd->calls, JdCallHead, link)
    {
        if (call->id == id) {
            return call;
        }
    }
    return NULL;
}

/* Takes the answer of a target's node. */
void
JdForward_Respond(JdNode *nd, const Jd__Response *msg)
{
    JdCall *call = find_call(nd, msg->id);
    uint64_t took;

    if (call == NULL) {
        nd->counters.value[JD_C_LATE_ANSWERS]++;
        return;
    }
    took = JdClock_Now(&nd->loop.clock) - call->sent_at;
    nd->counters.value[JD_C_REQUEST_BYTES] += msg->body.len;
    if (call->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_REQUEST_REGION_BYTES] += msg->body.len;
    }
    if (msg->reason != JD_REASON_NONE || msg->status == 0) {
        JdFailure why = {.reason = JD_REASON_BROKEN,
                         .was_sent = msg->sent,
                         .load = msg->load,
                         .retry_after = msg->retry_after_ms};

        if (msg->reason != JD_REASON_NONE && msg->reason < JD_REASON_MAX) {
            why.reason = (JdReason)msg->reason;
        }
        JdForward_TryAgain(call, &why);
        return;
    }
    JdLane_Leave(call);
    JdChooser_Answered(&nd->chooser, call->target, took, msg->load);
    end_answered(call, msg);
}

/* The time is up.  What became of the present try is not known. */
static void
on_deadline(void *ctx)
{
    JdCall *call = ctx;

    send_cancel(call);
    JdLane_Leave(call);
    JdChooser_Failed(&call->node->chooser, call->target, JD_REASON_DEADLINE,
                     0);
    end_refused(call, JD_REASON_DEADLINE);
}

/* ---- callers ----------------------------------------------------------- */

/* The caller is gone: nobody waits for the answer. */
static void
abandon(JdCall *call)
{
    JdNode *nd = call->node;

    send_cancel(call);
    JdLane_Leave(call);
    JdChooser_Failed(&nd->chooser, call->target, JD_REASON_CANCELLED, 0);
    nd->counters.value[JD_C_R_CANCELLED]++;
    free_call(call);
}

/* The caller of a request left before it was answered. */
void
JdForward_CallerLeft(JdCall *call)
{
    call->req = NULL;
    abandon(call);
}

/* Starts a call whose request is checked and copied. */
void
JdForward_Begin(JdCall *call, uint64_t timeout)
{
    JdNode *nd = call->node;

    JdTimer_Init(&call->timer, on_deadline, call);
    JdTimer_Init(&call->patience, on_impatience, call);
    JdTimer_Arm(&nd->loop.clock, &call->timer, timeout);
    JdBudget_First(budget_of(nd, call->route.service),
                   call->route.retry_percent);
    try_target(call);
}

static void
on_tend(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->tend, TEND_EVERY);
    JdLane_Tend(nd);
}

/* Initializes the path of requests. */
void
JdForward_Init(JdNode *nd)
{
    TAILQ_INIT(&nd->calls);
    nd->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    JdLane_Init(nd);
    nd->chooser.members = &nd->tree.members;
    nd->chooser.clock = &nd->loop.clock;
    nd->chooser.random = &nd->tree.random;
    nd->chooser.counters = &nd->counters;
    nd->chooser.region = nd->settings.region;
    nd->chooser.domain = nd->settings.domain;
    JdTimer_Init(&nd->tend, on_tend, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->tend, TEND_EVERY);
}
