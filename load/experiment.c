/*
 * Open-loop load generator.  Each stream of the experiment file sends requests
 * at a fixed rate, whether or not earlier ones were answered.  Latency is
 * measured from the intended send time, so that a request which is sent late
 * counts its delay (no coordinated omission).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define MAX_STREAMS 8
#define MAX_ADDRESSES 64
/* Size of a request id, with its NUL. */
#define REQUEST_ID_SIZE 48
/* Request numbers reserved for each stream, so that ids are unique. */
#define NUMBERS_PER_STREAM UINT64_C(1000000000)
/* Connections to one address, per stream. */
#define CONNECTIONS_PER_ADDRESS 1000
/* Time after the end of the experiment for which answers are awaited. */
#define ANSWER_GRACE (2 * JD_US_PER_S)
/* Interval at which due requests are sent, in us. */
#define SEND_INTERVAL (20)

/* Requests of one kind, and the counts of their results. */
typedef struct Stream {
    const char *name;
    const char *method;
    const char *path;
    char *headers;
    bool needs_key;
    double rate;
    uint64_t timeout;
    JdHttpc http[MAX_ADDRESSES];
    unsigned address_count;
    uint64_t sent;
    uint64_t answered;      /* status below 400 */
    uint64_t target_errors; /* status 500, from the target itself */
    uint64_t not_run;       /* errors with "x-outcome: not-run" */
    uint64_t unknown;       /* errors with another x-outcome */
    uint64_t failed;        /* no answer */
    uint64_t crossed;       /* answers with the id of another request */
    GHashTable *reasons;    /* counts by x-reason */
    /* Latency in us of every answer, and of those that `answered` counts. */
    Histogram all_latency;
    Histogram success_latency;
} Stream;

/* A request that was sent and not answered yet. */
typedef struct PendingRequest {
    Stream *stream;
    uint64_t intended_at;
    uint64_t number; /* unique in the experiment */
} PendingRequest;

static struct {
    JdLoop loop;
    json_t *document;
    Stream streams[MAX_STREAMS];
    unsigned stream_count;
    double seconds;
    uint64_t start_at;
    uint64_t open;   /* requests in flight, of all streams */
    uint64_t run_id; /* wall clock at the start; prefix of request ids */
    JdTimer send_timer;
} experiment;

/* Formats the id of a request, which its answer must repeat. */
static void
format_id(char *buf, size_t size, const PendingRequest *pending)
{
    snprintf(buf, size, "%llx-%llu", (unsigned long long)experiment.run_id,
             (unsigned long long)pending->number);
}

/* Counts the value of an x-reason header. */
static void
count_reason(Stream *st, const JdHttpHeader *h)
{
    char *name = g_strndup(h->value, h->value_len);
    gpointer n = g_hash_table_lookup(st->reasons, name);

    g_hash_table_insert(st->reasons, name,
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static bool
has_name(const JdHttpHeader *h, const char *name)
{
    return h->name_len == strlen(name) &&
           memcmp(h->name, name, h->name_len) == 0;
}

/* Counts what the headers of an answer say about its request. */
static void
count_headers(Stream *st, const PendingRequest *pending,
              const JdHttpResponse *ans)
{
    char id[REQUEST_ID_SIZE];

    format_id(id, sizeof(id), pending);
    for (size_t i = 0; i < ans->header_count; i++) {
        const JdHttpHeader *h = &ans->header[i];

        if (has_name(h, "x-reason")) {
            count_reason(st, h);
        }
        if (has_name(h, "x-outcome") && ans->status >= 400) {
            bool is_not_run =
                h->value_len == 7 && memcmp(h->value, "not-run", 7) == 0;

            st->not_run += is_not_run;
            st->unknown += !is_not_run;
        }
        if (has_name(h, "x-request-id") &&
            (h->value_len != strlen(id) ||
             memcmp(h->value, id, h->value_len) != 0)) {
            st->crossed++;
        }
    }
}

static void
on_answer(void *ctx, const JdHttpResponse *ans)
{
    PendingRequest *pending = ctx;
    Stream *st = pending->stream;
    uint64_t latency =
        JdClock_Now(&experiment.loop.clock) - pending->intended_at;

    experiment.open--;
    if (ans->result != JD_HTTP_COMPLETED) {
        st->failed++;
    }
    else {
        Histogram_Add(&st->all_latency, latency);
        count_headers(st, pending, ans);
        if (ans->status < 400) {
            st->answered++;
            Histogram_Add(&st->success_latency, latency);
        }
        else if (ans->status == 500) {
            st->target_errors++;
        }
    }
    g_free(pending);
}

static void
send_request(Stream *st, uint64_t intended_at)
{
    JdHttpRequest request = {
        .method = st->method, .path = st->path, .timeout = st->timeout};
    PendingRequest *pending = g_new0(PendingRequest, 1);
    char id[REQUEST_ID_SIZE];
    char *headers;

    pending->stream = st;
    pending->intended_at = intended_at;
    pending->number =
        st->sent + (uint64_t)(st - experiment.streams) * NUMBERS_PER_STREAM;
    format_id(id, sizeof(id), pending);
    headers =
        g_strdup_printf("%sx-request-id: %s\r\n%s%s%s", st->headers, id,
                        st->needs_key ? "idempotency-key: " : "",
                        st->needs_key ? id : "", st->needs_key ? "\r\n" : "");
    experiment.open++;
    request.headers = headers;
    JdHttpc_Send(&st->http[st->sent % st->address_count], &request, on_answer,
                 pending);
    st->sent++;
    g_free(headers);
}

/* Sends the requests that are due; ends the experiment when it is over. */
static void
send_due_requests(void *ctx)
{
    uint64_t now = JdClock_Now(&experiment.loop.clock);
    uint64_t end = experiment.start_at + (uint64_t)(experiment.seconds * 1e6);

    (void)ctx;
    for (unsigned i = 0; i < experiment.stream_count; i++) {
        Stream *st = &experiment.streams[i];

        for (;;) {
            uint64_t due = experiment.start_at +
                           (uint64_t)((double)st->sent / st->rate * 1e6);

            if (due > now || due >= end) {
                break;
            }
            send_request(st, due);
        }
    }
    if (now >= end && (experiment.open == 0 || now >= end + ANSWER_GRACE)) {
        JdLoop_Stop(&experiment.loop);
        return;
    }
    JdTimer_Arm(&experiment.loop.clock, &experiment.send_timer, SEND_INTERVAL);
}

/* Prints an error of the command line or the experiment file. */
static int
print_usage_error(const char *text)
{
    fprintf(stderr, "jd-load: %s\n", text);
    return 2;
}

static char *
format_headers(json_t *headers)
{
    GString *out = g_string_new(NULL);
    const char *key;
    json_t *v;

    json_object_foreach(headers, key, v)
    {
        g_string_append_printf(out, "%s: %s\r\n", key, json_string_value(v));
    }
    return g_string_free(out, FALSE);
}

static bool
add_stream(json_t *spec)
{
    Stream *st = &experiment.streams[experiment.stream_count];
    json_t *to, *headers = NULL, *v;
    int key = 0;
    int timeout_ms = 5000;
    size_t i;

    if (experiment.stream_count == MAX_STREAMS ||
        json_unpack(spec, "{s:s, s:s, s:s, s:F, s:o, s?o, s?b, s?i}", "name",
                    &st->name, "method", &st->method, "path", &st->path,
                    "rate", &st->rate, "to", &to, "headers", &headers, "key",
                    &key, "timeout_ms", &timeout_ms) != 0) {
        return false;
    }
    st->needs_key = key != 0;
    st->timeout = (uint64_t)timeout_ms * JD_US_PER_MS;
    st->headers = format_headers(headers);
    st->reasons = g_hash_table_new(g_str_hash, g_str_equal);
    Histogram_Init(&st->all_latency);
    Histogram_Init(&st->success_latency);
    json_array_foreach(to, i, v)
    {
        if (st->address_count < MAX_ADDRESSES &&
            JdHttpc_Init(&st->http[st->address_count], &experiment.loop,
                         json_string_value(v), CONNECTIONS_PER_ADDRESS,
                         NULL) == JD_OK) {
            st->address_count++;
        }
    }
    experiment.stream_count++;
    return st->address_count > 0 && st->rate > 0;
}

static void
print_stream(const Stream *st)
{
    GHashTableIter iter;
    gpointer key, n;
    const char *comma = "";

    printf("{\"stream\": \"%s\", \"sent\": %llu, \"answered\": %llu, "
           "\"goodput_per_s\": %.1f, \"target_errors\": %llu, "
           "\"not_run\": %llu, \"unknown\": %llu, \"failed\": %llu, "
           "\"open\": %llu, \"crossed\": %llu, \"p50_ms\": %.2f, "
           "\"p99_ms\": %.2f, \"max_ms\": %.2f, \"all_p99_ms\": %.2f, "
           "\"reasons\": {",
           st->name, (unsigned long long)st->sent,
           (unsigned long long)st->answered,
           (double)st->answered / experiment.seconds,
           (unsigned long long)st->target_errors,
           (unsigned long long)st->not_run, (unsigned long long)st->unknown,
           (unsigned long long)st->failed, (unsigned long long)experiment.open,
           (unsigned long long)st->crossed,
           (double)Histogram_Quantile(&st->success_latency, 0.5) / 1000,
           (double)Histogram_Quantile(&st->success_latency, 0.99) / 1000,
           (double)st->success_latency.max / 1000,
           (double)Histogram_Quantile(&st->all_latency, 0.99) / 1000);
    g_hash_table_iter_init(&iter, st->reasons);
    while (g_hash_table_iter_next(&iter, &key, &n)) {
        printf("%s\"%s\": %u", comma, (char *)key, GPOINTER_TO_UINT(n));
        comma = ", ";
    }
    printf("}}\n");
}

/* Runs an experiment file and prints one JSON line for each stream. */
int
Load_RunExperiment(int argc, char **argv)
{
    json_t *list, *spec;
    size_t i;

    if (argc != 2) {
        return print_usage_error("usage: jd-load run FILE");
    }
    experiment.document =
        json_load_file(argv[1], JSON_REJECT_DUPLICATES, NULL);
    if (json_unpack(experiment.document, "{s:F, s:o}", "seconds",
                    &experiment.seconds, "streams", &list) != 0) {
        return print_usage_error(
            "the experiment file needs \"seconds\" and \"streams\"");
    }
    JdLoop_Init(&experiment.loop);
    experiment.loop.is_busy_polling = true;
    experiment.run_id = JdLoop_WallClock();
    json_array_foreach(list, i, spec)
    {
        if (!add_stream(spec)) {
            return print_usage_error(
                "invalid stream, or too many: each needs name, method, path, "
                "a rate above 0 and an address in \"to\"");
        }
    }
    JdTimer_Init(&experiment.send_timer, send_due_requests, NULL);
    experiment.start_at =
        JdClock_Now(&experiment.loop.clock) + 100 * JD_US_PER_MS;
    JdTimer_Arm(&experiment.loop.clock, &experiment.send_timer,
                100 * JD_US_PER_MS);
    JdLoop_Run(&experiment.loop);
    for (unsigned s = 0; s < experiment.stream_count; s++) {
        print_stream(&experiment.streams[s]);
    }
    return 0;
}
