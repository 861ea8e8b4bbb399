/*
 * Requests of callers: choice of a target, the way to its node and back, and
 * retries.  A request keeps the configuration version it began with.
 */
#include <string.h>

#include "../node/node.h"

/* Tries of one request at the most. */
#define TRIES_MOST 3
/* Time for a try of idempotent work: a multiple of the target's usual time,
 * at least the second figure, and the third while its time is not known. */
#define PATIENCE_TIMES 8
#define PATIENCE_LEAST (50 * JD_US_PER_MS)
#define PATIENCE_UNKNOWN (500 * JD_US_PER_MS)
/* Period of the checks on calls and connections. */
#define TEND_EVERY (250 * JD_US_PER_MS)
/* Idle time after which a connection is pinged. */
#define PING_AFTER (250 * JD_US_PER_MS)
/* Silence with calls outstanding after which a connection is dead. */
#define DEAD_AFTER (1000 * JD_US_PER_MS)
/* Idle time after which a connection is closed. */
#define CLOSE_AFTER (30 * JD_US_PER_S)
/* Age of the last word above which work that must not run twice is sent over
 * a new connection. */
#define PROVED_WITHIN (1000 * JD_US_PER_MS)

/* A connection to another node that carries requests. */
typedef struct Lane {
    char address[JD_ADDRESS_MAX]; /* as members announce it */
    JdConn *conn;
    TAILQ_HEAD(LaneCalls, JdCall) calls;
    unsigned outstanding;
    uint64_t used;
    uint64_t pinged;
} Lane;

struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    TAILQ_ENTRY(JdCall) lane_link;
    JdNode *node;
    uint64_t id;
    h2o_req_t *req;       /* NULL: the caller left */
    struct JdCall **gone; /* cleared when the call ends first */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned */
    uint64_t deadline;
    uint64_t sent_at;
    unsigned tries;
    char target[JD_NAME_MAX];
    JdTier tier;
    Lane *lane; /* NULL: the target beside this node */
    JdTimer timer;
    JdTimer patience; /* ends a try of idempotent work */
};

static void try_target(JdCall *call, const char *avoid);

/* ---- answers to callers ------------------------------------------------ */

static void
free_call(JdCall *call)
{
    JdNode *nd = call->node;

    JdTimer_Cancel(&nd->loop.clock, &call->timer);
    JdTimer_Cancel(&nd->loop.clock, &call->patience);
    if (call->gone != NULL) {
        *call->gone = NULL;
    }
    TAILQ_REMOVE(&nd->calls, call, link);
    nd->call_count--;
    JdConfig_Unref(call->config);
    if (call->msg != NULL) {
        jd__request__free_unpacked(call->msg, NULL);
    }
    g_free(call);
}

/* Tells a caller that its request was refused or given up, and why. */
static void
reply_refusal(JdNode *nd, h2o_req_t *req, JdReason reason)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    char text[16];

    g_snprintf(text, sizeof(text), "%u", info->retry_after);
    JdHttpd_AddHeader(req, "x-outcome",
                      info->is_not_run ? "not-run" : "unknown");
    JdHttpd_AddHeader(req, "x-reason", info->name);
    if (info->retry_after > 0) {
        JdHttpd_AddHeader(req, "retry-after", text);
    }
    JdHttpd_ReplyJson(req, info->http_status,
                      json_pack("{s:s, s:b, s:s}", "refused", info->name,
                                "not_run", info->is_not_run, "node",
                                nd->settings.node));
}

static void
end_refused(JdCall *call, JdReason reason)
{
    h2o_req_t *req = call->req;
    JdNode *nd = call->node;

    /* What the target's node refused was counted there. */
    if (call->tries == 0 || reason == JD_REASON_DEADLINE ||
        reason == JD_REASON_BROKEN) {
        nd->counters.value[JdReason_Info(reason)->counter]++;
    }
    free_call(call);
    if (req != NULL) {
        reply_refusal(nd, req, reason);
    }
}

static void
end_answered(JdCall *call, const Jd__Response *msg)
{
    h2o_req_t *req = call->req;
    JdNode *nd = call->node;
    char version[24];

    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               call->config->version);
    nd->counters.value[JD_C_ANSWERED]++;
    free_call(call);
    if (req == NULL) {
        return;
    }
    req->res.status = (int)msg->status;
    req->res.reason = "OK";
    for (size_t i = 0; i < msg->n_header; i++) {
        const Jd__Header *h = msg->header[i];
        char *value = g_strndup((const char *)h->value.data, h->value.len);

        JdHttpd_AddHeader(req, h->name, value);
        g_free(value);
    }
    JdHttpd_AddHeader(req, "x-outcome", "ran");
    JdHttpd_AddHeader(req, "x-config-version", version);
    h2o_send_inline(req, (const char *)msg->body.data, msg->body.len);
}

/* ---- lanes ------------------------------------------------------------- */

static void
leave_lane(JdCall *call)
{
    if (call->lane != NULL) {
        TAILQ_REMOVE(&call->lane->calls, call, lane_link);
        call->lane->outstanding--;
        call->lane = NULL;
    }
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

static void try_again(JdCall *call, JdReason reason, unsigned load);

static void
free_lane(JdNode *nd, Lane *lane)
{
    Lane *known = g_hash_table_lookup(nd->request_conns, lane->address);

    if (known == lane) {
        g_hash_table_remove(nd->request_conns, lane->address);
    }
    g_free(lane);
}

/* All calls on a lane fail; those that were not sent certainly did not run. */
static void
fail_lane(JdNode *nd, Lane *lane, bool was_open)
{
    Lane *known = g_hash_table_lookup(nd->request_conns, lane->address);
    JdCall *call;

    if (known == lane) {
        g_hash_table_remove(nd->request_conns, lane->address);
    }
    while ((call = TAILQ_FIRST(&lane->calls)) != NULL) {
        leave_lane(call);
        try_again(call, was_open ? JD_REASON_BROKEN : JD_REASON_TARGET_DOWN,
                  0);
    }
    g_free(lane);
}

static void
on_opened(void *ctx, JdConn *conn)
{
    (void)ctx;
    ((Lane *)conn->user)->used = conn->heard;
}

static void
on_frame(void *ctx, JdConn *conn, Jd__Frame *frame)
{
    (void)conn;
    if (frame->body_case == JD__FRAME__BODY_RESPONSE) {
        JdForward_Respond(ctx, frame->response);
    }
}

static void
on_closed(void *ctx, JdConn *conn)
{
    /* A connection that was never heard of was never open. */
    fail_lane(ctx, conn->user, conn->heard != 0);
}

static const JdConnOps lane_ops = {on_opened, on_frame, on_closed};

static Lane *
open_lane(JdNode *nd, const JdMember *mb)
{
    char to[JD_ADDRESS_MAX];
    Lane *lane;
    JdConn *conn;

    JdTranslate(nd->settings.translate, mb->peer, to, sizeof(to));
    conn = JdConn_Dial(&nd->conns, to, &lane_ops, nd);
    if (conn == NULL) {
        return NULL;
    }
    lane = g_new0(Lane, 1);
    g_strlcpy(lane->address, mb->peer, sizeof(lane->address));
    lane->conn = conn;
    lane->used = JdClock_Now(&nd->loop.clock);
    TAILQ_INIT(&lane->calls);
    conn->user = lane;
    conn->is_request = true;
    conn->is_cross_region = strcmp(mb->region, nd->settings.region) != 0;
    g_hash_table_replace(nd->request_conns, lane->address, lane);
    return lane;
}

/*
 * Returns the lane to a member.  Work that must not run twice gets a lane
 * that was proved to work a moment ago, or a new one.
 */
static Lane *
get_lane(JdNode *nd, const JdMember *mb, bool needs_proof)
{
    Lane *lane = g_hash_table_lookup(nd->request_conns, mb->peer);
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (lane != NULL && needs_proof && lane->conn->is_open &&
        now - lane->conn->heard > PROVED_WITHIN) {
        /* The old lane ends when its calls have. */
        g_hash_table_remove(nd->request_conns, mb->peer);
        if (lane->outstanding == 0) {
            JdConn_Close(lane->conn);
            g_free(lane);
        }
        lane = NULL;
    }
    return lane != NULL ? lane : open_lane(nd, mb);
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
may_retry(JdCall *call, JdReason reason)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    JdNode *nd = call->node;

    if (!info->is_retry_useful || call->tries >= TRIES_MOST ||
        call->req == NULL || JdClock_Now(&nd->loop.clock) >= call->deadline) {
        return false;
    }
    if (!info->is_not_run && !is_idempotent(call)) {
        return false;
    }
    if (!JdBudget_Take(budget_of(nd, call->route.service))) {
        nd->counters.value[JD_C_R_BUDGET]++;
        return false;
    }
    nd->counters
        .value[info->is_not_run ? JD_C_T_NOT_RUN : JD_C_T_IDEMPOTENT]++;
    return true;
}

/* A try failed: tries another target, or gives the final answer at once. */
static void
try_again(JdCall *call, JdReason reason, unsigned load)
{
    char avoid[JD_NAME_MAX];

    leave_lane(call);
    JdChooser_Failed(&call->node->chooser, call->target, reason, load);
    if (!may_retry(call, reason)) {
        end_refused(call, reason);
        return;
    }
    g_strlcpy(avoid, call->target, sizeof(avoid));
    try_target(call, avoid);
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
send_to(JdCall *call, Lane *lane)
{
    JdNode *nd = call->node;
    Jd__Frame frame = JD__FRAME__INIT;
    size_t n;

    call->lane = lane;
    TAILQ_INSERT_TAIL(&lane->calls, call, lane_link);
    lane->outstanding++;
    lane->used = JdClock_Now(&nd->loop.clock);
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
    JdCall *call = ctx;
    char avoid[JD_NAME_MAX];

    if (!may_retry(call, JD_REASON_BROKEN)) {
        return;
    }
    send_cancel(call);
    leave_lane(call);
    JdChooser_Failed(&call->node->chooser, call->target, JD_REASON_DEADLINE,
                     0);
    g_strlcpy(avoid, call->target, sizeof(avoid));
    try_target(call, avoid);
}

/* Limits a try of idempotent work to a multiple of the usual time. */
static void
arm_patience(JdCall *call, const JdMember *mb)
{
    const JdTargetStat *ts = mb->user;
    uint64_t wait = PATIENCE_UNKNOWN;

    if (!is_idempotent(call) || call->tries >= TRIES_MOST) {
        return;
    }
    if (ts != NULL && ts->latency > 0) {
        wait = ts->latency * PATIENCE_TIMES;
    }
    if (wait < PATIENCE_LEAST) {
        wait = PATIENCE_LEAST;
    }
    JdTimer_Arm(&call->node->loop.clock, &call->patience, wait);
}

static void
try_target(JdCall *call, const char *avoid)
{
    JdNode *nd = call->node;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    JdMember *mb = JdChooser_Pick(&nd->chooser, call->route.endpoint_set,
                                  avoid, &call->tier);
    Lane *lane = NULL;

    if (mb == NULL) {
        end_refused(call, JD_REASON_NO_TARGET);
        return;
    }
    call->tries++;
    /* An answer to an earlier try must not pass for one to this try. */
    call->id = ++nd->next_call;
    call->msg->id = call->id;
    call->sent_at = now;
    arm_patience(call, mb);
    g_strlcpy(call->target, mb->id, sizeof(call->target));
    call->msg->left_ms = (uint32_t)((call->deadline - now) / JD_US_PER_MS);
    JdChooser_Sent(&nd->chooser, mb);
    if (strcmp(mb->id, nd->settings.node) == 0) {
        run_here(call);
        return;
    }
    if (call->tier == JD_TIER_FAR) {
        nd->counters.value[JD_C_CROSS_REGION]++;
    }
    lane = get_lane(nd, mb, !is_idempotent(call));
    if (lane == NULL) {
        try_again(call, JD_REASON_TARGET_DOWN, 0);
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
        JdReason reason =
            msg->reason == JD_REASON_NONE || msg->reason >= JD_REASON_MAX
                ? JD_REASON_BROKEN
                : (JdReason)msg->reason;

        try_again(call, reason, msg->load);
        return;
    }
    leave_lane(call);
    JdChooser_Answered(&nd->chooser, call->target, took, msg->load);
    end_answered(call, msg);
}

static void
on_deadline(void *ctx)
{
    JdCall *call = ctx;

    send_cancel(call);
    leave_lane(call);
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
    leave_lane(call);
    JdChooser_Failed(&nd->chooser, call->target, JD_REASON_CANCELLED, 0);
    nd->counters.value[JD_C_R_CANCELLED]++;
    free_call(call);
}

static void
on_request_gone(void *data)
{
    JdCall **slot = data;

    if (*slot != NULL) {
        JdCall *call = *slot;

        call->gone = NULL;
        call->req = NULL;
        abandon(call);
    }
}

static bool
is_forwarded(const h2o_header_t *h)
{
    static const char *const dropped[] = {
        "connection", "content-length",   "transfer-encoding", "keep-alive",
        "te",         "upgrade",          "x-timeout-ms",      "host",
        "expect",     "proxy-connection",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
        if (h2o_memis(h->name->base, h->name->len, dropped[i],
                      strlen(dropped[i]))) {
            return false;
        }
    }
    return true;
}

/* Copies a caller's request into a message that does not point into it. */
static Jd__Request *
copy_request(const JdCall *call, const h2o_req_t *req, const char *key)
{
    Jd__Header header[JD_HTTP_HEADERS_MAX];
    Jd__Header *list[JD_HTTP_HEADERS_MAX];
    Jd__Request msg = JD__REQUEST__INIT;
    GStringChunk *texts = g_string_chunk_new(1024);
    Jd__Request *copy;
    uint8_t *buf;
    size_t n;

    msg.id = call->id;
    msg.service = (char *)call->route.service;
    msg.method = g_string_chunk_insert_len(texts, req->method.base,
                                           (gssize)req->method.len);
    msg.path = g_string_chunk_insert_len(texts, req->path.base,
                                         (gssize)req->path.len);
    for (size_t i = 0;
         i < req->headers.size && msg.n_header < JD_HTTP_HEADERS_MAX; i++) {
        const h2o_header_t *h = &req->headers.entries[i];
        Jd__Header *to = &header[msg.n_header];

        if (!is_forwarded(h)) {
            continue;
        }
        jd__header__init(to);
        to->name = g_string_chunk_insert_len(texts, h->name->base,
                                             (gssize)h->name->len);
        to->value.data = (uint8_t *)h->value.base;
        to->value.len = h->value.len;
        list[msg.n_header++] = to;
    }
    msg.header = list;
    msg.body.data = (uint8_t *)req->entity.base;
    msg.body.len = req->entity.len;
    msg.priority = call->route.priority;
    msg.key = (char *)key;
    msg.once = call->route.once;
    msg.config_version = call->config->version;
    n = jd__request__get_packed_size(&msg);
    buf = g_malloc(n);
    jd__request__pack(&msg, buf);
    copy = jd__request__unpack(NULL, n, buf);
    g_free(buf);
    g_string_chunk_free(texts);
    return copy;
}

/* Reads the caller's own deadline.  Returns false when it is malformed. */
static bool
read_timeout(const h2o_req_t *req, uint64_t *timeout)
{
    char text[16];
    guint64 ms;

    if (h2o_find_header_by_str(&req->headers, H2O_STRLIT("x-timeout-ms"), -1) <
        0) {
        return true;
    }
    if (!JdHttpd_Header(req, "x-timeout-ms", text, sizeof(text)) ||
        !g_ascii_string_to_unsigned(text, 10, 1, 3600000, &ms, NULL)) {
        return false;
    }
    if (ms * JD_US_PER_MS < *timeout) {
        *timeout = ms * JD_US_PER_MS;
    }
    return true;
}

/* Checks what can be refused before a call is made of the request. */
static JdReason
check_request(JdNode *nd, const h2o_req_t *req, JdRoute *route,
              uint64_t *timeout, char *key, size_t key_size)
{
    key[0] = '\0';
    if (!nd->tree.is_ready) {
        return JD_REASON_NOT_READY;
    }
    if (!JdConfig_Route(nd->store.config, req->path.base, req->path.len,
                        route)) {
        return JD_REASON_NO_ROUTE;
    }
    *timeout = route->deadline;
    if (!read_timeout(req, timeout) ||
        req->headers.size > JD_HTTP_HEADERS_MAX) {
        return JD_REASON_BAD_REQUEST;
    }
    if (h2o_find_header_by_str(&req->headers, H2O_STRLIT("idempotency-key"),
                               -1) >= 0 &&
        (!JdHttpd_Header(req, "idempotency-key", key, key_size) ||
         key[0] == '\0')) {
        return JD_REASON_BAD_REQUEST;
    }
    if (route->once && key[0] == '\0' && !JdHttpd_IsMethod(req, "GET") &&
        !JdHttpd_IsMethod(req, "HEAD")) {
        return JD_REASON_KEY_MISSING;
    }
    return JD_REASON_NONE;
}

/* Takes a caller's request. */
void
JdForward_Start(JdNode *nd, h2o_req_t *req)
{
    char key[JD_NAME_MAX];
    uint64_t timeout = 0;
    JdRoute route;
    JdReason reason =
        check_request(nd, req, &route, &timeout, key, sizeof(key));
    JdCall *call;

    nd->counters.value[JD_C_REQUESTS]++;
    if (reason != JD_REASON_NONE) {
        nd->counters.value[JdReason_Info(reason)->counter]++;
        reply_refusal(nd, req, reason);
        return;
    }
    call = g_new0(JdCall, 1);
    call->node = nd;
    call->req = req;
    call->config = JdConfig_Ref(nd->store.config);
    call->route = route;
    call->deadline = JdClock_Now(&nd->loop.clock) + timeout;
    call->msg = copy_request(call, req, key);
    call->gone =
        h2o_mem_alloc_shared(&req->pool, sizeof(JdCall *), on_request_gone);
    *call->gone = call;
    TAILQ_INSERT_TAIL(&nd->calls, call, link);
    nd->call_count++;
    JdTimer_Init(&call->timer, on_deadline, call);
    JdTimer_Init(&call->patience, on_impatience, call);
    JdTimer_Arm(&nd->loop.clock, &call->timer, timeout);
    JdBudget_First(budget_of(nd, route.service), route.retry_percent);
    try_target(call, NULL);
}

/* ---- care of lanes and callers ----------------------------------------- */

static void
ping(JdNode *nd, Lane *lane)
{
    Jd__Ping msg = JD__PING__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    lane->pinged = JdClock_Now(&nd->loop.clock);
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_PING;
    frame.ping = &msg;
    JdConn_Send(lane->conn, &frame);
}

/* Pings an idle lane, and closes one that is silent or unused. */
static void
tend_lane(JdNode *nd, JdConn *conn)
{
    Lane *lane = conn->user;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t since = conn->heard > lane->used ? conn->heard : lane->used;

    if (lane->outstanding == 0 && now - lane->used > CLOSE_AFTER) {
        JdConn_Close(conn);
        free_lane(nd, lane);
        return;
    }
    if (lane->pinged > conn->heard && now - since > DEAD_AFTER) {
        JdConn_Close(conn);
        fail_lane(nd, lane, conn->heard != 0);
        return;
    }
    if (conn->is_open && now - conn->heard >= PING_AFTER &&
        lane->pinged <= conn->heard) {
        ping(nd, lane);
    }
    else if (!conn->is_open && now - since > DEAD_AFTER) {
        JdConn_Close(conn);
        fail_lane(nd, lane, false);
    }
}

/* Ends one call whose caller left; ending it can end others as well. */
static bool
drop_one_caller(JdNode *nd)
{
    JdCall *call;

    TAILQ_FOREACH(call, &nd->calls, link)
    {
        h2o_req_t *req = call->req;

        if (req != NULL && JdHttpd_HasCallerLeft(req)) {
            abandon(call);
            /* The library closes the connection once it writes to it. */
            reply_refusal(nd, req, JD_REASON_CANCELLED);
            return true;
        }
    }
    return false;
}

static void
on_tend(void *ctx)
{
    JdNode *nd = ctx;
    JdConn *conn, *next;

    JdTimer_Arm(&nd->loop.clock, &nd->tend, TEND_EVERY);
    for (conn = TAILQ_FIRST(&nd->conns.conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, link);
        if (conn->is_request && !conn->is_closing) {
            tend_lane(nd, conn);
        }
    }
    while (drop_one_caller(nd)) {
    }
}

/* Initializes the path of requests. */
void
JdForward_Init(JdNode *nd)
{
    TAILQ_INIT(&nd->calls);
    nd->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    nd->request_conns = g_hash_table_new(g_str_hash, g_str_equal);
    nd->chooser.members = &nd->tree.members;
    nd->chooser.clock = &nd->loop.clock;
    nd->chooser.random = &nd->tree.random;
    nd->chooser.counters = &nd->counters;
    nd->chooser.region = nd->settings.region;
    nd->chooser.domain = nd->settings.domain;
    JdTimer_Init(&nd->tend, on_tend, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->tend, TEND_EVERY);
}
