/*
 * Test target: an HTTP server that responds after a configurable service time,
 * counts runs per idempotency key and simulates faults on request.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../base/base.h"

#define NAME "jd-targetd"
/* Largest text that a request may ask for. */
#define MAX_FILLER (16U << 20)
#define MAX_BODY_BYTES (8U << 20)
/* Connections to the node through which the next service is called. */
#define MAX_NEXT_CONNECTIONS 64
/* Interval of the checks for callers that disconnected. */
#define CALLER_CHECK_INTERVAL (50 * JD_US_PER_MS)

/* Behaviour, set with /-/control. */
typedef enum Mode {
    MODE_UP,    /* responds normally */
    MODE_SHED,  /* 503 with "x-outcome: not-run" */
    MODE_ERROR, /* 500 after running */
    MODE_STALL, /* never responds */
    MODE_MAX
} Mode;

static const char *const mode_names[MODE_MAX] = {
    [MODE_UP] = "up",
    [MODE_SHED] = "shed",
    [MODE_ERROR] = "error",
    [MODE_STALL] = "stall",
};

/* A request in progress or waiting for a slot. */
typedef struct Job {
    TAILQ_ENTRY(Job) link;
    h2o_req_t *req;
    struct Job **request_ref; /* in the request's memory, points to this job;
                               * NULL there once the job is freed */
    JdTimer timer;
    uint64_t work_us; /* service time */
    bool is_started;
    JdHttpCall *call; /* to the next service, or NULL */
} Job;

typedef struct Targetd {
    JdLoop loop;
    JdHttpd httpd;
    gchar *name;
    Mode mode;
    uint64_t service_us;
    uint64_t ran;
    uint64_t cancelled;
    uint64_t running;
    uint64_t max_running;
    uint64_t slots;   /* jobs in progress at a time, 0: no limit */
    uint64_t working; /* jobs that have a slot */
    GHashTable *keys; /* idempotency key -> number of runs */
    TAILQ_HEAD(, Job) jobs;
    JdTimer caller_check_timer;
    JdHttpc next;        /* node through which the next service is called */
    gchar *next_path;    /* NULL: no next service is called */
    bool strips_retry;   /* x-retry of its responses is not relayed */
    uint64_t checked_at; /* time of the last check of the callers, 0: none */
    uint64_t max_delay;  /* most that a check was late */
    uint64_t shed;
    char rate_limit[16]; /* that it names in its answers, empty: none */
    bool is_leaving;     /* it says so in its answers */
} Targetd;

static Targetd targetd;

static void
free_job(Job *job)
{
    targetd.running--;
    if (job->is_started) {
        targetd.working--;
    }
    TAILQ_REMOVE(&targetd.jobs, job, link);
    if (job->request_ref != NULL) {
        *job->request_ref = NULL;
    }
    JdTimer_Cancel(&targetd.loop.clock, &job->timer);
    if (job->call != NULL) {
        JdHttpc_Cancel(job->call);
    }
    g_free(job);
}

/* Starts waiting jobs in order of arrival while slots are free. */
static void
start_waiting_jobs(void)
{
    Job *job;

    TAILQ_FOREACH(job, &targetd.jobs, link)
    {
        if (targetd.slots != 0 && targetd.working >= targetd.slots) {
            return;
        }
        if (!job->is_started) {
            job->is_started = true;
            targetd.working++;
            JdTimer_Arm(&targetd.loop.clock, &job->timer, job->work_us);
        }
    }
}

/* Relays the next service's response: its status and, of an error, the headers
 * about the outcome and retries. */
static void
on_next_response(void *ctx, const JdHttpResponse *ans)
{
    static const char *const relayed[] = {"x-outcome", "x-retry"};
    Job *job = ctx;
    h2o_req_t *req = job->req;
    int status = ans->result == JD_HTTP_COMPLETED ? ans->status : 502;

    job->call = NULL;
    free_job(job);
    start_waiting_jobs();
    for (size_t i = 0; status >= 400 && i < ans->header_count; i++) {
        const JdHttpHeader *h = &ans->header[i];

        for (unsigned k = 0; k < (targetd.strips_retry ? 1 : 2); k++) {
            if (h->name_len == strlen(relayed[k]) &&
                memcmp(h->name, relayed[k], h->name_len) == 0) {
                char *value = g_strndup(h->value, h->value_len);

                JdHttpd_AddHeader(req, relayed[k], value);
                g_free(value);
            }
        }
    }
    JdHttpd_Reply(req, status, "text/plain", "relayed\n", 8);
}

static void
call_next(Job *job)
{
    job->call = JdHttpc_Get(&targetd.next, targetd.next_path, 10 * JD_US_PER_S,
                            on_next_response, job);
}

/* Adds a text to the answer of the length that the request asks for. */
static void
add_filler(h2o_req_t *req, json_t *answer)
{
    char text[16];
    gsize n;
    gchar *filler;

    if (!JdHttpd_CopyHeader(req, "x-answer-bytes", text, sizeof(text))) {
        return;
    }
    n = strtoull(text, NULL, 10) % MAX_FILLER;
    filler = g_strnfill(n, 'x');
    json_object_set_new(answer, "filler", json_stringn(filler, n));
    g_free(filler);
}

static void
on_work_done(void *ctx)
{
    Job *job = ctx;
    h2o_req_t *req = job->req;
    char id[JD_NAME_MAX] = "";
    json_t *answer;
    char *path;

    if (targetd.next_path != NULL) {
        call_next(job);
        return;
    }
    path = g_strndup(req->path.base, req->path.len);

    free_job(job);
    start_waiting_jobs();
    JdHttpd_CopyHeader(req, "x-request-id", id, sizeof(id));
    if (id[0] != '\0') {
        JdHttpd_AddHeader(req, "x-request-id", id);
    }
    answer =
        json_pack("{s:s, s:s, s:s, s:I}", "target", targetd.name, "path", path,
                  "id", id, "body_bytes", (json_int_t)req->entity.len);
    add_filler(req, answer);
    JdHttpd_ReplyJson(req, targetd.mode == MODE_ERROR ? 500 : 200, answer);
    g_free(path);
}

/* The library frees a request: cancels its job if there still is one. */
static void
on_request_disposed(void *data)
{
    Job **ref = data;

    if (*ref != NULL) {
        (*ref)->request_ref = NULL;
        targetd.cancelled++;
        free_job(*ref);
    }
}

/* Records how long this process was kept from its work, by the time since the
 * last check of the callers. */
static void
record_delay(void)
{
    uint64_t now = JdClock_Now(&targetd.loop.clock);
    uint64_t due = targetd.checked_at + CALLER_CHECK_INTERVAL;

    if (targetd.checked_at != 0 && now > due &&
        now - due > targetd.max_delay) {
        targetd.max_delay = now - due;
    }
    targetd.checked_at = now;
}

/* Cancels the jobs whose callers have disconnected. */
static void
on_caller_check(void *ctx)
{
    Job *job, *next;

    (void)ctx;
    record_delay();
    JdTimer_Arm(&targetd.loop.clock, &targetd.caller_check_timer,
                CALLER_CHECK_INTERVAL);
    for (job = TAILQ_FIRST(&targetd.jobs); job != NULL; job = next) {
        h2o_req_t *req = job->req;
        struct pollfd pfd;

        next = TAILQ_NEXT(job, link);
        if (JdHttpd_WatchDisconnect(req, &pfd) && poll(&pfd, 1, 0) > 0 &&
            JdHttpd_HasDisconnected(&pfd)) {
            targetd.cancelled++;
            free_job(job);
            /* Writing the reply makes the library close the connection. */
            JdHttpd_Reply(req, 499, NULL, "", 0);
        }
    }
}

static void
count_key(const h2o_req_t *req)
{
    char key[JD_NAME_MAX];
    gpointer n;

    if (!JdHttpd_CopyHeader(req, "idempotency-key", key, sizeof(key))) {
        return;
    }
    n = g_hash_table_lookup(targetd.keys, key);
    g_hash_table_insert(targetd.keys, g_strdup(key),
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void
start_job(h2o_req_t *req)
{
    Job *job;
    char text[16];
    uint64_t work_us = targetd.service_us;

    targetd.ran++;
    count_key(req);
    if (JdHttpd_CopyHeader(req, "x-work-us", text, sizeof(text))) {
        work_us = strtoull(text, NULL, 10);
    }
    job = g_new0(Job, 1);
    job->req = req;
    job->request_ref =
        h2o_mem_alloc_shared(&req->pool, sizeof(Job *), on_request_disposed);
    *job->request_ref = job;
    TAILQ_INSERT_TAIL(&targetd.jobs, job, link);
    targetd.running++;
    if (targetd.running > targetd.max_running) {
        targetd.max_running = targetd.running;
    }
    JdTimer_Init(&job->timer, on_work_done, job);
    if (targetd.mode == MODE_STALL) {
        return;
    }
    job->work_us = work_us;
    if (work_us == 0) {
        on_work_done(job);
        return;
    }
    start_waiting_jobs();
}

static void
on_stats(h2o_req_t *req)
{
    json_t *keys = json_object();
    GHashTableIter it;
    gpointer key, n;

    g_hash_table_iter_init(&it, targetd.keys);
    while (g_hash_table_iter_next(&it, &key, &n)) {
        json_object_set_new(keys, key, json_integer(GPOINTER_TO_UINT(n)));
    }
    JdHttpd_ReplyJson(
        req, 200,
        json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "target",
                  targetd.name, "shed", (json_int_t)targetd.shed, "ran",
                  (json_int_t)targetd.ran, "cancelled",
                  (json_int_t)targetd.cancelled, "running",
                  (json_int_t)targetd.running, "running_most",
                  (json_int_t)targetd.max_running, "delay_most_us",
                  (json_int_t)targetd.max_delay, "keys", keys));
}

static void
on_control(h2o_req_t *req)
{
    char mode[16];

    if (JdHttpd_CopyQueryParam(req, "mode", mode, sizeof(mode))) {
        for (int m = 0; m < MODE_MAX; m++) {
            if (strcmp(mode, mode_names[m]) == 0) {
                targetd.mode = (Mode)m;
            }
        }
    }
    targetd.service_us =
        JdHttpd_QueryNumber(req, "service_us", targetd.service_us);
    JdHttpd_CopyQueryParam(req, "limit", targetd.rate_limit,
                           sizeof(targetd.rate_limit));
    if (strcmp(targetd.rate_limit, "none") == 0) {
        targetd.rate_limit[0] = '\0';
    }
    targetd.is_leaving =
        JdHttpd_QueryNumber(req, "leaving", targetd.is_leaving) != 0;
    if (JdHttpd_QueryNumber(req, "reset", 0) != 0) {
        targetd.max_running = targetd.running;
        targetd.max_delay = 0;
    }
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:s}", "mode", mode_names[targetd.mode]));
}

/* Adds what the target says of itself in all its answers. */
static void
add_notices(h2o_req_t *req)
{
    if (targetd.rate_limit[0] != '\0') {
        JdHttpd_AddHeader(req, "x-rate-limit", targetd.rate_limit);
    }
    if (targetd.is_leaving) {
        JdHttpd_AddHeader(req, "x-leaving", "1");
    }
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    add_notices(req);
    if (JdHttpd_IsPath(req, "/health")) {
        JdHttpd_ReplyJson(req, 200, json_pack("{s:s}", "health", "ok"));
    }
    else if (JdHttpd_IsPath(req, "/-/stats")) {
        on_stats(req);
    }
    else if (JdHttpd_IsPath(req, "/-/control")) {
        on_control(req);
    }
    else if (targetd.mode == MODE_SHED) {
        targetd.shed++;
        JdHttpd_AddHeader(req, "x-outcome", "not-run");
        JdHttpd_Reply(req, 503, "text/plain", "shed\n", 5);
    }
    else {
        start_job(req);
    }
}

int
main(int argc, char **argv)
{
    gchar *listen = NULL;
    gint service = 0;
    gint slots = 0;
    gchar *next = NULL;
    gboolean strips = FALSE;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "address", "IP:PORT"},
        {"name", 'n', 0, G_OPTION_ARG_STRING, &targetd.name, "name", "NAME"},
        {"service-us", 0, 0, G_OPTION_ARG_INT, &service,
         "service time of a request", "US"},
        {"next", 0, 0, G_OPTION_ARG_STRING, &next,
         "address of the node that forwards to the next service", "IP:PORT"},
        {"next-path", 0, 0, G_OPTION_ARG_STRING, &targetd.next_path,
         "path to request from the next service", "PATH"},
        {"strip-retry", 0, 0, G_OPTION_ARG_NONE, &strips,
         "do not relay x-retry headers", NULL},
        {"slots", 0, 0, G_OPTION_ARG_INT, &slots,
         "requests in progress at a time", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err;
    int rc =
        JdProgram_ParseOptions(NAME, "- test target", entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (listen == NULL || targetd.name == NULL) {
        return JdProgram_UsageError(NAME, "--listen and --name are required");
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&targetd.loop);
    TAILQ_INIT(&targetd.jobs);
    targetd.keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    targetd.service_us = (uint64_t)service;
    targetd.slots = (uint64_t)slots;
    targetd.strips_retry = strips;
    if ((next != NULL && JdHttpc_Init(&targetd.next, &targetd.loop, next,
                                      MAX_NEXT_CONNECTIONS, &err) != JD_OK) ||
        JdHttpd_Init(&targetd.httpd, &targetd.loop, listen, MAX_BODY_BYTES,
                     on_request, NULL, &err) != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    JdTimer_Init(&targetd.caller_check_timer, on_caller_check, NULL);
    JdTimer_Arm(&targetd.loop.clock, &targetd.caller_check_timer,
                CALLER_CHECK_INTERVAL);
    return JdProgram_Run(&targetd.loop);
}
