/* Checks the requests of callers, and starts a call for each valid one. */
#include <string.h>

#include "../peer/forward.h"

/* Largest number of requests that may wait for this node to be ready. */
#define WAITING_MAX 256
/* Limits how long a request waits: its timeout counts as this one when its
 * caller states none, or a longer one. */
#define ASSUMED_TIMEOUT JD_US_PER_S
/* Time since the last word of the source of configuration from which the keys
 * of client accounts count as outdated. */
#define KEYS_MAX_AGE (3 * JD_US_PER_S)

/* The parts of a request that this node acts on. */
typedef struct ParsedRequest {
    char request_id[JD_NAME_MAX]; /* given by the caller, or empty */
    char key[JD_KEY_MAX];         /* idempotency key, or empty */
    uint64_t timeout;             /* us */
    JdRoute route;
    JdAccount account; /* its name is NULL if the request needs none */
    char key_digest[JD_KEY_DIGEST_SIZE]; /* of the account key, or empty */
} ParsedRequest;

static bool
header_has_name(const JdHttpHeader *h, const char *name)
{
    return h->name_len == strlen(name) &&
           g_ascii_strncasecmp(h->name, name, h->name_len) == 0;
}

/* Returns whether a header is passed on to the target.  Headers that concern
 * the caller's own connection and those that nodes set themselves are not. */
static bool
is_header_forwarded(const JdDialect *dl, const JdHttpHeader *h)
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
        if (header_has_name(h, dropped[i])) {
            return false;
        }
    }
    for (int i = 0; i < JD_FIELD_MAX; i++) {
        if (dl->header[i] != NULL && header_has_name(h, dl->header[i])) {
            return false;
        }
    }
    return true;
}

/* Returns whether the target beside this node made a request.  It does so only
 * while it runs one. */
static bool
is_call_of_target(const JdNode *nd, const JdServerRequest *req)
{
    return nd->is_shortage_asked && nd->has_target &&
           JdServer_IsFrom(req, &nd->target_client.address);
}

/* Sets what the caller's request states of itself, its route and account; the
 * message points into all of these. */
static void
describe_request(const JdCall *call, const JdServerRequest *req,
                 const ParsedRequest *parsed, Jd__Request *msg)
{
    msg->service = (char *)call->route.service;
    msg->method = (char *)req->method;
    msg->request_id = (char *)parsed->request_id;
    msg->caller_service = (char *)call->node->settings.service;
    msg->idempotent = JdRoute_IsIdempotent(&call->route, req->method);
    msg->route = (char *)call->route.name;
    msg->priority = call->route.priority;
    msg->key = (char *)parsed->key;
    msg->once = JdRoute_NeedsKey(&call->route, req->method);
    if (parsed->account.name != NULL) {
        msg->account = (char *)parsed->account.name;
        msg->account_priority = parsed->account.priority;
    }
    msg->is_call = is_call_of_target(call->node, req);
    msg->config_version = call->config->version;
}

/* Copies a caller's request into a message that owns all its memory but the
 * body. */
static Jd__Request *
copy_request(const JdCall *call, const JdServerRequest *req,
             const ParsedRequest *parsed)
{
    const JdHttpHeader *host = JdServer_FindHeader(req, "host");
    Jd__Header header[JD_HTTP_HEADERS_MAX];
    Jd__Header *list[JD_HTTP_HEADERS_MAX];
    Jd__Request msg = JD__REQUEST__INIT;
    GStringChunk *strings = g_string_chunk_new(1024);
    Jd__Request *copy;

    describe_request(call, req, parsed, &msg);
    msg.path =
        g_string_chunk_insert_len(strings, req->path, (gssize)req->path_len);
    for (size_t i = 0; i < req->header_count; i++) {
        const JdHttpHeader *h = &req->header[i];
        Jd__Header *to = &header[msg.n_header];

        if (!is_header_forwarded(call->node->dialect, h)) {
            continue;
        }
        jd__header__init(to);
        to->name =
            g_string_chunk_insert_len(strings, h->name, (gssize)h->name_len);
        to->value.data = (uint8_t *)h->value;
        to->value.len = h->value_len;
        list[msg.n_header++] = to;
    }
    msg.header = list;
    if (host != NULL) {
        msg.host = g_string_chunk_insert_len(strings, host->value,
                                             (gssize)host->value_len);
    }
    copy = JdRequest_Copy(&msg, call->body);
    g_string_chunk_free(strings);
    return copy;
}

/* Copies a header's value as a NUL-terminated string.  Returns false when it
 * does not fit. */
static bool
copy_header_value(const JdHttpHeader *h, char *buf, size_t size)
{
    if (h->value_len >= size) {
        return false;
    }
    memcpy(buf, h->value, h->value_len);
    buf[h->value_len] = '\0';
    return true;
}

/*
 * Lowers `timeout` to the one that the caller states, if that is shorter.
 * Returns false when it is malformed.
 */
static bool
parse_timeout(const JdDialect *dl, const JdServerRequest *req,
              uint64_t *timeout)
{
    const JdHttpHeader *h =
        JdServer_FindHeader(req, dl->header[JD_FIELD_TIMEOUT_MS]);
    char text[16];
    guint64 ms;

    if (h == NULL) {
        return true;
    }
    if (!copy_header_value(h, text, sizeof(text)) ||
        !g_ascii_string_to_unsigned(text, 10, 1, 3600000, &ms, NULL)) {
        return false;
    }
    if (ms * JD_US_PER_MS < *timeout) {
        *timeout = ms * JD_US_PER_MS;
    }
    return true;
}

/* Finds the route for a request by its host and path.  Returns false when
 * there is none. */
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

/* Returns whether the request lacks the idempotency key that its route
 * requires. */
static bool
is_key_missing(const JdServerRequest *req, const ParsedRequest *parsed)
{
    return parsed->key[0] == '\0' &&
           JdRoute_NeedsKey(&parsed->route, req->method);
}

/*
 * Finds the client account of a request by its key.  Where no account holds
 * the key, but the source of configuration has not been heard of lately, an
 * account in a newer version may.
 */
static JdReason
identify_account(const JdNode *nd, const JdServerRequest *req,
                 ParsedRequest *parsed)
{
    const JdHttpHeader *h =
        JdServer_FindHeader(req, nd->dialect->header[JD_FIELD_ACCOUNT_KEY]);

    if (!JdConfig_HasAccounts(nd->store.config) || parsed->route.is_public) {
        return JD_REASON_NONE;
    }
    if (h != NULL) {
        JdAccountKey_Digest(h->value, h->value_len, parsed->key_digest);
        if (JdConfig_FindAccount(nd->store.config, parsed->key_digest,
                                 &parsed->account)) {
            return JD_REASON_NONE;
        }
    }
    return JdTree_SourceAge(&nd->tree) > KEYS_MAX_AGE ? JD_REASON_NOT_READY
                                                      : JD_REASON_UNKNOWN_KEY;
}

/* Copies the id that the caller gave a request, if it did and it fits. */
static void
copy_request_id(const JdDialect *dl, const JdServerRequest *req,
                ParsedRequest *parsed)
{
    const char *name = dl->header[JD_FIELD_REQUEST_ID];
    const JdHttpHeader *id =
        name == NULL ? NULL : JdServer_FindHeader(req, name);

    if (id != NULL) {
        copy_header_value(id, parsed->request_id, sizeof(parsed->request_id));
    }
}

/* Parses a request.  Returns why it is refused, or JD_REASON_NONE. */
static JdReason
parse_request(JdNode *nd, const JdServerRequest *req, ParsedRequest *parsed)
{
    const JdHttpHeader *key = JdServer_FindHeader(req, "idempotency-key");
    bool is_version_missing =
        nd->config_source->needs_version && nd->store.config->version == 0;
    JdReason reason;

    copy_request_id(nd->dialect, req, parsed);
    if (!nd->tree.is_ready || is_version_missing) {
        return JD_REASON_NOT_READY;
    }
    if (!find_route(nd, req, &parsed->route)) {
        return JD_REASON_NO_ROUTE;
    }
    reason = identify_account(nd, req, parsed);
    if (reason != JD_REASON_NONE) {
        return reason;
    }
    parsed->timeout = parsed->route.timeout;
    if (!parse_timeout(nd->dialect, req, &parsed->timeout)) {
        return JD_REASON_BAD_REQUEST;
    }
    if (key != NULL &&
        (!copy_header_value(key, parsed->key, sizeof(parsed->key)) ||
         parsed->key[0] == '\0')) {
        return JD_REASON_BAD_REQUEST;
    }
    return is_key_missing(req, parsed) ? JD_REASON_KEY_MISSING
                                       : JD_REASON_NONE;
}

/*
 * Returns whether a request may wait: this node has just started, and has no
 * configuration or knows of no ready target yet that may be used.
 */
static bool
may_wait(JdNode *nd, const JdServerRequest *req, const ParsedRequest *parsed,
         JdReason reason, uint64_t arrived_at)
{
    uint64_t timeout = ASSUMED_TIMEOUT;

    if (nd->is_draining || nd->waiting_count >= WAITING_MAX ||
        !parse_timeout(nd->dialect, req, &timeout)) {
        return false;
    }
    if (JdClock_Now(&nd->loop.clock) >=
        JdStartup_WaitUntil(nd->started_at, arrived_at, timeout)) {
        return false;
    }
    return reason == JD_REASON_NOT_READY ||
           (reason == JD_REASON_NONE &&
            !JdPick_HasReadyTarget(nd, &parsed->route));
}

/* Returns the time in ms after which the caller may try again, 0: never. */
static unsigned
get_retry_after_ms(const JdNode *nd, JdReason reason, uint64_t now)
{
    return reason == JD_REASON_NOT_READY
               ? (unsigned)(JdStartup_RetryAfter(nd->started_at, now) /
                            JD_US_PER_MS)
               : JdReason_Info(reason)->retry_after_ms;
}

static void
refuse_after(JdNode *nd, JdServerRequest *req, const ParsedRequest *parsed,
             JdReason reason, uint64_t arrived_at, unsigned retry_after_ms)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    const char *account =
        parsed->account.name == NULL ? "" : parsed->account.name;
    char logged_digest[JD_KEY_DIGEST_LOGGED + 1];

    g_strlcpy(logged_digest, parsed->key_digest, sizeof(logged_digest));
    nd->counters.value[JdReason_Info(reason)->counter]++;
    JD_LOG(JD_EVENT_REQUEST, JD_TEXT("id", parsed->request_id),
           JD_TEXT("outcome", JdReason_Info(reason)->name),
           JD_NUMBER("version", nd->store.config->version),
           JD_NUMBER("ready", nd->tree.is_ready), JD_TEXT("account", account),
           JD_TEXT("key_digest", logged_digest),
           JD_NUMBER("held_ms", (now - arrived_at) / JD_US_PER_MS));
    JdReply_Refuse(nd, req, reason, retry_after_ms);
}

static void
refuse(JdNode *nd, JdServerRequest *req, const ParsedRequest *parsed,
       JdReason reason, uint64_t arrived_at)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    refuse_after(nd, req, parsed, reason, arrived_at,
                 get_retry_after_ms(nd, reason, now));
}

static void
begin_call(JdNode *nd, JdServerRequest *req, const ParsedRequest *parsed,
           uint64_t arrived_at)
{
    JdCall *call = g_new0(JdCall, 1);

    call->node = nd;
    call->req = req;
    call->config = JdConfig_Ref(nd->store.config);
    call->route = parsed->route;
    call->arrived_at = arrived_at;
    call->deadline = arrived_at + parsed->timeout;
    call->has_token = parsed->account.rate > 0;
    call->body = JdBody_Ref(req->body);
    call->msg = copy_request(call, req, parsed);
    req->user_data = call;
    JdForward_Begin(call);
}

/*
 * Returns whether a request might not be answered before this node exits.  In
 * the first part of a drain all are taken, as callers do not know of it yet
 * and nearly all end in time.  Once that is over, connections are accepted for
 * the calls of the target that has work left.
 */
static bool
outlasts_drain(JdNode *nd, const ParsedRequest *parsed, uint64_t arrived_at)
{
    return nd->is_draining && arrived_at >= nd->drain_strict_at &&
           arrived_at + parsed->timeout > nd->drain_deadline;
}

/* Returns why a request that was parsed is refused now, or JD_REASON_NONE. */
static JdReason
check_time(JdNode *nd, const ParsedRequest *parsed, uint64_t arrived_at)
{
    if (arrived_at + parsed->timeout <= JdClock_Now(&nd->loop.clock)) {
        return JD_REASON_TOO_LATE;
    }
    return outlasts_drain(nd, parsed, arrived_at) ? JD_REASON_DRAINING
                                                  : JD_REASON_NONE;
}

/* Starts a call for a checked request, once it has a token if its account has
 * a rate. */
static void
admit(JdNode *nd, JdServerRequest *req, const ParsedRequest *parsed,
      uint64_t arrived_at)
{
    unsigned retry_after_ms = 0;
    JdQuotaResult result = JD_QUOTA_TAKEN;

    if (parsed->account.rate > 0) {
        result = JdQuotaRequest_Take(nd, req, &parsed->account, arrived_at,
                                     &retry_after_ms);
    }
    if (result == JD_QUOTA_TAKEN) {
        begin_call(nd, req, parsed, arrived_at);
    }
    else if (result == JD_QUOTA_REFUSED) {
        refuse_after(nd, req, parsed, JD_REASON_OVER_QUOTA, arrived_at,
                     retry_after_ms);
    }
}

/*
 * Goes on with a request that has waited for a token and got one, or was
 * refused it.  The configuration may have changed since.
 */
void
JdIntake_Resume(JdNode *nd, JdServerRequest *req, uint64_t arrived_at,
                bool has_token, unsigned retry_after_ms)
{
    ParsedRequest parsed = {.timeout = 0};
    JdReason reason = parse_request(nd, req, &parsed);

    if (reason == JD_REASON_NONE) {
        reason = check_time(nd, &parsed, arrived_at);
    }
    if (reason == JD_REASON_NONE && has_token) {
        begin_call(nd, req, &parsed, arrived_at);
        return;
    }
    if (has_token && parsed.account.name != NULL) {
        JdQuota_Return(&nd->quota, parsed.account.name);
    }
    if (reason == JD_REASON_NONE) {
        refuse_after(nd, req, &parsed, JD_REASON_OVER_QUOTA, arrived_at,
                     retry_after_ms);
    }
    else {
        refuse(nd, req, &parsed, reason, arrived_at);
    }
}

/*
 * Starts a call for a request that arrived at the time `arrived_at`, or
 * refuses it, at once or when it has waited for a token.  Returns false,
 * having done neither, when the request should wait for this node to be ready.
 */
bool
JdIntake_Process(JdNode *nd, JdServerRequest *req, uint64_t arrived_at)
{
    ParsedRequest parsed = {.timeout = 0};
    JdReason reason = parse_request(nd, req, &parsed);

    if (may_wait(nd, req, &parsed, reason, arrived_at)) {
        return false;
    }
    if (reason == JD_REASON_NONE) {
        reason = check_time(nd, &parsed, arrived_at);
    }
    if (reason == JD_REASON_NONE) {
        admit(nd, req, &parsed, arrived_at);
    }
    else {
        refuse(nd, req, &parsed, reason, arrived_at);
    }
    return true;
}

/* Returns for how many us a request, of which the head has arrived, is of use
 * to its caller. */
uint64_t
JdIntake_TimeLimit(JdNode *nd, const JdServerRequest *req)
{
    JdRoute route;
    uint64_t timeout = ASSUMED_TIMEOUT;

    if (nd->store.config != NULL && find_route(nd, req, &route)) {
        timeout = route.timeout;
    }
    parse_timeout(nd->dialect, req, &timeout);
    return timeout;
}

/* Refuses a request that has not arrived as a whole. */
void
JdIntake_Reject(JdNode *nd, JdServerRequest *req, JdReason reason)
{
    ParsedRequest parsed = {.timeout = 0};
    uint64_t now = JdClock_Now(&nd->loop.clock);

    copy_request_id(nd->dialect, req, &parsed);
    refuse(nd, req, &parsed, reason, now);
}

/* Handles a new request of a caller. */
void
JdIntake_OnRequest(JdNode *nd, JdServerRequest *req)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    nd->counters.value[JD_C_REQUESTS]++;
    if (!JdIntake_Process(nd, req, now)) {
        JdWaitingRequest_Add(nd, req, now);
    }
}
