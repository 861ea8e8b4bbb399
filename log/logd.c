/*
 * jd-logd: in-memory stand-in for the platform's log, for tests and the demo.
 *
 * Keeps streams of records with offsets, limits retention and append rate, and
 * simulates faults set by /control.  The protocol is described in log.c.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../base/base.h"

#define PROGRAM_NAME "jd-logd"
/* Largest record, in bytes. */
#define MAX_RECORD (16U << 20)

/* Simulated faults. */
typedef enum Mode {
    MODE_UP,           /* no fault */
    MODE_DOWN,         /* answers 503 */
    MODE_HANG,         /* does not answer */
    MODE_LOSE_ANSWERS, /* stores appends without answering them */
    MODE_MAX
} Mode;

static const char *const mode_names[MODE_MAX] = {
    [MODE_UP] = "up",
    [MODE_DOWN] = "down",
    [MODE_HANG] = "hang",
    [MODE_LOSE_ANSWERS] = "lose-answers",
};

typedef struct Record {
    uint64_t at; /* time of the append, us of the wall clock */
    char *text;
    size_t len;
} Record;

/* A read that waits for the next record. */
typedef struct LongPoll {
    TAILQ_ENTRY(LongPoll) link;
    struct Stream *stream;
    h2o_req_t *req;
    uint64_t from;
    uint64_t max;
    JdTimer timer;
    struct LongPoll **slot; /* pointer to this in the request's memory, reset
                             * when this is freed */
} LongPoll;

typedef struct Stream {
    uint64_t first; /* offset of records[0] */
    GArray *records;
    TAILQ_HEAD(LongPollHead, LongPoll) long_polls;
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
    double tokens; /* of the token bucket that limits the rate */
    uint64_t filled_at;
    uint64_t refused; /* appends above the rate */
} Logd;

static Stream *
get_stream(Logd *ld, const char *name)
{
    Stream *st = g_hash_table_lookup(ld->streams, name);

    if (st == NULL) {
        st = g_new0(Stream, 1);
        st->records = g_array_new(FALSE, TRUE, sizeof(Record));
        TAILQ_INIT(&st->long_polls);
        g_hash_table_insert(ld->streams, g_strdup(name), st);
    }
    return st;
}

/* Returns the offset that the next append gets. */
static uint64_t
end_offset(const Stream *st)
{
    return st->first + st->records->len;
}

/* Drops the oldest records so that `keep` are left; 0 keeps all. */
static void
expire_records(Stream *st, uint64_t keep)
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
reply_read(Stream *st, h2o_req_t *req, uint64_t from, uint64_t max)
{
    json_t *list = json_array();
    json_t *js;

    st->reads++;
    if (from < st->first) {
        json_decref(list);
        JdHttpd_ReplyJson(req, 410,
                          json_pack("{s:I, s:I}", "first",
                                    (json_int_t)st->first, "next",
                                    (json_int_t)end_offset(st)));
        return;
    }
    for (uint64_t o = from; o < end_offset(st) && o - from < max; o++) {
        Record *r = &g_array_index(st->records, Record, o - st->first);

        st->bytes_read += r->len;
        json_array_append_new(
            list, json_pack("{s:I, s:I, s:s%}", "o", (json_int_t)o, "t",
                            (json_int_t)r->at, "d", r->text, r->len));
    }
    js = json_pack("{s:I, s:I, s:o}", "first", (json_int_t)st->first, "next",
                   (json_int_t)end_offset(st), "records", list);
    JdHttpd_ReplyJson(req, 200, js);
}

static void
remove_long_poll(Logd *ld, LongPoll *lp)
{
    JdTimer_Cancel(&ld->loop.clock, &lp->timer);
    TAILQ_REMOVE(&lp->stream->long_polls, lp, link);
    if (lp->slot != NULL) {
        *lp->slot = NULL;
    }
    g_free(lp);
}

static Logd logd;

/* Answers a long poll with what there is; also called by its timer. */
static void
finish_long_poll(void *ctx)
{
    LongPoll *lp = ctx;
    Stream *st = lp->stream;
    h2o_req_t *req = lp->req;
    uint64_t from = lp->from;
    uint64_t max = lp->max;

    remove_long_poll(&logd, lp);
    reply_read(st, req, from, max);
}

static void
finish_all_long_polls(Stream *st)
{
    LongPoll *lp;

    while ((lp = TAILQ_FIRST(&st->long_polls)) != NULL) {
        finish_long_poll(lp);
    }
}

/* Called when h2o frees the request's memory, whether answered or not. */
static void
on_request_gone(void *data)
{
    LongPoll **slot = data;

    if (*slot != NULL) {
        LongPoll *lp = *slot;

        lp->slot = NULL;
        remove_long_poll(&logd, lp);
    }
}

static void
add_long_poll(Logd *ld, Stream *st, h2o_req_t *req, uint64_t from,
              uint64_t max, uint64_t wait)
{
    LongPoll **slot =
        h2o_mem_alloc_shared(&req->pool, sizeof(LongPoll *), on_request_gone);
    LongPoll *lp = g_new0(LongPoll, 1);

    lp->stream = st;
    lp->req = req;
    lp->from = from;
    lp->max = max;
    lp->slot = slot;
    *slot = lp;
    JdTimer_Init(&lp->timer, finish_long_poll, lp);
    JdTimer_Arm(&ld->loop.clock, &lp->timer, wait);
    TAILQ_INSERT_TAIL(&st->long_polls, lp, link);
}

static void
handle_read(Logd *ld, Stream *st, h2o_req_t *req)
{
    uint64_t from = JdHttpd_QueryNumber(req, "from", 0);
    uint64_t max = JdHttpd_QueryNumber(req, "most", 100);
    uint64_t wait = JdHttpd_QueryNumber(req, "wait_ms", 0) * JD_US_PER_MS;

    if (wait > 0 && max > 0 && from >= end_offset(st)) {
        add_long_poll(ld, st, req, from, max, wait);
        return;
    }
    reply_read(st, req, from, max);
}

static bool
take_token(Logd *ld)
{
    uint64_t now = JdClock_Now(&ld->loop.clock);

    ld->tokens += (double)(now - ld->filled_at) * (double)ld->rate / 1e6;
    ld->filled_at = now;
    /* Allows bursts of a tenth of a second's appends. */
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
handle_append(Logd *ld, Stream *st, h2o_req_t *req)
{
    uint64_t at = JdLoop_WallClock();
    Record r = {.at = at, .len = req->entity.len};
    uint64_t offset = end_offset(st);

    if (!take_token(ld)) {
        JdHttpd_AddHeader(req, "retry-after", "1");
        JdHttpd_Reply(req, 503, "text/plain", "append rate\n", 12);
        return;
    }
    r.text = g_strndup(req->entity.base, req->entity.len);
    g_array_append_val(st->records, r);
    st->appends++;
    if (ld->mode == MODE_LOSE_ANSWERS) {
        finish_all_long_polls(st);
        expire_records(st, ld->keep);
        return;
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:I, s:I}", "offset", (json_int_t)offset,
                                "at", (json_int_t)at));
    finish_all_long_polls(st);
    expire_records(st, ld->keep);
}

static void
handle_control(Logd *ld, h2o_req_t *req)
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
        expire_records(get_stream(ld, mode), 1);
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:s}", "mode", mode_names[ld->mode]));
}

static void
handle_stats(Logd *ld, h2o_req_t *req)
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
                                      (json_int_t)end_offset(st), "appends",
                                      (json_int_t)st->appends, "reads",
                                      (json_int_t)st->reads, "bytes_read",
                                      (json_int_t)st->bytes_read));
    }
    json_object_set_new(js, "refused", json_integer((json_int_t)ld->refused));
    JdHttpd_ReplyJson(req, 200, js);
}

/* Extracts NAME from the path /streams/NAME/records. */
static bool
parse_stream_name(const h2o_req_t *req, char *buf, size_t size)
{
    static const char prefix[] = "/streams/";
    static const char suffix[] = "/records";
    size_t n = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    size_t len;

    if (n <= sizeof(prefix) - 1 + sizeof(suffix) - 1 ||
        memcmp(req->path.base, prefix, sizeof(prefix) - 1) != 0 ||
        memcmp(req->path.base + n - (sizeof(suffix) - 1), suffix,
               sizeof(suffix) - 1) != 0) {
        return false;
    }
    len = n - (sizeof(prefix) - 1) - (sizeof(suffix) - 1);
    if (len >= size) {
        return false;
    }
    memcpy(buf, req->path.base + sizeof(prefix) - 1, len);
    buf[len] = '\0';
    return true;
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    Logd *ld = ctx;
    char name[JD_NAME_MAX];

    if (JdHttpd_IsPath(req, "/control")) {
        handle_control(ld, req);
        return;
    }
    if (JdHttpd_IsPath(req, "/stats")) {
        handle_stats(ld, req);
        return;
    }
    if (ld->mode == MODE_HANG) {
        return;
    }
    if (ld->mode == MODE_DOWN) {
        JdHttpd_Reply(req, 503, "text/plain", "outage\n", 7);
        return;
    }
    if (!parse_stream_name(req, name, sizeof(name))) {
        JdHttpd_Reply(req, 404, "text/plain", "no such path\n", 13);
        return;
    }
    if (JdHttpd_IsMethod(req, "POST")) {
        handle_append(ld, get_stream(ld, name), req);
    }
    else {
        handle_read(ld, get_stream(ld, name), req);
    }
}

int
main(int argc, char **argv)
{
    gchar *listen = NULL;
    gint keep = 0;
    gint rate = 500;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "listen address",
         "IP:PORT"},
        {"keep", 0, 0, G_OPTION_ARG_INT, &keep,
         "records kept per stream, 0 for all", "N"},
        {"rate", 0, 0, G_OPTION_ARG_INT, &rate, "limit of appends per second",
         "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err;
    int rc = JdProgram_ParseOptions(PROGRAM_NAME,
                                    "- in-memory stand-in for the log",
                                    entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (listen == NULL) {
        return JdProgram_UsageError(PROGRAM_NAME, "--listen is required");
    }
    JdLogging_Init(PROGRAM_NAME, NULL);
    JdLoop_Init(&logd.loop);
    logd.streams = g_hash_table_new(g_str_hash, g_str_equal);
    logd.keep = (uint64_t)keep;
    logd.rate = (uint64_t)rate;
    if (JdHttpd_Init(&logd.httpd, &logd.loop, listen, MAX_RECORD, on_request,
                     &logd, &err) != JD_OK) {
        return JdProgram_Fail(PROGRAM_NAME, &err);
    }
    return JdProgram_Run(&logd.loop);
}
