/* Intake: checks a caller's request and makes a call of it. */
#include <string.h>

#include "../peer/forward.h"

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
JdIntake_Start(JdNode *nd, h2o_req_t *req)
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
        JdForward_ReplyRefusal(nd, req, reason);
        return;
    }
    call = g_new0(JdCall, 1);
    call->node = nd;
    call->req = req;
    call->config = JdConfig_Ref(nd->store.config);
    call->route = route;
    call->deadline = JdClock_Now(&nd->loop.clock) + timeout;
    call->msg = copy_request(call, req, key);
    call->gone = h2o_mem_alloc_shared(&req->pool, sizeof(JdCall *),
                                      JdForward_OnRequestGone);
    *call->gone = call;
    TAILQ_INSERT_TAIL(&nd->calls, call, link);
    nd->call_count++;
    JdForward_Begin(call, timeout);
}
