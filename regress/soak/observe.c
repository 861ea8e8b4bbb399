/*
 * The observer of the soak: callers that send requests through random nodes
 * and write down what they got.  Judgement is passed afterwards, by joining
 * this record with those of the workers.
 *
 * A line for each request: id, kind (safe or unsafe), what the caller knows
 * (status, or not-sent, broken, timed-out), and whether a 200 was its own,
 * signed and whole.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../base/base.h"

#define NAME "jd-observe"
#define NODES_MOST 400
#define CONNECTIONS 32
#define TICK (5 * JD_US_PER_MS)
/* Time after which a caller gives up by itself, beyond what it tells. */
#define PATIENCE_MS 1500
#define PATIENCE_MORE (1000 * JD_US_PER_MS)

typedef struct Shot {
    char id[JD_NAME_MAX];
    bool is_safe;
} Shot;

static struct {
    JdLoop loop;
    JdHttpc node[NODES_MOST];
    unsigned nodes;
    JdRandom random;
    JdTimer tick;
    uint64_t seed;
    uint64_t sent;
    uint64_t open;
    uint64_t end;
    double per_tick;
    double owed;
} ob;

static const char *
end_name(const JdHttpResponse *ans)
{
    static const char *const names[JD_HTTP_RESULT_MAX] = {
        [JD_HTTP_COMPLETED] = "answered",  [JD_HTTP_NOT_SENT] = "not-sent",
        [JD_HTTP_DISCONNECTED] = "broken", [JD_HTTP_TIMED_OUT] = "timed-out",
        [JD_HTTP_MISMATCHED] = "crossed",
    };

    return names[ans->result];
}

/* Whether a success is signed, whole and the answer to this request. */
static bool
is_own(const JdHttpResponse *ans, const Shot *shot)
{
    char wanted[JD_NAME_MAX + 16];
    char *body = g_strndup(ans->body, ans->body_len);
    bool is_right;

    g_snprintf(wanted, sizeof(wanted), "\"id\":\"%s\"", shot->id);
    is_right =
        strstr(body, wanted) != NULL && body[ans->body_len - 1] == '}' &&
        JdHttpResponse_FindHeader(ans, "jacinthdyke-server-signature") != NULL;
    g_free(body);
    return is_right;
}

static void
on_answer(void *ctx, const JdHttpResponse *ans)
{
    Shot *shot = ctx;

    ob.open--;
    printf("%s %s ", shot->id, shot->is_safe ? "safe" : "unsafe");
    if (ans->result != JD_HTTP_COMPLETED) {
        printf("%s -\n", end_name(ans));
    }
    else {
        printf("%d %s\n", ans->status,
               ans->status != 200   ? "-"
               : ans->body_len == 0 ? "other"
               : is_own(ans, shot)  ? "own"
                                    : "other");
    }
    g_free(shot);
    if (ob.open == 0 && JdClock_Now(&ob.loop.clock) >= ob.end) {
        JdLoop_Stop(&ob.loop);
    }
}

static void
send_one(void)
{
    JdHttpc *hc = &ob.node[JdRandom_Below(&ob.random, ob.nodes)];
    Shot *shot = g_new0(Shot, 1);
    char path[JD_PATH_MAX], headers[JD_TEXT_MAX];
    JdHttpRequest rq = {.path = path,
                        .host = "shop.example",
                        .headers = headers,
                        .timeout = PATIENCE_MS * JD_US_PER_MS + PATIENCE_MORE};

    shot->is_safe = JdRandom_Below(&ob.random, 2) == 0;
    g_snprintf(shot->id, sizeof(shot->id),
               "s%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, ob.seed,
               ob.sent++);
    g_snprintf(path, sizeof(path), "/%s/%s", shot->is_safe ? "kiln" : "order",
               shot->id);
    g_snprintf(headers, sizeof(headers),
               "jacinthdyke-request-id: %s\r\n"
               "jacinthdyke-deadline-ms: %d\r\n",
               shot->id, PATIENCE_MS);
    rq.method = shot->is_safe ? "GET" : "POST";
    ob.open++;
    JdHttpc_Send(hc, &rq, on_answer, shot);
}

static void
on_tick(void *ctx)
{
    (void)ctx;
    if (JdClock_Now(&ob.loop.clock) >= ob.end) {
        if (ob.open == 0) {
            JdLoop_Stop(&ob.loop);
        }
        return;
    }
    JdTimer_Arm(&ob.loop.clock, &ob.tick, TICK);
    for (ob.owed += ob.per_tick; ob.owed >= 1; ob.owed -= 1) {
        send_one();
    }
}

int
main(int argc, char **argv)
{
    gdouble rate = 100;
    gdouble seconds = 10;
    gint64 seed = 1;
    GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT64, &seed, "seed", "N"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "requests a second", "N"},
        {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &seconds, "time", "S"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    int rc = JdProgram_ParseOptions(NAME, "IP:PORT... - callers of a soak",
                                    entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&ob.loop);
    for (int i = 1; i < argc && ob.nodes < NODES_MOST; i++) {
        if (JdHttpc_Init(&ob.node[ob.nodes++], &ob.loop, argv[i], CONNECTIONS,
                         &err) != JD_OK) {
            return JdProgram_Fail(NAME, &err);
        }
    }
    if (ob.nodes == 0) {
        return JdProgram_UsageError(NAME, "addresses of nodes are required");
    }
    ob.seed = (uint64_t)seed;
    JdRandom_Init(&ob.random, ob.seed);
    ob.per_tick = rate * (double)TICK / 1e6;
    ob.end = JdClock_Now(&ob.loop.clock) + (uint64_t)(seconds * 1e6);
    JdTimer_Init(&ob.tick, on_tick, NULL);
    JdTimer_Arm(&ob.loop.clock, &ob.tick, 0);
    return JdProgram_Run(&ob.loop);
}
