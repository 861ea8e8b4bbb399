/*
 * Load client of the fault soak.  Sends requests through randomly chosen nodes
 * and prints a line for each result; the soak compares these lines with the
 * workers' records after the run.
 *
 * Each line has seven fields: request id, kind (safe or unsafe), result (HTTP
 * status, not-sent, broken, timed-out or crossed); for status 200 "own" if the
 * response is signed, complete and has the id of the request, otherwise
 * "other", and "-" for all other results; the address of the node, and the
 * times in us at which the request was sent and ended.
 *
 * Each request names a client account by its key.  The ids of requests of the
 * account "limited", which has a quota, end with "-q", those of the others,
 * which are of the account "free", with "-f".
 *
 * An answer in which the worker says that it leaves gets another line, in the
 * form of the workers' records: time in us, worker, "said-leaving", request
 * id.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../base/base.h"

#define NAME "jd-observe"
#define MAX_NODES 400
#define CONNECTIONS_PER_NODE 32
#define SEND_INTERVAL_US (5 * JD_US_PER_MS)
/* One of so many requests is of the account with a quota. */
#define LIMITED_SHARE 3
/* Time past the deadline after which the client gives up on a response. */
#define TIMEOUT_MARGIN_US (1000 * JD_US_PER_MS)

typedef struct PendingRequest {
    char id[JD_NAME_MAX];
    bool is_safe;
    const JdHttpc *node;
    uint64_t sent_at; /* wall clock */
} PendingRequest;

static struct {
    JdLoop loop;
    JdHttpc nodes[MAX_NODES]; /* a client for each node */
    unsigned node_count;
    JdRandom random;
    JdTimer send_timer;
    uint64_t seed;
    uint64_t sent; /* number of requests so far, part of their ids */
    uint64_t in_flight;
    uint64_t end_at; /* no request is sent from this time on */
    double requests_per_interval;
    double requests_due; /* may have a fraction that carries over */
    int deadline_ms;     /* sent with each request */
    int work_ms;         /* requests take up to this time; 0: not told */
} observer;

static const char *
result_name(const JdHttpResponse *resp)
{
    static const char *const names[JD_HTTP_RESULT_MAX] = {
        [JD_HTTP_COMPLETED] = "answered",  [JD_HTTP_NOT_SENT] = "not-sent",
        [JD_HTTP_DISCONNECTED] = "broken", [JD_HTTP_TIMED_OUT] = "timed-out",
        [JD_HTTP_MISMATCHED] = "crossed",  [JD_HTTP_TOO_LARGE] = "broken",
    };

    return names[resp->result];
}

/*
 * Returns whether the response is signed, complete and has the id of the
 * request.  The body must not be empty.
 */
static bool
is_valid_response(const JdHttpResponse *resp, const PendingRequest *pending)
{
    char id_field[JD_NAME_MAX + 16];
    char *body = g_strndup(resp->body, resp->body_len);
    bool is_valid;

    g_snprintf(id_field, sizeof(id_field), "\"id\":\"%s\"", pending->id);
    is_valid =
        strstr(body, id_field) != NULL && body[resp->body_len - 1] == '}' &&
        JdHttpResponse_FindHeader(resp, "jacinthdyke-server-signature") !=
            NULL;
    g_free(body);
    return is_valid;
}

/* Prints that an answer was passed on in which its worker says that it leaves.
 */
static void
print_notice(const JdHttpResponse *resp, const PendingRequest *pending)
{
    const JdHttpHeader *worker =
        JdHttpResponse_FindHeader(resp, "jacinthdyke-server-signature");

    if (worker != NULL &&
        JdHttpResponse_FindHeader(resp, "server-leaving") != NULL) {
        printf("%" G_GUINT64_FORMAT " %.*s said-leaving %s\n",
               JdLoop_WallClock(), (int)worker->value_len, worker->value,
               pending->id);
    }
}

static void
on_response(void *ctx, const JdHttpResponse *resp)
{
    PendingRequest *pending = ctx;

    observer.in_flight--;
    printf("%s %s ", pending->id, pending->is_safe ? "safe" : "unsafe");
    if (resp->result != JD_HTTP_COMPLETED) {
        printf("%s - ", result_name(resp));
    }
    else {
        printf("%d %s ", resp->status,
               resp->status != 200                ? "-"
               : resp->body_len == 0              ? "other"
               : is_valid_response(resp, pending) ? "own"
                                                  : "other");
    }
    printf("%s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
           pending->node->host, pending->sent_at, JdLoop_WallClock());
    if (resp->result == JD_HTTP_COMPLETED) {
        print_notice(resp, pending);
    }
    g_free(pending);
    if (observer.in_flight == 0 &&
        JdClock_Now(&observer.loop.clock) >= observer.end_at) {
        JdLoop_Stop(&observer.loop);
    }
}

static void
send_request(void)
{
    /* Whether a request may run more than once does not follow from these. */
    static const char *const methods[] = {"GET", "POST", "OPTIONS", "PUT",
                                          "DELETE"};
    JdHttpc *hc =
        &observer.nodes[JdRandom_Below(&observer.random, observer.node_count)];
    char work[JD_NAME_MAX] = "";
    PendingRequest *pending = g_new0(PendingRequest, 1);
    bool is_limited = JdRandom_Below(&observer.random, LIMITED_SHARE) == 0;
    char path[JD_PATH_MAX], headers[JD_TEXT_MAX];
    JdHttpRequest rq = {.path = path,
                        .host = "shop.example",
                        .headers = headers,
                        .timeout =
                            (uint64_t)observer.deadline_ms * JD_US_PER_MS +
                            TIMEOUT_MARGIN_US};

    pending->is_safe = JdRandom_Below(&observer.random, 2) == 0;
    g_snprintf(pending->id, sizeof(pending->id),
               "s%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT "-%c",
               observer.seed, observer.sent++, is_limited ? 'q' : 'f');
    if (observer.work_ms > 0) {
        g_snprintf(work, sizeof(work), "work-%u/",
                   (unsigned)JdRandom_Below(&observer.random,
                                            (uint64_t)observer.work_ms));
    }
    g_snprintf(path, sizeof(path), "/%s/%s%s",
               pending->is_safe ? "kiln" : "order", work, pending->id);
    g_snprintf(headers, sizeof(headers),
               "jacinthdyke-request-id: %s\r\n"
               "jacinthdyke-deadline-ms: %d\r\n"
               "jacinthdyke-credential: %s\r\n",
               pending->id, observer.deadline_ms,
               is_limited ? "key-of-limited" : "key-of-free");
    rq.method = methods[observer.sent % G_N_ELEMENTS(methods)];
    pending->node = hc;
    pending->sent_at = JdLoop_WallClock();
    observer.in_flight++;
    JdHttpc_Send(hc, &rq, on_response, pending);
}

static void
send_due_requests(void *ctx)
{
    (void)ctx;
    if (JdClock_Now(&observer.loop.clock) >= observer.end_at) {
        if (observer.in_flight == 0) {
            JdLoop_Stop(&observer.loop);
        }
        return;
    }
    JdTimer_Arm(&observer.loop.clock, &observer.send_timer, SEND_INTERVAL_US);
    for (observer.requests_due += observer.requests_per_interval;
         observer.requests_due >= 1; observer.requests_due -= 1) {
        send_request();
    }
}

int
main(int argc, char **argv)
{
    gdouble rate = 100;
    gdouble seconds = 10;
    gint64 seed = 1;
    GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT64, &seed,
         "seed of the random generator", "N"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "requests per second",
         "N"},
        {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &seconds,
         "time for which requests are sent", "S"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &observer.deadline_ms,
         "deadline of requests", "MS"},
        {"work-ms", 0, 0, G_OPTION_ARG_INT, &observer.work_ms,
         "requests take up to this time", "MS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    int rc;

    observer.deadline_ms = 1500;
    rc = JdProgram_ParseOptions(NAME,
                                "IP:PORT... - load client of the fault soak",
                                entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&observer.loop);
    for (int i = 1; i < argc && observer.node_count < MAX_NODES; i++) {
        if (JdHttpc_Init(&observer.nodes[observer.node_count++],
                         &observer.loop, argv[i], CONNECTIONS_PER_NODE,
                         &err) != JD_OK) {
            return JdProgram_Fail(NAME, &err);
        }
    }
    if (observer.node_count == 0) {
        return JdProgram_UsageError(NAME, "addresses of nodes are required");
    }
    observer.seed = (uint64_t)seed;
    JdRandom_Init(&observer.random, observer.seed);
    observer.requests_per_interval = rate * (double)SEND_INTERVAL_US / 1e6;
    observer.end_at =
        JdClock_Now(&observer.loop.clock) + (uint64_t)(seconds * 1e6);
    JdTimer_Init(&observer.send_timer, send_due_requests, NULL);
    JdTimer_Arm(&observer.loop.clock, &observer.send_timer, 0);
    return JdProgram_Run(&observer.loop);
}
