/* Intake: checks a caller's request and makes a call of it. */
#include <string.h>

#include "../peer/forward.h"

/* Requests that may wait at once. */
#define WAITING_MOST 256
/* How long a caller that does not say so is taken to wait. */
#define TIMEOUT_UNKNOWN JD_US_PER_S

/* What a request asks for, as far as this node has to know it. */
typedef struct Ask {
    char request_id[JD_NAME_MAX]; /* the caller's, or empty */
    char key[JD_KEY_MAX];         /* idempotency key, or empty */
    uint64_t timeout;             /* us */
    JdRoute route;
} Ask;

static bool
is_named(const JdHttpHeader *h, const char *name)
{
    return h->name_len == strlen(name) &&
           g_ascii_strncasecmp(h->name, name, h->name_len) == 0;
}

/* Headers of the connection, and those that this system sets itself, end
 * here. */
static bool
is_forwarded(const JdDialect *dl, const JdHttpHeader *h)
{
    static const char *const dropped[] = {
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "te",
        "upgrade",
        "host",
        "expect",
        "proxy-connection",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
        if (is_named(h, dropped[i])) {
            return false;
        }
    }
    for (int i = 0; i < JD_FIELD_MAX; i++) {
        if (dl->header[i] != NULL && is_named(h, dl->header[i])) {
            return false;
        }
    }
    return true;
}

/* Copies a caller's request into a message that does not point into it. */
static Jd__Request *
copy_request(const JdCall *call, const JdServerRequest *req, const Ask *ask)
{
    const JdHttpHeader *host = JdServer_FindHeader(req, "host");
    Jd__Header header[JD_HTTP_HEADERS_MAX];
    Jd__Header *list[JD_HTTP_HEADERS_MAX];
    Jd__Request msg = JD__REQUEST__INIT;
    GStringChunk *texts = g_string_chunk_new(1024);
    Jd__Request *copy;
    uint8_t *buf;
    size_t n;

    msg.service = (char *)call->route.service;
    msg.method = (char *)req->method;
    msg.path =
        g_string_chunk_insert_len(texts, req->path, (gssize)req->path_len);
    for (size_t i = 0; i < req->header_count; i++) {
        const JdHttpHeader *h = &req->header[i];
        Jd__Header *to = &header[msg.n_header];

        if (!is_forwarded(call->node->dialect, h)) {
            continue;
        }
        jd__header__init(to);
        to->name =
            g_string_chunk_insert_len(texts, h->name, (gssize)h->name_len);
        to->value.data = (uint8_t *)h->value;
        to->value.len = h->value_len;
        list[msg.n_header++] = to;
    }
    msg.header = list;
    if (host != NULL) {
        msg.host = g_string_chunk_insert_len(texts, host->value,
                                             (gssize)host->value_len);
    }
    msg.request_id = (char *)ask->request_id;
    msg.caller_service = (char *)call->node->settings.service;
    msg.idempotent = call->route.is_idempotent;
    msg.route = (char *)call->route.name;
    msg.body.data = req->body->data;
    msg.body.len = req->body->len;
    msg.priority = call->route.priority;
    msg.key = (char *)ask->key;
    msg.once = call->route.requires_key;
    msg.config_version = call->config->version;
    n = jd__request__get_packed_size(&msg);
    buf = g_malloc(n);
    jd__request__pack(&msg, buf);
    copy = jd__request__unpack(NULL, n, buf);
    g_free(buf);
    g_string_chunk_free(texts);
    return copy;
}

/* Copies a value as text.  Returns false when it does not fit. */
static bool
copy_value(const JdHttpHeader *h, char *buf, size_t size)
{
    if (h->value_len >= size) {
        return false;
    }
    memcpy(buf, h->value, h->value_len);
    buf[h->value_len] = '\0';
    return true;
}

/*
 * Reads how long the caller waits into `timeout`, unless that is shorter.
 * Returns false when it is malformed.
 */
static bool
read_timeout(const JdDialect *dl, const JdServerRequest *req,
             uint64_t *timeout)
{
    const JdHttpHeader *h =
        JdServer_FindHeader(req, dl->header[JD_FIELD_TIMEOUT_MS]);
    char text[16];
    guint64 ms;

    if (h == NULL) {
        return true;
    }
    if (!copy_value(h, text, sizeof(text)) ||
        !g_ascii_string_to_unsigned(text, 10, 1, 3600000, &ms, NULL)) {
        return false;
    }
    if (ms * JD_US_PER_MS < *timeout) {
        *timeout = ms * JD_US_PER_MS;
    }
    return true;
}

static bool
find_route(JdNode *nd, const JdServerRequest *req, JdRoute *route)
{
    const JdHttpHeader *host = JdServer_FindHeader(req, "host");
    JdRouteKey key = {.path = req->path, .path_len = req->path_len};

    if (host != NULL) {
        key.host = host->value;
        key.host_len = host->value_len;
    }

    return JdConfig_FindRoute(nd->store.config, &key,
                              JdRandom_Below(&nd->tree.random, UINT32_MAX),
                              route);
}

static bool
needs_key(const JdServerRequest *req, const Ask *ask)
{
    return ask->route.requires_key && ask->key[0] == '\0' &&
           strcmp(req->method, "GET") != 0 && strcmp(req->method, "HEAD") != 0;
}

/* Reads and checks what can be refused before a call is made of it. */
static JdReason
read_request(JdNode *nd, const JdServerRequest *req, Ask *ask)
{
    const char *id_name = nd->dialect->header[JD_FIELD_REQUEST_ID];
    const JdHttpHeader *id =
        id_name == NULL ? NULL : JdServer_FindHeader(req, id_name);
    const JdHttpHeader *key = JdServer_FindHeader(req, "idempotency-key");
    bool lacks_version =
        nd->config_source->needs_version && nd->store.config->version == 0;

    if (id != NULL) {
        copy_value(id, ask->request_id, sizeof(ask->request_id));
    }
    if (!nd->tree.is_ready || lacks_version) {
        return JD_REASON_NOT_READY;
    }
    if (!find_route(nd, req, &ask->route)) {
        return JD_REASON_NO_ROUTE;
    }
    ask->timeout = ask->route.timeout;
    if (!read_timeout(nd->dialect, req, &ask->timeout)) {
        return JD_REASON_BAD_REQUEST;
    }
    if (key != NULL && (!copy_value(key, ask->key, sizeof(ask->key)) ||
                        ask->key[0] == '\0')) {
        return JD_REASON_BAD_REQUEST;
    }
    return needs_key(req, ask) ? JD_REASON_KEY_MISSING : JD_REASON_NONE;
}

/*
 * Whether a request may wait: this node has just started, and lacks a version
 * or news of the targets.
 */
static bool
may_wait(JdNode *nd, const JdServerRequest *req, const Ask *ask,
         JdReason reason, uint64_t arrived)
{
    uint64_t timeout = TIMEOUT_UNKNOWN;
    bool is_early =
        reason == JD_REASON_NOT_READY ||
        (reason == JD_REASON_NONE &&
         !JdBalancer_HasReadyTarget(&nd->chooser, ask->route.endpoint_set));

    if (!is_early || nd->is_draining || nd->waiting_count >= WAITING_MOST ||
        !read_timeout(nd->dialect, req, &timeout)) {
        return false;
    }
    return JdClock_Now(&nd->loop.clock) <
           JdStartup_WaitUntil(nd->started_at, arrived, timeout);
}

static unsigned
retry_after(const JdNode *nd, JdReason reason, uint64_t now)
{
    return reason == JD_REASON_NOT_READY
               ? (unsigned)(JdStartup_RetryAfter(nd->started_at, now) /
                            JD_US_PER_MS)
               : JdReason_Info(reason)->retry_after_ms;
}

static void
refuse(JdNode *nd, JdServerRequest *req, const Ask *ask, JdReason reason,
       uint64_t arrived)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    nd->counters.value[JdReason_Info(reason)->counter]++;
    JD_LOG(JD_EVENT_REQUEST, JD_TEXT("id", ask->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_NUMBER("version", nd->store.config->version),
           JD_NUMBER("ready", nd->tree.is_ready),
           JD_NUMBER("held_ms", (now - arrived) / JD_US_PER_MS));
    JdReply_Refuse(nd, req, reason, retry_after(nd, reason, now));
}

static void
begin_call(JdNode *nd, JdServerRequest *req, const Ask *ask, uint64_t arrived)
{
    JdCall *call = g_new0(JdCall, 1);

    call->node = nd;
    call->req = req;
    call->config = JdConfig_Ref(nd->store.config);
    call->route = ask->route;
    call->started_at = arrived;
    call->deadline = arrived + ask->timeout;
    call->msg = copy_request(call, req, ask);
    req->user_data = call;
    JdForward_Begin(call);
}

/*
 * Takes a request that arrived at some time: makes a call of it or refuses it.
 * Returns false where it should wait for this node to be ready.
 */
bool
JdIntake_Process(JdNode *nd, JdServerRequest *req, uint64_t arrived)
{
    Ask ask = {.timeout = 0};
    JdReason reason = read_request(nd, req, &ask);

    if (may_wait(nd, req, &ask, reason, arrived)) {
        return false;
    }
    if (reason == JD_REASON_NONE &&
        arrived + ask.timeout <= JdClock_Now(&nd->loop.clock)) {
        reason = JD_REASON_TOO_LATE;
    }
    if (reason == JD_REASON_NONE) {
        begin_call(nd, req, &ask, arrived);
    }
    else {
        refuse(nd, req, &ask, reason, arrived);
    }
    return true;
}

/* A caller's request came. */
void
JdIntake_OnRequest(JdNode *nd, JdServerRequest *req)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    nd->counters.value[JD_C_REQUESTS]++;
    if (!JdIntake_Process(nd, req, now)) {
        JdWaitingRequest_Add(nd, req, now);
    }
}
