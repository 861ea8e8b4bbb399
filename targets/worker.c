/*
 * Work for the target beside this node.  Only this node sends to the target,
 * so what it has not sent has not run.
 */
#include <string.h>

#include "../node/node.h"

/* Largest body of an answer: it has to fit into a frame, in bytes. */
#define ANSWER_MOST (JD_FRAME_MAX - (1U << 20))
/* Time for a target to notice that its caller left. */
#define CANCEL_GRACE (100 * JD_US_PER_MS)

/* One request at the target's node, from admission to its answer. */
struct JdWorkItem {
    TAILQ_ENTRY(JdWorkItem) link;
    JdWork work; /* first, so that work and item are the same address */
    JdNode *node;
    Jd__Request *msg;
    JdConn *origin; /* NULL: a caller of this node */
    JdHttpCall *call;
    JdClaim claim;   /* of the request's key, where it needs one */
    JdReason reason; /* given once the claim is released */
    JdTimer lapse;   /* ends an item whose claim lapsed before sending */
    uint64_t offered_at;
    bool was_sent;  /* the target may have got it */
    bool is_orphan; /* nobody waits for the answer any more */
};

static JdWorkItem *
item_of_claim(JdClaim *claim)
{
    return (JdWorkItem *)((char *)claim - offsetof(JdWorkItem, claim));
}

static JdWorkItem *
item_of(JdWork *work)
{
    return (JdWorkItem *)((char *)work - offsetof(JdWorkItem, work));
}

static void
free_item(JdWorkItem *it)
{
    TAILQ_REMOVE(&it->node->work_items, it, link);
    jd__request__free_unpacked(it->msg, NULL);
    g_free(it);
}

static void
send_response(JdNode *nd, JdConn *origin, Jd__Response *msg)
{
    Jd__Frame frame = JD__FRAME__INIT;

    msg->load = JdAdmission_Load(&nd->admit);
    msg->service_us = nd->admit.service_time.mean;
    if (origin == NULL) {
        JdForward_OnResponse(nd, msg);
        return;
    }
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_RESPONSE;
    frame.response = msg;
    JdConn_Send(origin, &frame);
}

static void
log_refusal(const JdNode *nd, const Jd__Request *request, JdReason reason,
            bool was_sent)
{
    JD_LOG(JD_EVENT_WORK, JD_TEXT("id", request->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_NUMBER("was_sent", was_sent),
           JD_NUMBER("running", nd->admit.running),
           JD_NUMBER("queued", nd->admit.queued),
           JD_NUMBER("slots", nd->admit.slots),
           JD_NUMBER("service_ms", nd->admit.service_time.mean / JD_US_PER_MS),
           JD_NUMBER("left_ms", request->left_ms),
           JD_TEXT("target", nd->target_process.id));
}

static void
refuse(JdNode *nd, const Jd__Request *request, JdConn *origin, JdReason reason,
       bool was_sent)
{
    Jd__Response msg = JD__RESPONSE__INIT;

    msg.id = request->id;
    msg.reason = reason;
    msg.sent = was_sent;
    msg.retry_after_ms = JdReason_Info(reason)->retry_after_ms;
    if (reason == JD_REASON_QUEUE_FULL || reason == JD_REASON_TOO_LATE) {
        msg.retry_after_ms =
            (uint32_t)(JdAdmission_RetryAfter(&nd->admit) / JD_US_PER_MS);
    }
    nd->counters.value[JdReason_Info(reason)->counter]++;
    log_refusal(nd, request, reason, was_sent);
    send_response(nd, origin, &msg);
}

/* Gives the final answer to an item whose work is over or was never sent. */
static void
end_refused(JdWorkItem *it, JdReason reason)
{
    if (!it->is_orphan) {
        refuse(it->node, it->msg, it->origin, reason, it->was_sent);
    }
    free_item(it);
}

/*
 * Refuses work that was not sent.  A key that it holds is given back first,
 * so that another try with the key finds it free.
 */
static void
refuse_unsent(JdWorkItem *it, JdReason reason)
{
    if (it->claim.state == JD_CLAIM_HELD) {
        it->reason = reason;
        JdClaims_Release(&it->node->claims, &it->claim);
        return;
    }
    end_refused(it, reason);
}

static bool
is_passed_back(const JdHttpHeader *h)
{
    static const char *const dropped[] = {
        "connection", "content-length", "transfer-encoding",
        "keep-alive", "server",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
        if (strlen(dropped[i]) == h->name_len &&
            g_ascii_strncasecmp(dropped[i], h->name, h->name_len) == 0) {
            return false;
        }
    }
    return true;
}

static void
pass_answer(JdWorkItem *it, const JdHttpResponse *ans)
{
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

        if (!is_passed_back(h)) {
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
    send_response(it->node, it->origin, &msg);
    for (size_t i = 0; i < msg.n_header; i++) {
        g_free(names[i]);
    }
}

static void hold_slot(JdWorkItem *it);

static JdReason
reason_of(const JdNode *nd, const JdHttpResponse *ans)
{
    switch (ans->result) {
    case JD_HTTP_COMPLETED:
        if (ans->body_len > ANSWER_MOST) {
            return JD_REASON_BROKEN;
        }
        return nd->dialect->is_not_run(ans) ? JD_REASON_SHED : JD_REASON_NONE;
    case JD_HTTP_NOT_SENT:
        return JD_REASON_TARGET_DOWN;
    case JD_HTTP_TIMED_OUT:
        return JD_REASON_DEADLINE;
    default:
        return JD_REASON_BROKEN;
    }
}

/* An error may come sooner than an answer takes: only answers are measured. */
#define ERRORS_FROM 400

static JdServiceTime *
estimate_of(JdNode *nd, const char *route)
{
    JdServiceTime *est = g_hash_table_lookup(nd->route_estimates, route);

    if (est == NULL) {
        est = g_new0(JdServiceTime, 1);
        g_hash_table_insert(nd->route_estimates, g_strdup(route), est);
    }
    return est;
}

/* The target is done with work; `is_measure` where its time is typical. */
static void
note_time(JdWorkItem *it, bool is_measure)
{
    JdNode *nd = it->node;

    if (is_measure) {
        JdServiceTime_Add(estimate_of(nd, it->msg->route),
                          JdClock_Now(&nd->loop.clock) - it->work.started_at);
    }
    JdAdmission_FreeSlot(&nd->admit, &it->work, is_measure);
}

/* Work that the target is at is cut off: it takes at least this long. */
static void
note_cut(JdWorkItem *it)
{
    JdNode *nd = it->node;

    JdServiceTime_AddLowerBound(estimate_of(nd, it->msg->route),
                                JdClock_Now(&nd->loop.clock) -
                                    it->work.started_at);
    JdAdmission_RecordAbort(&nd->admit, &it->work);
}

static void
on_answer(void *ctx, const JdHttpResponse *ans)
{
    JdWorkItem *it = ctx;
    JdNode *nd = it->node;
    JdReason reason = reason_of(nd, ans);

    it->call = NULL;
    it->was_sent = ans->result != JD_HTTP_NOT_SENT;
    JdLatencies_Record(&nd->latencies, JD_LATENCY_TARGET, it->msg->service,
                       reason == JD_REASON_NONE ? "answered"
                                                : JdReason_Info(reason)->name,
                       JdClock_Now(&nd->loop.clock) - it->work.started_at);
    if (reason == JD_REASON_TARGET_DOWN) {
        JdTarget_MarkDown(&nd->target_process);
        JdTree_SetState(&nd->tree, JD_MEMBER_DOWN);
    }
    if (reason == JD_REASON_DEADLINE) {
        note_cut(it);
        refuse(nd, it->msg, it->origin, reason, it->was_sent);
        hold_slot(it);
        return;
    }
    note_time(it, reason == JD_REASON_NONE && ans->status < ERRORS_FROM);
    if (reason == JD_REASON_NONE) {
        pass_answer(it, ans);
        free_item(it);
    }
    else if (JdReason_Info(reason)->is_not_executed) {
        refuse_unsent(it, reason);
    }
    else {
        end_refused(it, reason);
    }
}

static void
add_field(GString *out, const JdDialect *dl, JdHeaderField field,
          const char *value)
{
    if (dl->header[field] != NULL && value[0] != '\0') {
        g_string_append_printf(out, "%s: %s\r\n", dl->header[field], value);
    }
}

static char *
format_headers(const JdNode *nd, const Jd__Request *msg, uint64_t left)
{
    GString *out = g_string_new(NULL);
    char ms[24];

    for (size_t i = 0; i < msg->n_header; i++) {
        const Jd__Header *h = msg->header[i];

        g_string_append_printf(out, "%s: %.*s\r\n", h->name, (int)h->value.len,
                               (const char *)h->value.data);
    }
    g_snprintf(ms, sizeof(ms), "%" G_GUINT64_FORMAT, left / JD_US_PER_MS);
    add_field(out, nd->dialect, JD_FIELD_REQUEST_ID, msg->request_id);
    add_field(out, nd->dialect, JD_FIELD_TIMEOUT_MS, ms);
    add_field(out, nd->dialect, JD_FIELD_CALLER_SERVICE, msg->caller_service);
    add_field(out, nd->dialect, JD_FIELD_TARGET_ID, nd->target_process.id);
    return g_string_free(out, FALSE);
}

static void
send_to_target(JdWorkItem *it, uint64_t left)
{
    JdNode *nd = it->node;
    const Jd__Request *msg = it->msg;
    char *headers = format_headers(nd, msg, left);
    JdHttpRequest rq = {.method = msg->method,
                        .path = msg->path,
                        .headers = headers,
                        .body = msg->body.data,
                        .body_len = msg->body.len,
                        .timeout = left};

    if (msg->host[0] != '\0') {
        rq.host = msg->host;
    }
    if (nd->dialect->header[JD_FIELD_REQUEST_ID] != NULL &&
        msg->request_id[0] != '\0') {
        rq.echo_header = nd->dialect->header[JD_FIELD_REQUEST_ID];
        rq.echo_value = msg->request_id;
    }
    it->call = JdHttpc_Send(&nd->target_client, &rq, on_answer, it);
    g_free(headers);
}

/* The work has a slot: sends it to the target. */
static void
on_start(void *ctx, JdWork *work)
{
    JdNode *nd = ctx;
    JdWorkItem *it = item_of(work);
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t left = work->deadline - now;

    JdLatencies_Record(&nd->latencies, JD_LATENCY_QUEUE, it->msg->service,
                       "started", now - it->offered_at);

    if (it->claim.key[0] != '\0' &&
        !JdClaims_IsUsable(&nd->claims, &it->claim)) {
        it->reason = JD_REASON_CLAIM_FAILED;
        JdTimer_Arm(&nd->loop.clock, &it->lapse, 0);
        return;
    }
    send_to_target(it, left);
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    (void)ctx;
    refuse_unsent(item_of(work), reason);
}

/* The claim lapsed while this process was paused: nothing was sent. */
static void
on_lapse(void *ctx)
{
    JdWorkItem *it = ctx;

    JdAdmission_FreeSlot(&it->node->admit, &it->work, false);
    end_refused(it, it->reason);
}

static const JdAdmissionOps admit_ops = {on_start, on_refuse};

static void
offer(JdWorkItem *it)
{
    bool has_slot = JdAdmission_HasFreeSlot(&it->node->admit);
    JdReason reason = JdAdmission_Offer(&it->node->admit, &it->work);

    if (reason == JD_REASON_TOO_LATE && has_slot) {
        JdServiceTime_Decay(estimate_of(it->node, it->msg->route));
    }
    if (reason != JD_REASON_NONE) {
        refuse_unsent(it, reason);
    }
}

/* The key is won: the work may run, if somebody still waits for it. */
static void
on_won(void *ctx, JdClaim *claim)
{
    JdWorkItem *it = item_of_claim(claim);

    (void)ctx;
    if (it->is_orphan) {
        refuse_unsent(it, JD_REASON_CANCELLED);
        return;
    }
    offer(it);
}

static void
on_lost(void *ctx, JdClaim *claim, JdReason reason)
{
    (void)ctx;
    end_refused(item_of_claim(claim), reason);
}

static void
on_released(void *ctx, JdClaim *claim)
{
    JdWorkItem *it = item_of_claim(claim);

    (void)ctx;
    end_refused(it, it->reason);
}

static const JdClaimsOps claim_ops = {
    .granted = on_won, .denied = on_lost, .released = on_released};

static bool
needs_claim(const Jd__Request *msg)
{
    return msg->once && strcmp(msg->method, "GET") != 0 &&
           strcmp(msg->method, "HEAD") != 0;
}

/* Claims the key of a request before it is offered to the target. */
static void
claim_key(JdWorkItem *it)
{
    JdNode *nd = it->node;

    if (nd->admit.is_closed || JdAdmission_IsFull(&nd->admit)) {
        end_refused(it, nd->admit.is_closed ? JD_REASON_DRAINING
                                            : JD_REASON_QUEUE_FULL);
        return;
    }
    JdClaims_Acquire(&nd->claims, &it->claim, it->msg->key);
}

/* Whether the target beside this node is the one that is asked for. */
static JdReason
check_target(const JdNode *nd, const Jd__Request *msg)
{
    if (!nd->has_target || strcmp(msg->service, nd->settings.service) != 0) {
        return JD_REASON_NO_TARGET;
    }
    if (nd->target_sends_heartbeats && !nd->target_process.is_alive) {
        return JD_REASON_TARGET_DOWN;
    }
    if (nd->target_sends_heartbeats && nd->target_process.is_draining) {
        return JD_REASON_DRAINING;
    }
    return JD_REASON_NONE;
}

/*
 * Takes a request for the target; the message is the worker's from here on.
 * `origin` is the connection it came over, or NULL for a caller of this node.
 */
void
JdWorker_Submit(JdNode *nd, Jd__Request *msg, JdConn *origin)
{
    JdReason reason = check_target(nd, msg);
    JdWorkItem *it;

    if (reason != JD_REASON_NONE) {
        refuse(nd, msg, origin, reason, false);
        jd__request__free_unpacked(msg, NULL);
        return;
    }
    it = g_new0(JdWorkItem, 1);
    it->node = nd;
    it->msg = msg;
    it->origin = origin;
    it->work.priority =
        msg->priority < JD_PRIORITIES ? msg->priority : JD_PRIORITIES - 1;
    it->work.deadline =
        JdClock_Now(&nd->loop.clock) + msg->left_ms * JD_US_PER_MS;
    if (msg->latency_ms > 0) {
        it->work.soft_deadline =
            JdClock_Now(&nd->loop.clock) + msg->latency_ms * JD_US_PER_MS;
    }
    else {
        /* The time at which it was wanted is past. */
        it->work.soft_deadline = 1;
    }
    it->offered_at = JdClock_Now(&nd->loop.clock);
    it->work.expected_time = estimate_of(nd, msg->route)->mean;
    JdTimer_Init(&it->lapse, on_lapse, it);
    TAILQ_INSERT_TAIL(&nd->work_items, it, link);
    if (needs_claim(msg)) {
        claim_key(it);
    }
    else {
        offer(it);
    }
}

/* The target has had time to notice that its caller left. */
static void
on_slot_free(void *ctx)
{
    JdWorkItem *it = ctx;

    JdAdmission_FreeSlot(&it->node->admit, &it->work, false);
    free_item(it);
}

/*
 * Keeps the slot of work that was cut off for a moment: the target works on
 * until it notices, and must not get more than its slots meanwhile.
 */
static void
hold_slot(JdWorkItem *it)
{
    it->is_orphan = true;
    it->origin = NULL;
    JdTimer_Init(&it->lapse, on_slot_free, it);
    JdTimer_Arm(&it->node->loop.clock, &it->lapse, CANCEL_GRACE);
}

/* Ends work that nobody waits for any more. */
static void
drop(JdWorkItem *it)
{
    bool was_queued = it->work.is_queued;

    if (it->call != NULL) {
        JdHttpc_Cancel(it->call);
        it->call = NULL;
    }
    it->node->counters.value[JD_C_REFUSED_CANCELLED]++;
    if (it->claim.state == JD_CLAIM_PENDING ||
        it->claim.state == JD_CLAIM_SENDING ||
        it->claim.state == JD_CLAIM_RELEASING) {
        /* It ends when the log has settled its claim. */
        it->is_orphan = true;
        it->origin = NULL;
        it->msg->id = 0;
        return;
    }
    if (it->work.is_running) {
        note_cut(it);
        hold_slot(it);
        return;
    }
    JdAdmission_Cancel(&it->node->admit, &it->work);
    if (was_queued && it->claim.state == JD_CLAIM_HELD) {
        it->is_orphan = true;
        it->origin = NULL;
        it->msg->id = 0;
        refuse_unsent(it, JD_REASON_CANCELLED);
        return;
    }
    JdTimer_Cancel(&it->node->loop.clock, &it->lapse);
    free_item(it);
}

/* The caller left or gave up: cancels its work and frees its slot. */
void
JdWorker_Cancel(JdNode *nd, uint64_t id, const JdConn *origin)
{
    JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        if (it->msg->id == id && it->origin == origin && !it->is_orphan) {
            drop(it);
            return;
        }
    }
}

/* A connection closed: cancels all work that came over it. */
void
JdWorker_OnConnClosed(JdNode *nd, const JdConn *origin)
{
    bool is_found = true;
    JdWorkItem *it;

    /* Dropping one item can start others, so the list is read anew. */
    while (is_found) {
        is_found = false;
        TAILQ_FOREACH(it, &nd->work_items, link)
        {
            if (it->origin == origin && !it->is_orphan) {
                drop(it);
                is_found = true;
                break;
            }
        }
    }
}

/* Returns the share of retries among what runs at the target, in percent: as
 * many of the calls that the target makes are retries as well. */
unsigned
JdWorker_RetryPercent(const JdNode *nd)
{
    unsigned running = 0, retries = 0;
    const JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        running += it->work.is_running;
        retries += it->work.is_running && it->msg->retry;
    }
    return running == 0 ? 0 : retries * 100 / running;
}

/* Initializes admission and the client of the target, if there is one. */
JdStatus
JdWorker_Init(JdNode *nd, JdError *err)
{
    JdStatus s;

    TAILQ_INIT(&nd->work_items);
    nd->route_estimates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
        JdTargetHealth_Init(nd);
    }
    return s;
}
