/*
 * Stand-in for the platform's metadata store: keyed topics of one partition,
 * by the protocol that platform/store.c speaks.
 *
 *   POST /-/put?topic=T&key=K      the body becomes the newest value of a key
 *   POST /-/control?NAME=VALUE     down=1, silent=1, slow_ms=N, lose=1
 * (answers of writes), forget=1 (history, once) GET /-/stats calls so far
 */
#include <stdlib.h>
#include <string.h>

#include "../../base/base.h"

#define NAME "jd-stored"
#define TOPICS_MOST 16
#define BODY_MOST (4U << 20)
#define LENGTH_BYTES 4
/* Period of looks at the reads that wait. */
#define LOOK_EVERY (5 * JD_US_PER_MS)

typedef struct Record {
    char *key;
    char *content; /* length of the key, key, value */
    size_t len;
    size_t value_at;
} Record;

typedef struct Topic {
    char name[JD_NAME_MAX];
    GPtrArray *records; /* all since the start */
    uint64_t first;     /* oldest that can be read */
} Topic;

/* An answer that is given later. */
typedef struct Held {
    TAILQ_ENTRY(Held) link;
    h2o_req_t *req; /* NULL: its caller is gone */
    Topic *topic;
    uint64_t from;
    uint64_t until;
    bool is_read;
} Held;

static struct {
    JdLoop loop;
    JdHttpd httpd;
    Topic topic[TOPICS_MOST];
    unsigned topics;
    TAILQ_HEAD(, Held) held;
    JdTimer look;
    uint64_t calls;
    uint64_t slow;
    bool is_down;
    bool is_silent;
    bool loses_answers;
} st;

static Topic *
get_topic(const char *name)
{
    Topic *tp;

    for (unsigned i = 0; i < st.topics; i++) {
        if (strcmp(st.topic[i].name, name) == 0) {
            return &st.topic[i];
        }
    }
    if (st.topics == TOPICS_MOST) {
        return NULL;
    }
    tp = &st.topic[st.topics++];
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
    rec->value_at = 1 + key;
    g_ptr_array_add(tp->records, rec);
}

static void
add_number(GByteArray *out, uint64_t n, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 b = (guint8)(n >> (8 * i));

        g_byte_array_append(out, &b, 1);
    }
}

static void
answer_read(const Held *hd)
{
    const Topic *tp = hd->topic;
    GByteArray *out = g_byte_array_new();

    add_number(out, tp->records->len, 8);
    add_number(out, tp->first, 8);
    for (uint64_t o = hd->from; o < tp->records->len; o++) {
        const Record *rec = g_ptr_array_index(tp->records, o);

        add_number(out, rec->len, LENGTH_BYTES);
        g_byte_array_append(out, (guint8 *)rec->content, (guint)rec->len);
    }
    JdHttpd_Reply(hd->req, 200, "application/octet-stream",
                  (const char *)out->data, out->len);
    g_byte_array_unref(out);
}

static void
on_gone(void *data)
{
    (*(Held **)data)->req = NULL;
}

static Held *
hold(h2o_req_t *req, Topic *tp, uint64_t wait)
{
    Held *hd = g_new0(Held, 1);
    Held **slot = h2o_mem_alloc_shared(&req->pool, sizeof(Held *), on_gone);

    *slot = hd;
    hd->req = req;
    hd->topic = tp;
    hd->until = JdClock_Now(&st.loop.clock) + wait;
    TAILQ_INSERT_TAIL(&st.held, hd, link);
    return hd;
}

/* Gives the answers that are due. */
static void
on_look(void *ctx)
{
    uint64_t now = JdClock_Now(&st.loop.clock);
    Held *hd, *next;

    (void)ctx;
    JdTimer_Arm(&st.loop.clock, &st.look, LOOK_EVERY);
    for (hd = TAILQ_FIRST(&st.held); hd != NULL; hd = next) {
        bool has_records = hd->is_read && hd->from < hd->topic->records->len;

        next = TAILQ_NEXT(hd, link);
        if (st.is_silent || (hd->until > now && !has_records)) {
            continue;
        }
        TAILQ_REMOVE(&st.held, hd, link);
        if (hd->req != NULL && hd->is_read) {
            answer_read(hd);
        }
        /* The request's end still points at it. */
    }
}

static void
on_log_read(h2o_req_t *req, Topic *tp)
{
    uint64_t from = JdHttpd_QueryNumber(req, "from", 0);
    uint64_t wait = JdHttpd_QueryNumber(req, "wait_ms", 0) * JD_US_PER_MS;
    Held *hd;

    if (from < tp->first) {
        JdHttpd_ReplyJson(req, 410,
                          json_pack("{s:I}", "first", (json_int_t)tp->first));
        return;
    }
    hd = hold(req, tp, wait + st.slow);
    hd->is_read = true;
    hd->from = from;
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
    return rec->value_at < rec->len;
}

static void
on_log_newest(h2o_req_t *req, const Topic *tp)
{
    json_t *items = json_array();

    for (guint i = 0; i < tp->records->len; i++) {
        const Record *rec = g_ptr_array_index(tp->records, i);
        gchar *value;

        if (!is_newest(tp, i)) {
            continue;
        }
        value = g_base64_encode((guchar *)rec->content + rec->value_at,
                                rec->len - rec->value_at);
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
on_log_append(h2o_req_t *req, Topic *tp)
{
    const char *p = req->entity.base;
    size_t n = req->entity.len;
    json_int_t offset = tp->records->len;

    while (n >= LENGTH_BYTES) {
        size_t len = (size_t)(uint8_t)p[0] << 24 |
                     (size_t)(uint8_t)p[1] << 16 | (size_t)(uint8_t)p[2] << 8 |
                     (uint8_t)p[3];

        if (len > n - LENGTH_BYTES) {
            break;
        }
        add_record(tp, p + LENGTH_BYTES, len);
        p += LENGTH_BYTES + len;
        n -= LENGTH_BYTES + len;
    }
    if (st.loses_answers) {
        hold(req, tp, 3600 * JD_US_PER_S);
        return;
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:I, s:I}", "offset", offset, "end",
                                (json_int_t)tp->records->len));
}

/* The operator's write of a key. */
static void
on_put(h2o_req_t *req)
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
on_control(h2o_req_t *req)
{
    st.is_down = JdHttpd_QueryNumber(req, "down", st.is_down) != 0;
    st.is_silent = JdHttpd_QueryNumber(req, "silent", st.is_silent) != 0;
    st.loses_answers = JdHttpd_QueryNumber(req, "lose", st.loses_answers) != 0;
    st.slow = JdHttpd_QueryNumber(req, "slow_ms", st.slow / JD_US_PER_MS) *
              JD_US_PER_MS;
    if (JdHttpd_QueryNumber(req, "forget", 0) != 0) {
        for (unsigned i = 0; i < st.topics; i++) {
            st.topic[i].first = st.topic[i].records->len;
        }
    }
    JdHttpd_Reply(req, 200, "text/plain", "ok\n", 3);
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    char name[JD_NAME_MAX];
    Topic *tp = NULL;

    (void)ctx;
    if (JdHttpd_IsPath(req, "/-/put")) {
        on_put(req);
        return;
    }
    if (JdHttpd_IsPath(req, "/-/control")) {
        on_control(req);
        return;
    }
    if (JdHttpd_IsPath(req, "/-/stats")) {
        JdHttpd_ReplyJson(req, 200,
                          json_pack("{s:I}", "calls", (json_int_t)st.calls));
        return;
    }
    st.calls++;
    if (JdHttpd_CopyQueryParam(req, "topic", name, sizeof(name))) {
        tp = get_topic(name);
    }
    if (st.is_down || tp == NULL) {
        JdHttpd_Reply(req, 503, "text/plain", "down\n", 5);
    }
    else if (st.is_silent) {
        hold(req, tp, 3600 * JD_US_PER_S);
    }
    else if (JdHttpd_IsPath(req, "/log-read")) {
        on_log_read(req, tp);
    }
    else if (JdHttpd_IsPath(req, "/log-newest")) {
        on_log_newest(req, tp);
    }
    else if (JdHttpd_IsPath(req, "/log-append")) {
        on_log_append(req, tp);
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
    int rc = JdProgram_ParseOptions(NAME, "- stand-in of the platform's store",
                                    entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (listen == NULL) {
        return JdProgram_UsageError(NAME, "--listen is required");
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&st.loop);
    TAILQ_INIT(&st.held);
    JdTimer_Init(&st.look, on_look, NULL);
    JdTimer_Arm(&st.loop.clock, &st.look, LOOK_EVERY);
    if (JdHttpd_Init(&st.httpd, &st.loop, listen, BODY_MOST, on_request, NULL,
                     &err) != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    return JdProgram_Run(&st.loop);
}
