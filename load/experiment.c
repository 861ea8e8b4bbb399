/*
 * Requests by an experiment file: streams with a rate each, sent at their
 * intended times whether or not earlier ones were answered.  Latency counts
 * from the intended time, so that waiting is not hidden.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define STREAMS_MOST 8
#define ADDRESSES_MOST 64
/* Bytes of a request's id with its NUL. */
#define ID_MAX 48
/* Numbers set aside for the requests of one stream. */
#define NUMBERS_PER_STREAM UINT64_C(1000000000)
/* Connections of the tool to one address. */
#define CONNECTIONS 1000
/* Time after the end in which answers still count. */
#define GRACE (2 * JD_US_PER_S)
/* Period in which requests that are due are sent, in us. */
#define TICK (20)

/* Requests of one kind. */
typedef struct Stream {
    const char *name;
    const char *method;
    const char *path;
    char *headers;
    bool needs_key;
    double rate;
    uint64_t timeout;
    JdHttpc http[ADDRESSES_MOST];
    unsigned addresses;
    uint64_t sent;
    uint64_t answered; /* status below 400 */
    uint64_t errors;   /* of the target itself */
    uint64_t not_run;
    uint64_t unknown;
    uint64_t failed;  /* no answer at all */
    uint64_t crossed; /* answers to another request */
    GHashTable *reasons;
    Histogram all;  /* every answer */
    Histogram good; /* of `answered` */
} Stream;

typedef struct Shot {
    Stream *stream;
    uint64_t intended;
    uint64_t number;
} Shot;

static struct {
    JdLoop loop;
    json_t *file;
    Stream stream[STREAMS_MOST];
    unsigned streams;
    double seconds;
    uint64_t start;
    uint64_t open;
    uint64_t run;
    JdTimer tick;
} ex;

/* Each request has an id of its own, which its answer must carry. */
static void
format_id(char *buf, size_t size, const Shot *shot)
{
    snprintf(buf, size, "%llx-%llu", (unsigned long long)ex.run,
             (unsigned long long)shot->number);
}

static void
note_reason(Stream *st, const JdHttpHeader *h)
{
    char *name = g_strndup(h->value, h->value_len);
    gpointer n = g_hash_table_lookup(st->reasons, name);

    g_hash_table_insert(st->reasons, name,
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static bool
is_header(const JdHttpHeader *h, const char *name)
{
    return h->name_len == strlen(name) &&
           memcmp(h->name, name, h->name_len) == 0;
}

static void
take_headers(Stream *st, const Shot *shot, const JdHttpAnswer *ans)
{
    char id[ID_MAX];

    format_id(id, sizeof(id), shot);
    for (size_t i = 0; i < ans->headers; i++) {
        const JdHttpHeader *h = &ans->header[i];

        if (is_header(h, "x-reason")) {
            note_reason(st, h);
        }
        if (is_header(h, "x-outcome") && ans->status >= 400) {
            bool is_not_run =
                h->value_len == 7 && memcmp(h->value, "not-run", 7) == 0;

            st->not_run += is_not_run;
            st->unknown += !is_not_run;
        }
        if (is_header(h, "x-request-id") &&
            (h->value_len != strlen(id) ||
             memcmp(h->value, id, h->value_len) != 0)) {
            st->crossed++;
        }
    }
}

static void
on_answer(void *ctx, const JdHttpAnswer *ans)
{
    Shot *shot = ctx;
    Stream *st = shot->stream;
    uint64_t took = JdClock_Now(&ex.loop.clock) - shot->intended;

    ex.open--;
    if (ans->end != JD_HTTP_ANSWERED) {
        st->failed++;
    }
    else {
        Histogram_Add(&st->all, took);
        take_headers(st, shot, ans);
        if (ans->status < 400) {
            st->answered++;
            Histogram_Add(&st->good, took);
        }
        else if (ans->status == 500) {
            st->errors++;
        }
    }
    g_free(shot);
}

static void
send_one(Stream *st, uint64_t intended)
{
    JdHttpRequest rq = {
        .method = st->method, .path = st->path, .timeout = st->timeout};
    Shot *shot = g_new0(Shot, 1);
    char id[ID_MAX];
    char *headers;

    shot->stream = st;
    shot->intended = intended;
    shot->number = st->sent + (uint64_t)(st - ex.stream) * NUMBERS_PER_STREAM;
    format_id(id, sizeof(id), shot);
    headers =
        g_strdup_printf("%sx-request-id: %s\r\n%s%s%s", st->headers, id,
                        st->needs_key ? "idempotency-key: " : "",
                        st->needs_key ? id : "", st->needs_key ? "\r\n" : "");
    ex.open++;
    rq.headers = headers;
    JdHttpc_Send(&st->http[st->sent % st->addresses], &rq, on_answer, shot);
    st->sent++;
    g_free(headers);
}

static void
on_tick(void *ctx)
{
    uint64_t now = JdClock_Now(&ex.loop.clock);
    uint64_t end = ex.start + (uint64_t)(ex.seconds * 1e6);

    (void)ctx;
    for (unsigned i = 0; i < ex.streams; i++) {
        Stream *st = &ex.stream[i];

        for (;;) {
            uint64_t due =
                ex.start + (uint64_t)((double)st->sent / st->rate * 1e6);

            if (due > now || due >= end) {
                break;
            }
            send_one(st, due);
        }
    }
    if (now >= end && (ex.open == 0 || now >= end + GRACE)) {
        JdLoop_Stop(&ex.loop);
        return;
    }
    JdTimer_Arm(&ex.loop.clock, &ex.tick, TICK);
}

static int
bad_file(const char *text)
{
    fprintf(stderr, "jd-load: %s\n", text);
    return 2;
}

static char *
format_headers(json_t *obj)
{
    GString *out = g_string_new(NULL);
    const char *key;
    json_t *v;

    json_object_foreach(obj, key, v)
    {
        g_string_append_printf(out, "%s: %s\r\n", key, json_string_value(v));
    }
    return g_string_free(out, FALSE);
}

static bool
add_stream(json_t *js)
{
    Stream *st = &ex.stream[ex.streams];
    json_t *to, *headers = NULL, *v;
    int key = 0;
    int timeout_ms = 5000;
    size_t i;

    if (ex.streams == STREAMS_MOST ||
        json_unpack(js, "{s:s, s:s, s:s, s:F, s:o, s?o, s?b, s?i}", "name",
                    &st->name, "method", &st->method, "path", &st->path,
                    "rate", &st->rate, "to", &to, "headers", &headers, "key",
                    &key, "timeout_ms", &timeout_ms) != 0) {
        return false;
    }
    st->needs_key = key != 0;
    st->timeout = (uint64_t)timeout_ms * JD_US_PER_MS;
    st->headers = format_headers(headers);
    st->reasons = g_hash_table_new(g_str_hash, g_str_equal);
    Histogram_Init(&st->all);
    Histogram_Init(&st->good);
    json_array_foreach(to, i, v)
    {
        if (st->addresses < ADDRESSES_MOST &&
            JdHttpc_Init(&st->http[st->addresses], &ex.loop,
                         json_string_value(v), CONNECTIONS, NULL) == JD_OK) {
            st->addresses++;
        }
    }
    ex.streams++;
    return st->addresses > 0 && st->rate > 0;
}

static void
print_stream(const Stream *st)
{
    GHashTableIter it;
    gpointer key, n;
    const char *comma = "";

    printf("{\"stream\": \"%s\", \"sent\": %llu, \"answered\": %llu, "
           "\"goodput_per_s\": %.1f, \"target_errors\": %llu, "
           "\"not_run\": %llu, \"unknown\": %llu, \"failed\": %llu, "
           "\"open\": %llu, \"crossed\": %llu, \"p50_ms\": %.2f, "
           "\"p99_ms\": %.2f, \"max_ms\": %.2f, \"all_p99_ms\": %.2f, "
           "\"reasons\": {",
           st->name, (unsigned long long)st->sent,
           (unsigned long long)st->answered, (double)st->answered / ex.seconds,
           (unsigned long long)st->errors, (unsigned long long)st->not_run,
           (unsigned long long)st->unknown, (unsigned long long)st->failed,
           (unsigned long long)ex.open, (unsigned long long)st->crossed,
           (double)Histogram_Quantile(&st->good, 0.5) / 1000,
           (double)Histogram_Quantile(&st->good, 0.99) / 1000,
           (double)st->good.max / 1000,
           (double)Histogram_Quantile(&st->all, 0.99) / 1000);
    g_hash_table_iter_init(&it, st->reasons);
    while (g_hash_table_iter_next(&it, &key, &n)) {
        printf("%s\"%s\": %u", comma, (char *)key, GPOINTER_TO_UINT(n));
        comma = ", ";
    }
    printf("}}\n");
}

/* Runs an experiment file and prints one JSON line for each stream. */
int
Load_RunExperiment(int argc, char **argv)
{
    json_t *list, *js;
    size_t i;

    if (argc != 2) {
        return bad_file("usage: jd-load run FILE");
    }
    ex.file = json_load_file(argv[1], JSON_REJECT_DUPLICATES, NULL);
    if (json_unpack(ex.file, "{s:F, s:o}", "seconds", &ex.seconds, "streams",
                    &list) != 0) {
        return bad_file("the experiment needs seconds and streams");
    }
    JdLoop_Init(&ex.loop);
    ex.loop.is_spinning = true;
    ex.run = JdLoop_WallClock();
    json_array_foreach(list, i, js)
    {
        if (!add_stream(js)) {
            return bad_file("a stream needs name, method, path, rate, to");
        }
    }
    JdTimer_Init(&ex.tick, on_tick, NULL);
    ex.start = JdClock_Now(&ex.loop.clock) + 100 * JD_US_PER_MS;
    JdTimer_Arm(&ex.loop.clock, &ex.tick, 100 * JD_US_PER_MS);
    JdLoop_Run(&ex.loop);
    for (unsigned s = 0; s < ex.streams; s++) {
        print_stream(&ex.stream[s]);
    }
    return 0;
}
