/*
 * Stand-in for a worker of the platform: answers requests that name it, says
 * that it lives to the node beside it, and keeps a record of what ran.
 *
 *   /-/control?NAME=VALUE   mode=ok|shed|stall|early|unsigned, id=ID (another
 *                           process at this address), say=ready|draining|
 *                           nothing|noise, leave=1 (deregisters)
 *   /-/stats                requests that ran, by path
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../base/base.h"

#define NAME "jd-workerd"
#define BODY_MOST (4U << 20)
#define ANSWER_TIME JD_US_PER_S

/* One request under work. */
typedef struct Job {
    TAILQ_ENTRY(Job) link;
    h2o_req_t *req;    /* NULL: its caller is gone */
    struct Job **slot; /* cleared when the job ends before its request */
    JdTimer timer;
} Job;

static struct {
    JdLoop loop;
    JdHttpd httpd;
    JdHttpc node;
    JdTimer beat;
    char id[JD_NAME_MAX];
    char mode[JD_NAME_MAX];
    char say[JD_NAME_MAX];
    gchar *listen;
    gchar *service;
    uint64_t started;
    uint64_t sequence;
    uint64_t work;
    uint64_t ran;
    uint64_t acknowledged;
    uint64_t refused_by_node;
    GHashTable *by_path;
    FILE *record; /* what ran and what was acknowledged, or NULL */
    int slots;
    int beat_ms;
} wk;

/* ---- what it says of itself -------------------------------------------- */

/* Adds a line to the record: time in us, id of this process, what, which. */
static void
record(const char *what, const char *which)
{
    if (wk.record != NULL) {
        fprintf(wk.record, "%" G_GUINT64_FORMAT " %s %s %s\n",
                JdLoop_WallClock(), wk.id, what, which);
        fflush(wk.record);
    }
}

/* `ctx` says what was told, where it means that no new work may come. */
static void
on_acknowledged(void *ctx, const JdHttpResponse *ans)
{
    if (ans->result == JD_HTTP_COMPLETED && ans->status == 200) {
        wk.acknowledged++;
        if (ctx != NULL) {
            record("leaving", ctx);
        }
    }
    else if (ans->result == JD_HTTP_COMPLETED) {
        wk.refused_by_node++;
    }
}

static void
tell(const char *call, const char *body)
{
    char path[JD_PATH_MAX];
    JdHttpRequest rq = {.method = "POST",
                        .path = path,
                        .body = body,
                        .body_len = strlen(body),
                        .timeout = ANSWER_TIME};

    g_snprintf(path, sizeof(path), "/Instances.%s/%s", call, wk.id);
    JdHttpc_Send(&wk.node, &rq, on_acknowledged,
                 strcmp(call, "Deregister") == 0   ? "left"
                 : strcmp(wk.say, "draining") == 0 ? "draining"
                                                   : NULL);
}

static void
on_beat(void *ctx)
{
    json_t *js;
    char *text;

    (void)ctx;
    JdTimer_Arm(&wk.loop.clock, &wk.beat, (uint64_t)wk.beat_ms * JD_US_PER_MS);
    if (strcmp(wk.say, "nothing") == 0) {
        return;
    }
    if (strcmp(wk.say, "noise") == 0) {
        tell("Heartbeat", "{\"address\": 7, ");
        return;
    }
    wk.sequence++;
    js = json_pack("{s:s, s:I, s:{s:s, s:s, s:s, s:i}, s:{s:s, s:I, s:f}}",
                   "address", wk.listen, "born", (json_int_t)wk.started,
                   "info", "service", wk.service, "version", "v1", "zone", "z",
                   "slots", wk.slots, "status", "state", wk.say, "sequence",
                   (json_int_t)wk.sequence, "warmup_left_s", 0.0);
    text = json_dumps(js, JSON_COMPACT);
    tell("Heartbeat", text);
    free(text);
    json_decref(js);
}

/* ---- requests ---------------------------------------------------------- */

static void
end_job(Job *job)
{
    JdTimer_Cancel(&wk.loop.clock, &job->timer);
    if (job->slot != NULL) {
        *job->slot = NULL;
    }
    g_free(job);
}

static void
on_gone(void *data)
{
    Job *job = *(Job **)data;

    if (job != NULL) {
        job->req = NULL;
        job->slot = NULL;
    }
}

static void
reply(h2o_req_t *req)
{
    char id[JD_NAME_MAX] = "";
    char caller[JD_NAME_MAX] = "";
    char *text;
    json_t *js;

    if (JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id))) {
        JdHttpd_AddHeader(req, "jacinthdyke-request-id", id);
    }
    JdHttpd_CopyHeader(req, "jacinthdyke-caller-service", caller,
                       sizeof(caller));
    JdHttpd_AddHeader(req, "jacinthdyke-server-signature", wk.id);
    js = json_pack("{s:s, s:s, s:s, s:s%}", "worker", wk.id, "caller", caller,
                   "id", id, "path", req->path.base, req->path.len);
    text = json_dumps(js, JSON_COMPACT);
    JdHttpd_Reply(req, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(js);
}

static void
on_done(void *ctx)
{
    Job *job = ctx;

    if (job->req != NULL) {
        reply(job->req);
    }
    end_job(job);
}

static void
run(h2o_req_t *req)
{
    Job *job = g_new0(Job, 1);
    Job **slot = h2o_mem_alloc_shared(&req->pool, sizeof(Job *), on_gone);
    char *path = g_strndup(req->path.base, req->path.len);
    char id[JD_NAME_MAX] = "";

    *slot = job;
    job->slot = slot;
    job->req = req;
    JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id));
    record("ran", id);
    wk.ran++;
    g_hash_table_insert(
        wk.by_path, path,
        GSIZE_TO_POINTER(
            GPOINTER_TO_SIZE(g_hash_table_lookup(wk.by_path, path)) + 1));
    JdTimer_Init(&job->timer, on_done, job);
    if (strcmp(wk.mode, "stall") != 0) {
        JdTimer_Arm(&wk.loop.clock, &job->timer, wk.work);
    }
}

static void
on_work(h2o_req_t *req)
{
    char wanted[JD_NAME_MAX];

    if (JdHttpd_CopyHeader(req, "jacinthdyke-expected-instance", wanted,
                           sizeof(wanted)) &&
        strcmp(wanted, wk.id) != 0) {
        JdHttpd_AddHeader(req, "jacinthdyke-instance-id", wk.id);
        JdHttpd_Reply(req, 421, "text/plain", "another process\n", 16);
    }
    else if (strcmp(wk.mode, "shed") == 0) {
        char id[JD_NAME_MAX] = "";

        JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id));
        JdHttpd_AddHeader(req, "jacinthdyke-request-id", id);
        JdHttpd_AddHeader(req, "jacinthdyke-not-executed", "1");
        JdHttpd_Reply(req, 503, "text/plain", "full\n", 5);
    }
    else {
        run(req);
    }
}

static void
on_control(h2o_req_t *req)
{
    JdHttpd_CopyQueryParam(req, "mode", wk.mode, sizeof(wk.mode));
    JdHttpd_CopyQueryParam(req, "say", wk.say, sizeof(wk.say));
    if (JdHttpd_CopyQueryParam(req, "id", wk.id, sizeof(wk.id))) {
        wk.started = JdLoop_WallClock() / JD_US_PER_MS;
        wk.sequence = 0;
    }
    if (JdHttpd_QueryNumber(req, "leave", 0) != 0) {
        char text[64];

        g_snprintf(text, sizeof(text), "{\"born\":%" G_GUINT64_FORMAT "}",
                   wk.started);
        tell("Deregister", text);
        g_strlcpy(wk.say, "nothing", sizeof(wk.say));
    }
    JdHttpd_Reply(req, 200, "text/plain", "ok\n", 3);
}

static void
on_stats(h2o_req_t *req)
{
    json_t *js = json_pack("{s:I, s:I, s:I}", "ran", (json_int_t)wk.ran,
                           "acknowledged", (json_int_t)wk.acknowledged,
                           "refused", (json_int_t)wk.refused_by_node);
    GHashTableIter it;
    gpointer key, value;

    g_hash_table_iter_init(&it, wk.by_path);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        json_object_set_new(js, key,
                            json_integer((json_int_t)GPOINTER_TO_SIZE(value)));
    }
    JdHttpd_ReplyJson(req, 200, js);
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    if (JdHttpd_IsPath(req, "/-/control")) {
        on_control(req);
    }
    else if (JdHttpd_IsPath(req, "/-/stats")) {
        on_stats(req);
    }
    else {
        on_work(req);
    }
}

int
main(int argc, char **argv)
{
    gchar *node = NULL;
    gchar *id = NULL;
    gchar *file = NULL;
    gint work_ms = 5;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &wk.listen, "address",
         "IP:PORT"},
        {"node", 'n', 0, G_OPTION_ARG_STRING, &node,
         "address that takes heartbeats", "IP:PORT"},
        {"id", 'i', 0, G_OPTION_ARG_STRING, &id, "id of this process", "ID"},
        {"service", 's', 0, G_OPTION_ARG_STRING, &wk.service, "service",
         "NAME"},
        {"record", 'r', 0, G_OPTION_ARG_FILENAME, &file,
         "file to which what ran is written", "FILE"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &wk.slots, "slots", "N"},
        {"beat-ms", 0, 0, G_OPTION_ARG_INT, &wk.beat_ms, "between heartbeats",
         "MS"},
        {"work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "work of a request",
         "MS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    JdStatus s;
    int rc;

    wk.slots = 4;
    wk.beat_ms = 200;
    rc = JdProgram_ParseOptions(NAME, "- stand-in of a worker", entries, &argc,
                                &argv);
    if (rc != 0) {
        return rc;
    }
    if (wk.listen == NULL || node == NULL || id == NULL ||
        wk.service == NULL) {
        return JdProgram_UsageError(NAME,
                                    "listen, node, id, service are required");
    }
    if (file != NULL) {
        wk.record = fopen(file, "a");
    }
    g_strlcpy(wk.id, id, sizeof(wk.id));
    g_strlcpy(wk.mode, "ok", sizeof(wk.mode));
    g_strlcpy(wk.say, "ready", sizeof(wk.say));
    wk.work = (uint64_t)work_ms * JD_US_PER_MS;
    wk.started = JdLoop_WallClock() / JD_US_PER_MS;
    wk.by_path = g_hash_table_new(g_str_hash, g_str_equal);
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&wk.loop);
    s = JdHttpd_Init(&wk.httpd, &wk.loop, wk.listen, BODY_MOST, on_request,
                     NULL, &err);
    if (s == JD_OK) {
        s = JdHttpc_Init(&wk.node, &wk.loop, node, 2, &err);
    }
    if (s != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    JdTimer_Init(&wk.beat, on_beat, NULL);
    JdTimer_Arm(&wk.loop.clock, &wk.beat, 0);
    return JdProgram_Run(&wk.loop);
}
