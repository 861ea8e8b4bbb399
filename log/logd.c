/*
 * Stand-in for the platform's log: streams in memory, records with offsets,
 * limited retention and append rate, and faults on command.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../base/base.h"

#define NAME "jd-logd"
#define RECORD_MOST (16U << 20)

/* How the stand-in behaves. */
typedef enum Mode {
    MODE_UP,
    MODE_DOWN,         /* answers 503 */
    MODE_HANG,         /* does not answer */
    MODE_LOSE_ANSWERS, /* appends, but never answers an append */
    MODE_MAX
} Mode;

static const char *const mode_names[MODE_MAX] = {
    [MODE_UP] = "up",
    [MODE_DOWN] = "down",
    [MODE_HANG] = "hang",
    [MODE_LOSE_ANSWERS] = "lose-answers",
};

typedef struct Record {
    uint64_t at;
    char *text;
    size_t len;
} Record;

typedef struct Waiter {
    TAILQ_ENTRY(Waiter) link;
    struct Stream *stream;
    h2o_req_t *req;
    uint64_t from;
    uint64_t most;
    JdTimer timer;
    struct Waiter **slot; /* with the request; cleared when this ends */
} Waiter;

typedef struct Stream {
    uint64_t first;
    GArray *records;
    TAILQ_HEAD(WaiterHead, Waiter) waiters;
    uint64_t appends;
    uint64_t reads;
    uint64_t bytes_read;
} Stream;

typedef struct Logd {
    JdLoop loop;
    JdHttpd httpd;
    GHashTable *streams;
    Mode mode;
    uint64_t keep; /* records kept in each stream, 0: all */
    uint64_t rate; /* appends per second */
    double tokens;
    uint64_t filled_at;
    uint64_t refused;
} Logd;

static Stream *
get_stream(Logd *ld, const char *name)
{
    Stream *st = g_hash_table_lookup(ld->streams, name);

    if (st == NULL) {
        st = g_new0(Stream, 1);
        st->records = g_array_new(FALSE, TRUE, sizeof(Record));
        TAILQ_INIT(&st->waiters);
        g_hash_table_insert(ld->streams, g_strdup(name), st);
    }
    return st;
}

static uint64_t
next_offset(const Stream *st)
{
    return st->first + st->records->len;
}

static void
expire(Stream *st, uint64_t keep)
{
    guint n;

    if (keep == 0 || st->records->len <= keep) {
        return;
    }
    n = st->records->len - (guint)keep;
    for (guint i = 0; i < n; i++) {
        g_free(g_array_index(st->records, Record, i).text);
    }
    g_array_remove_range(st->records, 0, n);
    st->first += n;
}

static void
reply_read(Stream *st, h2o_req_t *req, uint64_t from, uint64_t most)
{
    json_t *list = json_array();
    json_t *js;

    st->reads++;
    if (from < st->first) {
        json_decref(list);
        JdHttpd_ReplyJson(req, 410,
                          json_pack("{s:I, s:I}", "first",
                                    (json_int_t)st->first, "next",
                                    (json_int_t)next_offset(st)));
        return;
    }
    for (uint64_t o = from; o < next_offset(st) && o - from < most; o++) {
        Record *r = &g_array_index(st->records, Record, o - st->first);

        st->bytes_read += r->len;
        json_array_append_new(
            list, json_pack("{s:I, s:I, s:s%}", "o", (json_int_t)o, "t",
                            (json_int_t)r->at, "d", r->text, r->len));
    }
    js = json_pack("{s:I, s:I, s:o}", "first", (json_int_t)st->first, "next",
                   (json_int_t)next_offset(st), "records", list);
    JdHttpd_ReplyJson(req, 200, js);
}

static void
end_waiter(Logd *ld, Waiter *w)
{
    JdTimer_Cancel(&ld->loop.clock, &w->timer);
    TAILQ_REMOVE(&w->stream->waiters, w, link);
    if (w->slot != NULL) {
        *w->slot = NULL;
    }
    g_free(w);
}

static Logd logd;

static void
on_wait_over(void *ctx)
{
    Waiter *w = ctx;
    Stream *st = w->stream;
    h2o_req_t *req = w->req;
    uint64_t from = w->from;
    uint64_t most = w->most;

    end_waiter(&logd, w);
    reply_read(st, req, from, most);
}

static void
wake(Stream *st)
{
    Waiter *w;

    while ((w = TAILQ_FIRST(&st->waiters)) != NULL) {
        on_wait_over(w);
    }
}

/* The request's memory goes away, answered or not. */
static void
on_request_gone(void *data)
{
    Waiter **slot = data;

    if (*slot != NULL) {
        Waiter *w = *slot;

        w->slot = NULL;
        end_waiter(&logd, w);
    }
}

static void
wait_for_record(Logd *ld, Stream *st, h2o_req_t *req, uint64_t from,
                uint64_t most, uint64_t wait)
{
    Waiter **slot =
        h2o_mem_alloc_shared(&req->pool, sizeof(Waiter *), on_request_gone);
    Waiter *w = g_new0(Waiter, 1);

    w->stream = st;
    w->req = req;
    w->from = from;
    w->most = most;
    w->slot = slot;
    *slot = w;
    JdTimer_Init(&w->timer, on_wait_over, w);
    JdTimer_Arm(&ld->loop.clock, &w->timer, wait);
    TAILQ_INSERT_TAIL(&st->waiters, w, link);
}

static void
on_get(Logd *ld, Stream *st, h2o_req_t *req)
{
    uint64_t from = JdHttpd_QueryNumber(req, "from", 0);
    uint64_t most = JdHttpd_QueryNumber(req, "most", 100);
    uint64_t wait = JdHttpd_QueryNumber(req, "wait_ms", 0) * JD_US_PER_MS;

    if (wait > 0 && most > 0 && from >= next_offset(st)) {
        wait_for_record(ld, st, req, from, most, wait);
        return;
    }
    reply_read(st, req, from, most);
}

static bool
take_token(Logd *ld)
{
    uint64_t now = JdClock_Now(&ld->loop.clock);

    ld->tokens += (double)(now - ld->filled_at) * (double)ld->rate / 1e6;
    ld->filled_at = now;
    /* A tenth of a second of burst. */
    if (ld->tokens > (double)ld->rate / 10) {
        ld->tokens = (double)ld->rate / 10;
    }
    if (ld->tokens < 1) {
        ld->refused++;
        return false;
    }
    ld->tokens -= 1;
    return true;
}

static void
on_post(Logd *ld, Stream *st, h2o_req_t *req)
{
    uint64_t at = JdLoop_WallClock();
    Record r = {.at = at, .len = req->entity.len};
    uint64_t offset = next_offset(st);

    if (!take_token(ld)) {
        JdHttpd_AddHeader(req, "retry-after", "1");
        JdHttpd_Reply(req, 503, "text/plain", "append rate\n", 12);
        return;
    }
    r.text = g_strndup(req->entity.base, req->entity.len);
    g_array_append_val(st->records, r);
    st->appends++;
    if (ld->mode == MODE_LOSE_ANSWERS) {
        wake(st);
        expire(st, ld->keep);
        return;
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:I, s:I}", "offset", (json_int_t)offset,
                                "at", (json_int_t)at));
    wake(st);
    expire(st, ld->keep);
}

static void
on_control(Logd *ld, h2o_req_t *req)
{
    char mode[24];

    if (JdHttpd_CopyQueryParam(req, "mode", mode, sizeof(mode))) {
        for (int m = 0; m < MODE_MAX; m++) {
            if (strcmp(mode, mode_names[m]) == 0) {
                ld->mode = (Mode)m;
            }
        }
    }
    ld->keep = JdHttpd_QueryNumber(req, "keep", ld->keep);
    ld->rate = JdHttpd_QueryNumber(req, "rate", ld->rate);
    if (JdHttpd_CopyQueryParam(req, "expire", mode, sizeof(mode))) {
        expire(get_stream(ld, mode), 1);
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:s}", "mode", mode_names[ld->mode]));
}

static void
on_stats(Logd *ld, h2o_req_t *req)
{
    json_t *js = json_object();
    GHashTableIter it;
    gpointer key, val;

    g_hash_table_iter_init(&it, ld->streams);
    while (g_hash_table_iter_next(&it, &key, &val)) {
        const Stream *st = val;

        json_object_set_new(js, key,
                            json_pack("{s:I, s:I, s:I, s:I, s:I}", "first",
                                      (json_int_t)st->first, "next",
                                      (json_int_t)next_offset(st), "appends",
                                      (json_int_t)st->appends, "reads",
                                      (json_int_t)st->reads, "bytes_read",
                                      (json_int_t)st->bytes_read));
    }
    json_object_set_new(js, "refused", json_integer((json_int_t)ld->refused));
    JdHttpd_ReplyJson(req, 200, js);
}

/* Extracts NAME of /streams/NAME/records. */
static bool
stream_name(const h2o_req_t *req, char *buf, size_t size)
{
    static const char head[] = "/streams/";
    static const char tail[] = "/records";
    size_t n = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    size_t len;

    if (n <= sizeof(head) - 1 + sizeof(tail) - 1 ||
        memcmp(req->path.base, head, sizeof(head) - 1) != 0 ||
        memcmp(req->path.base + n - (sizeof(tail) - 1), tail,
               sizeof(tail) - 1) != 0) {
        return false;
    }
    len = n - (sizeof(head) - 1) - (sizeof(tail) - 1);
    if (len >= size) {
        return false;
    }
    memcpy(buf, req->path.base + sizeof(head) - 1, len);
    buf[len] = '\0';
    return true;
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    Logd *ld = ctx;
    char name[JD_NAME_MAX];

    if (JdHttpd_IsPath(req, "/control")) {
        on_control(ld, req);
        return;
    }
    if (JdHttpd_IsPath(req, "/stats")) {
        on_stats(ld, req);
        return;
    }
    if (ld->mode == MODE_HANG) {
        return;
    }
    if (ld->mode == MODE_DOWN) {
        JdHttpd_Reply(req, 503, "text/plain", "outage\n", 7);
        return;
    }
    if (!stream_name(req, name, sizeof(name))) {
        JdHttpd_Reply(req, 404, "text/plain", "no such path\n", 13);
        return;
    }
    if (JdHttpd_IsMethod(req, "POST")) {
        on_post(ld, get_stream(ld, name), req);
    }
    else {
        on_get(ld, get_stream(ld, name), req);
    }
}

int
main(int argc, char **argv)
{
    gchar *listen = NULL;
    gint keep = 0;
    gint rate = 500;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "address", "IP:PORT"},
        {"keep", 0, 0, G_OPTION_ARG_INT, &keep, "records kept per stream",
         "N"},
        {"rate", 0, 0, G_OPTION_ARG_INT, &rate, "appends per second", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err;
    int rc = JdProgram_ParseOptions(NAME, "- stand-in of the log", entries,
                                    &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (listen == NULL) {
        return JdProgram_UsageError(NAME, "--listen is required");
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&logd.loop);
    logd.streams = g_hash_table_new(g_str_hash, g_str_equal);
    logd.keep = (uint64_t)keep;
    logd.rate = (uint64_t)rate;
    if (JdHttpd_Init(&logd.httpd, &logd.loop, listen, RECORD_MOST, on_request,
                     &logd, &err) != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    return JdProgram_Run(&logd.loop);
}
