/*
 * Client of the platform's log.
 *
 *   POST /streams/NAME/records            body: one record
 *     200 {"offset": N, "at": US}
 *   GET /streams/NAME/records?from=N&most=N&wait_ms=N
 *     200 {"first": N, "next": N, "records": [{"o": N, "t": US, "d": TEXT}]}
 *     410 {"first": N, "next": N}         `from` has expired
 *   503 answers either call during an outage or above the append rate.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "log.h"

/* Connections kept to the log. */
#define CONNECTIONS 8
/* Time for an answer beyond a long poll, in us. */
#define ANSWER_TIME (1500 * JD_US_PER_MS)

typedef struct Read {
    JdLog *log;
    char stream[JD_PATH_MAX];
    unsigned most;
    uint64_t token;
    JdLogReadDone done;
    void *ctx;
} Read;

typedef struct Append {
    JdLogAppendDone done;
    void *ctx;
} Append;

/* Initializes a client; nothing is sent yet. */
JdStatus
JdLog_Init(JdLog *lg, JdLoop *lp, const char *address, JdCounters *ctr,
           JdError *err)
{
    memset(lg, 0, sizeof(*lg));
    lg->loop = lp;
    lg->counters = ctr;
    lg->timeout = ANSWER_TIME;
    return JdHttpc_Init(&lg->http, lp, address, CONNECTIONS, err);
}

/* Closes the client's idle connections. */
void
JdLog_Finish(JdLog *lg)
{
    JdHttpc_Finish(&lg->http);
}

static uint64_t
number(const json_t *js, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(js, name));
}

/* Fills records that point into the JSON; returns how many there are. */
static size_t
fill_records(json_t *list, JdRecord *out)
{
    size_t i, n = 0;
    json_t *js;

    json_array_foreach(list, i, js)
    {
        json_t *d = json_object_get(js, "d");

        if (!json_is_string(d)) {
            continue;
        }
        out[n].offset = number(js, "o");
        out[n].logged_at = number(js, "t");
        out[n].text = json_string_value(d);
        out[n].len = json_string_length(d);
        n++;
    }
    return n;
}

static void
give(Read *rd, const JdHttpResponse *http, json_t *js)
{
    json_t *list = json_object_get(js, "records");
    JdRecord *recs = g_new0(JdRecord, json_array_size(list) + 1);
    JdLogAnswer ans = {.status = JD_ERR_UNREACHABLE};

    if (json_is_object(js) && http->status == 200) {
        ans.status = JD_OK;
    }
    else if (json_is_object(js) && http->status == 410) {
        ans.status = JD_ERR_LOG_EXPIRED;
    }
    ans.first_offset = number(js, "first");
    ans.next_offset = number(js, "next");
    ans.record = recs;
    ans.record_count = fill_records(list, recs);
    rd->done(rd->ctx, rd->token, &ans);
    g_free(recs);
}

static void
on_read(void *ctx, const JdHttpResponse *http)
{
    Read *rd = ctx;
    json_t *js = NULL;

    rd->log->counters->value[JD_C_LOG_BYTES] += http->body_len;
    if (http->result == JD_HTTP_COMPLETED) {
        js = json_loadb(http->body, http->body_len, 0, NULL);
    }
    give(rd, http, js);
    json_decref(js);
    g_free(rd);
}

static void
send_read(Read *rd, uint64_t from, unsigned most, uint64_t wait,
          JdHttpCallback done)
{
    char *path = g_strdup_printf("/streams/%s/records?from=%" G_GUINT64_FORMAT
                                 "&most=%u&wait_ms=%" G_GUINT64_FORMAT,
                                 rd->stream, from, most, wait / JD_US_PER_MS);

    JdHttpc_Get(&rd->log->http, path, rd->log->timeout + wait, done, rd);
    g_free(path);
}

static Read *
new_read(JdLog *lg, const char *stream, unsigned most, uint64_t token,
         JdLogReadDone done, void *ctx)
{
    Read *rd = g_new0(Read, 1);

    rd->log = lg;
    g_strlcpy(rd->stream, stream, sizeof(rd->stream));
    rd->most = most;
    rd->token = token;
    rd->done = done;
    rd->ctx = ctx;
    return rd;
}

/* Reads up to `most` records; waits up to `wait` us for the first. */
void
JdLog_Read(JdLog *lg, const char *stream, uint64_t from, unsigned most,
           uint64_t wait, uint64_t token, JdLogReadDone done, void *ctx)
{
    send_read(new_read(lg, stream, most, token, done, ctx), from, most, wait,
              on_read);
}

static void
on_bounds(void *ctx, const JdHttpResponse *http)
{
    Read *rd = ctx;
    json_t *js = NULL;
    uint64_t first, next;

    if (http->result == JD_HTTP_COMPLETED) {
        js = json_loadb(http->body, http->body_len, 0, NULL);
    }
    first = number(js, "first");
    next = number(js, "next");
    if (js == NULL || (http->status != 200 && http->status != 410) ||
        next == first) {
        give(rd, http, js);
        json_decref(js);
        g_free(rd);
        return;
    }
    json_decref(js);
    send_read(rd, next > first + rd->most ? next - rd->most : first, rd->most,
              0, on_read);
}

/* Reads the last `most` records of a stream. */
void
JdLog_ReadTail(JdLog *lg, const char *stream, unsigned most, uint64_t token,
               JdLogReadDone done, void *ctx)
{
    send_read(new_read(lg, stream, most, token, done, ctx), 0, 0, 0,
              on_bounds);
}

static void
on_append(void *ctx, const JdHttpResponse *http)
{
    Append *ap = ctx;
    JdStatus s = JD_ERR_UNKNOWN_RESULT;
    uint64_t offset = 0;
    uint64_t at = 0;

    if (http->result == JD_HTTP_NOT_SENT) {
        s = JD_ERR_UNREACHABLE;
    }
    else if (http->result == JD_HTTP_COMPLETED && http->status == 200) {
        json_t *js = json_loadb(http->body, http->body_len, 0, NULL);

        if (json_is_integer(json_object_get(js, "offset"))) {
            s = JD_OK;
            offset = number(js, "offset");
            at = number(js, "at");
        }
        json_decref(js);
    }
    else if (http->result == JD_HTTP_COMPLETED && http->status == 503) {
        s = JD_ERR_REFUSED;
    }
    ap->done(ap->ctx, s, offset, at);
    g_free(ap);
}

/* Appends one record. */
void
JdLog_Append(JdLog *lg, const char *stream, const char *text,
             JdLogAppendDone done, void *ctx)
{
    char *path = g_strdup_printf("/streams/%s/records", stream);
    Append *ap = g_new0(Append, 1);
    JdHttpRequest rq = {.method = "POST",
                        .body = text,
                        .body_len = strlen(text),
                        .timeout = lg->timeout};

    ap->done = done;
    ap->ctx = ctx;
    lg->counters->value[JD_C_LOG_APPENDS]++;
    rq.path = path;
    JdHttpc_Send(&lg->http, &rq, on_append, ap);
    g_free(path);
}
