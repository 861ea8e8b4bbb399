/*
 * Fake of the platform's metadata store for tests: keyed topics of one
 * partition, with the protocol that platform/store.c uses.
 *
 *   POST /-/put?topic=T&key=K   append the body as the newest value of a key
 *   POST /-/control?NAME=VALUE  inject a fault; 0 ends it; the response has
 *                               the number of records in each topic:
 *       down=1     answer every call with status 503
 *       silent=1   do not answer calls, nor reads that already wait
 *       slow_ms=N  extend the wait of reads without new records by N ms
 *       lose=1     store appended records but do not answer
 *       forget=1   expire all records once; the newest ones can still be read
 *                  with /log-newest
 *   GET /-/stats                number of calls so far
 */
#include <stdlib.h>
#include <string.h>

#include "../../base/base.h"

#define NAME "jd-stored"
#define MAX_TOPICS 16
#define MAX_BODY_BYTES (4U << 20)
#define RECORD_LENGTH_BYTES 4
/* Interval between checks for responses that are due. */
#define CHECK_INTERVAL (5 * JD_US_PER_MS)

typedef struct Record {
    char *key;
    char *content; /* length of the key, key, value */
    size_t len;
    size_t value_offset;
} Record;

typedef struct Topic {
    char name[JD_NAME_MAX];
    GPtrArray *records;    /* all records, indexed by offset */
    uint64_t first_offset; /* oldest offset that can be read */
    guint copied_count;    /* records in the copy */
} Topic;

/* A response that is sent later, or never when the store is silent. */
typedef struct PendingResponse {
    TAILQ_ENTRY(PendingResponse) link;
    h2o_req_t *req; /* NULL: the client has disconnected */
    Topic *topic;
    uint64_t from_offset;
    uint64_t due_at;
    bool is_read;
} PendingResponse;

static struct {
    JdLoop loop;
    JdHttpd httpd;
    Topic topics[MAX_TOPICS];
    unsigned topic_count;
    TAILQ_HEAD(, PendingResponse) pending;
    JdTimer check_timer;
    uint64_t calls;      /* of the store's protocol */
    uint64_t extra_wait; /* of reads */
    uint64_t era;        /* 0: not sent */
    bool sends_old_era;
    bool is_down;
    bool is_silent;
    bool drops_append_responses;
} store;

static Topic *
get_topic(const char *name)
{
    Topic *tp;

    for (unsigned i = 0; i < store.topic_count; i++) {
        if (strcmp(store.topics[i].name, name) == 0) {
            return &store.topics[i];
        }
    }
    if (store.topic_count == MAX_TOPICS) {
        return NULL;
    }
    tp = &store.topics[store.topic_count++];
    g_strlcpy(tp->name, name, sizeof(tp->name));
    tp->records = g_ptr_array_new();
    return tp;
}

static void
add_record(Topic *tp, const char *content, size_t len)
{
    Record *rec = g_new0(Record, 1);
    size_t key = len == 0 ? 0 : (uint8_t)content[0];

    rec->content = g_memdup2(content, len);
    rec->len = len;
    rec->key = g_strndup(content + 1, key);
    rec->value_offset = 1 + key;
    g_ptr_array_add(tp->records, rec);
}

static void
append_uint(GByteArray *out, uint64_t n, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 b = (guint8)(n >> (8 * i));

        g_byte_array_append(out, &b, 1);
    }
}

static void
add_era_header(h2o_req_t *req)
{
    char text[24];

    if (store.era != 0) {
        g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
                   store.era - store.sends_old_era);
        JdHttpd_AddHeader(req, "Store-Era", text);
    }
}

static void
reply_records(const PendingResponse *pr)
{
    const Topic *tp = pr->topic;
    GByteArray *out = g_byte_array_new();

    append_uint(out, tp->records->len, 8);
    append_uint(out, tp->first_offset, 8);
    for (uint64_t o = pr->from_offset; o < tp->records->len; o++) {
        const Record *rec = g_ptr_array_index(tp->records, o);

        append_uint(out, rec->len, RECORD_LENGTH_BYTES);
        g_byte_array_append(out, (guint8 *)rec->content, (guint)rec->len);
    }
    add_era_header(pr->req);
    JdHttpd_Reply(pr->req, 200, "application/octet-stream",
                  (const char *)out->data, out->len);
    g_byte_array_unref(out);
}

static void
on_request_freed(void *data)
{
    (*(PendingResponse **)data)->req = NULL;
}

static PendingResponse *
defer_response(h2o_req_t *req, Topic *tp, uint64_t wait)
{
    PendingResponse *pr = g_new0(PendingResponse, 1);
    PendingResponse **slot = h2o_mem_alloc_shared(
        &req->pool, sizeof(PendingResponse *), on_request_freed);

    *slot = pr;
    pr->req = req;
    pr->topic = tp;
    pr->due_at = JdClock_Now(&store.loop.clock) + wait;
    TAILQ_INSERT_TAIL(&store.pending, pr, link);
    return pr;
}

/* Sends the responses to reads that are due. */
static void
send_due_responses(void *ctx)
{
    uint64_t now = JdClock_Now(&store.loop.clock);
    PendingResponse *pr, *next;

    (void)ctx;
    JdTimer_Arm(&store.loop.clock, &store.check_timer, CHECK_INTERVAL);
    for (pr = TAILQ_FIRST(&store.pending); pr != NULL; pr = next) {
        bool has_records =
            pr->is_read && pr->from_offset < pr->topic->records->len;

        next = TAILQ_NEXT(pr, link);
        if (store.is_silent || (pr->due_at > now && !has_records)) {
            continue;
        }
        TAILQ_REMOVE(&store.pending, pr, link);
        if (pr->req != NULL && pr->is_read) {
            reply_records(pr);
        }
        /* Not freed: on_request_freed still refers to it. */
    }
}

static void
on_read_request(h2o_req_t *req, Topic *tp)
{
    uint64_t from_offset = JdHttpd_QueryNumber(req, "from", 0);
    uint64_t wait = JdHttpd_QueryNumber(req, "wait_ms", 0) * JD_US_PER_MS;
    PendingResponse *pr;

    if (from_offset < tp->first_offset || from_offset > tp->records->len) {
        add_era_header(req);
        JdHttpd_ReplyJson(
            req, 410,
            json_pack("{s:I}", "first", (json_int_t)tp->first_offset));
        return;
    }
    pr = defer_response(req, tp, wait + store.extra_wait);
    pr->is_read = true;
    pr->from_offset = from_offset;
}

static bool
is_newest(const Topic *tp, guint at)
{
    const Record *rec = g_ptr_array_index(tp->records, at);

    for (guint i = at + 1; i < tp->records->len; i++) {
        const Record *other = g_ptr_array_index(tp->records, i);

        if (strcmp(rec->key, other->key) == 0) {
            return false;
        }
    }
    return rec->value_offset < rec->len;
}

static void
on_newest_request(h2o_req_t *req, const Topic *tp)
{
    json_t *items = json_array();

    for (guint i = 0; i < tp->records->len; i++) {
        const Record *rec = g_ptr_array_index(tp->records, i);
        gchar *value;

        if (!is_newest(tp, i)) {
            continue;
        }
        value = g_base64_encode((guchar *)rec->content + rec->value_offset,
                                rec->len - rec->value_offset);
        json_array_append_new(items, json_pack("{s:s, s:s, s:I}", "key",
                                               rec->key, "value", value,
                                               "offset", (json_int_t)i));
        g_free(value);
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:o, s:b, s:I}", "items", items, "more", 0,
                                "end", (json_int_t)tp->records->len));
}

static void
on_append_request(h2o_req_t *req, Topic *tp)
{
    const char *p = req->entity.base;
    size_t n = req->entity.len;
    json_int_t offset = tp->records->len;

    if (JdHttpd_QueryNumber(req, "as_of", (uint64_t)offset) !=
        (uint64_t)offset) {
        JdHttpd_ReplyJson(req, 412, json_pack("{s:I}", "end", offset));
        return;
    }
    while (n >= RECORD_LENGTH_BYTES) {
        size_t len = (size_t)(uint8_t)p[0] << 24 |
                     (size_t)(uint8_t)p[1] << 16 | (size_t)(uint8_t)p[2] << 8 |
                     (uint8_t)p[3];

        if (len > n - RECORD_LENGTH_BYTES) {
            break;
        }
        add_record(tp, p + RECORD_LENGTH_BYTES, len);
        p += RECORD_LENGTH_BYTES + len;
        n -= RECORD_LENGTH_BYTES + len;
    }
    if (store.drops_append_responses) {
        defer_response(req, tp, 3600 * JD_US_PER_S);
        return;
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:I, s:I}", "offset", offset, "end",
                                (json_int_t)tp->records->len));
}

/* Appends a value as the operator does. */
static void
on_put_request(h2o_req_t *req)
{
    char topic[JD_NAME_MAX], key[JD_NAME_MAX];
    GString *rec;

    if (!JdHttpd_CopyQueryParam(req, "topic", topic, sizeof(topic)) ||
        !JdHttpd_CopyQueryParam(req, "key", key, sizeof(key))) {
        JdHttpd_Reply(req, 400, "text/plain", "topic and key\n", 14);
        return;
    }
    rec = g_string_new(NULL);
    g_string_append_c(rec, (gchar)strlen(key));
    g_string_append(rec, key);
    g_string_append_len(rec, req->entity.base, (gssize)req->entity.len);
    add_record(get_topic(topic), rec->str, rec->len);
    g_string_free(rec, TRUE);
    JdHttpd_Reply(req, 200, "text/plain", "ok\n", 3);
}

static void
take_copy(void)
{
    for (unsigned i = 0; i < store.topic_count; i++) {
        store.topics[i].copied_count = store.topics[i].records->len;
    }
}

/* Returns to the copy.  Reads that wait are answered from it. */
static void
restore_copy(void)
{
    for (unsigned i = 0; i < store.topic_count; i++) {
        Topic *tp = &store.topics[i];

        /* The removed records are not freed. */
        g_ptr_array_set_size(tp->records, (gint)tp->copied_count);
        if (tp->first_offset > tp->copied_count) {
            tp->first_offset = tp->copied_count;
        }
    }
    store.era++;
}

/* Replies with the number of records that each topic has at this moment. */
static void
reply_record_counts(h2o_req_t *req)
{
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < store.topic_count; i++) {
        g_string_append_printf(text, "%s %u\n", store.topics[i].name,
                               store.topics[i].records->len);
    }
    JdHttpd_Reply(req, 200, "text/plain", text->str, text->len);
    g_string_free(text, TRUE);
}

static void
on_control_request(h2o_req_t *req)
{
    store.is_down = JdHttpd_QueryNumber(req, "down", store.is_down) != 0;
    store.is_silent = JdHttpd_QueryNumber(req, "silent", store.is_silent) != 0;
    store.drops_append_responses =
        JdHttpd_QueryNumber(req, "lose", store.drops_append_responses) != 0;
    store.extra_wait =
        JdHttpd_QueryNumber(req, "slow_ms", store.extra_wait / JD_US_PER_MS) *
        JD_US_PER_MS;
    store.era = JdHttpd_QueryNumber(req, "era", store.era);
    store.sends_old_era =
        JdHttpd_QueryNumber(req, "late", store.sends_old_era) != 0;
    if (JdHttpd_QueryNumber(req, "copy", 0) != 0) {
        take_copy();
    }
    if (JdHttpd_QueryNumber(req, "restore", 0) != 0) {
        restore_copy();
    }
    if (JdHttpd_QueryNumber(req, "forget", 0) != 0) {
        for (unsigned i = 0; i < store.topic_count; i++) {
            store.topics[i].first_offset = store.topics[i].records->len;
        }
    }
    reply_record_counts(req);
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    char name[JD_NAME_MAX];
    Topic *tp = NULL;

    (void)ctx;
    if (JdHttpd_IsPath(req, "/-/put")) {
        on_put_request(req);
        return;
    }
    if (JdHttpd_IsPath(req, "/-/control")) {
        on_control_request(req);
        return;
    }
    if (JdHttpd_IsPath(req, "/-/stats")) {
        JdHttpd_ReplyJson(
            req, 200, json_pack("{s:I}", "calls", (json_int_t)store.calls));
        return;
    }
    store.calls++;
    /* A read may wait; its response has the era of the time of sending. */
    if (!JdHttpd_IsPath(req, "/log-read")) {
        add_era_header(req);
    }
    if (JdHttpd_CopyQueryParam(req, "topic", name, sizeof(name))) {
        tp = get_topic(name);
    }
    if (store.is_down || tp == NULL) {
        JdHttpd_Reply(req, 503, "text/plain", "down\n", 5);
    }
    else if (store.is_silent) {
        defer_response(req, tp, 3600 * JD_US_PER_S);
    }
    else if (JdHttpd_IsPath(req, "/log-read")) {
        on_read_request(req, tp);
    }
    else if (JdHttpd_IsPath(req, "/log-newest")) {
        on_newest_request(req, tp);
    }
    else if (JdHttpd_IsPath(req, "/log-append")) {
        on_append_request(req, tp);
    }
    else {
        JdHttpd_Reply(req, 404, "text/plain", "no such call\n", 13);
    }
}

int
main(int argc, char **argv)
{
    gchar *listen = NULL;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "address", "IP:PORT"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    int rc =
        JdProgram_ParseOptions(NAME, "- fake of the platform's metadata store",
                               entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (listen == NULL) {
        return JdProgram_UsageError(NAME, "--listen is required");
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&store.loop);
    store.era = 1;
    TAILQ_INIT(&store.pending);
    JdTimer_Init(&store.check_timer, send_due_responses, NULL);
    JdTimer_Arm(&store.loop.clock, &store.check_timer, CHECK_INTERVAL);
    if (JdHttpd_Init(&store.httpd, &store.loop, listen, MAX_BODY_BYTES,
                     on_request, NULL, &err) != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    return JdProgram_Run(&store.loop);
}
