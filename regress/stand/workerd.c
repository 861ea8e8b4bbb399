/*
 * Fake of a worker on the platform for tests: answers requests that are meant
 * for it, sends heartbeats to the local node, and records what it executed.
 *
 *   /-/control?NAME=VALUE  changes the behaviour:
 *       mode=ok|shed|stall  answer, refuse without executing, or never answer
 *       mode=error          answer 500, with no word of limit and leaving
 *       mode=lose           run, and close the connection without an answer
 *       mode=status         run, and answer with the status of `status`, three
 *                           digits of any value; the connection ends after it
 *                           if that begins with a minus sign
 *       id=ID               act as another process at the same address
 *       say=ready|draining|nothing|noise
 *                           send heartbeats with this state, no heartbeats, or
 *                           malformed ones
 *       version=V           version of its software
 *       leave=1             deregister and send no more heartbeats
 *       limit=RATE          name this rate limit in the answers; none: no
 *                           limit
 *       leaving=1           say in the answers that this process leaves
 *   /.../work-MS/...        works for MS milliseconds
 *   /.../answer-BYTES/...   answers with a body of that many bytes
 *   /.../crash...           crashes once its work is done, and starts again as
 *                           another process after --restart-ms
 *   /.../crash-for-NAME...  does so if NAME is the calling service
 *   /-/stats                number of executed requests, in all and by path
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../base/base.h"

#define NAME "jd-workerd"
#define MAX_BODY_BYTES (64U << 20)
#define RESPONSE_TIMEOUT JD_US_PER_S

/* A request that is being executed. */
typedef struct RunningRequest {
    TAILQ_ENTRY(RunningRequest) link;
    h2o_req_t *req; /* NULL: the client has disconnected */
    /* Owned by `req`; set to NULL if this is freed first. */
    struct RunningRequest **slot;
    JdTimer timer;
    char id[JD_NAME_MAX];
    bool crashes;
} RunningRequest;

static struct {
    JdLoop loop;
    JdHttpd httpd;
    JdHttpc node;
    JdTimer heartbeat_timer;
    char id[JD_NAME_MAX];
    char mode[JD_NAME_MAX];
    char status[JD_NAME_MAX];
    char heartbeat_mode[JD_NAME_MAX];
    char rate_limit[JD_NAME_MAX]; /* empty: none is named */
    bool is_leaving;
    gchar *listen;
    gchar *service;
    char version[JD_NAME_MAX];
    uint64_t started_at_ms;
    uint64_t sequence;
    uint64_t work_time;
    uint64_t run_count;
    uint64_t acknowledged_count;
    uint64_t rejected_count;
    GHashTable *count_by_path;
    FILE *record_file; /* NULL: no record is kept */
    int slots;
    int heartbeat_interval_ms;
    int restart_ms;
    char **argv; /* for the restart after a crash */
} worker;

/* ---- heartbeats -------------------------------------------------------- */

/* Appends a line to the record: time in us, id of this process, event,
 * subject.  The events are "ran" with a request's id when it begins, "ended"
 * with the id when its answer is made, and "leaving" once the
 * node has acknowledged that no new work may be sent; "limit" with the rate
 * limit that answers name from now on; "leaked-key" with the id of a request
 * that came with the key of its client account.  After "ran" and its id comes
 * the account that the request names, if any. */
static void
write_record(const char *event, const char *subject)
{
    if (worker.record_file != NULL) {
        fprintf(worker.record_file, "%" G_GUINT64_FORMAT " %s %s %s\n",
                JdLoop_WallClock(), worker.id, event, subject);
        fflush(worker.record_file);
    }
}

/* `ctx` is the subject of a "leaving" event, or NULL where the call does not
 * end new work. */
static void
on_node_response(void *ctx, const JdHttpResponse *response)
{
    if (response->result == JD_HTTP_COMPLETED && response->status == 200) {
        worker.acknowledged_count++;
        if (ctx != NULL) {
            write_record("leaving", ctx);
        }
    }
    else if (response->result == JD_HTTP_COMPLETED) {
        worker.rejected_count++;
    }
}

static void
send_to_node(const char *call, const char *body)
{
    char path[JD_PATH_MAX];
    JdHttpRequest rq = {.method = "POST",
                        .path = path,
                        .body = body,
                        .body_len = strlen(body),
                        .timeout = RESPONSE_TIMEOUT};

    g_snprintf(path, sizeof(path), "/Instances.%s/%s", call, worker.id);
    JdHttpc_Send(&worker.node, &rq, on_node_response,
                 strcmp(call, "Deregister") == 0                  ? "left"
                 : strcmp(worker.heartbeat_mode, "draining") == 0 ? "draining"
                                                                  : NULL);
}

static void
on_heartbeat_timer(void *ctx)
{
    json_t *js;
    char *text;

    (void)ctx;
    JdTimer_Arm(&worker.loop.clock, &worker.heartbeat_timer,
                (uint64_t)worker.heartbeat_interval_ms * JD_US_PER_MS);
    if (strcmp(worker.heartbeat_mode, "nothing") == 0) {
        return;
    }
    if (strcmp(worker.heartbeat_mode, "noise") == 0) {
        send_to_node("Heartbeat", "{\"address\": 7, ");
        return;
    }
    worker.sequence++;
    js = json_pack(
        "{s:s, s:I, s:{s:s, s:s, s:s, s:i}, s:{s:s, s:I, s:f}}", "address",
        worker.listen, "born", (json_int_t)worker.started_at_ms, "info",
        "service", worker.service, "version", worker.version, "zone", "z",
        "slots", worker.slots, "status", "state", worker.heartbeat_mode,
        "sequence", (json_int_t)worker.sequence, "warmup_left_s", 0.0);
    text = json_dumps(js, JSON_COMPACT);
    send_to_node("Heartbeat", text);
    free(text);
    json_decref(js);
}

/* ---- requests ---------------------------------------------------------- */

static void
end_request(RunningRequest *run)
{
    JdTimer_Cancel(&worker.loop.clock, &run->timer);
    if (run->slot != NULL) {
        *run->slot = NULL;
    }
    g_free(run);
}

static void
on_request_freed(void *data)
{
    RunningRequest *run = *(RunningRequest **)data;

    if (run != NULL) {
        run->req = NULL;
        run->slot = NULL;
    }
}

static void
echo_request_id(h2o_req_t *req)
{
    char id[JD_NAME_MAX] = "";

    if (JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id))) {
        JdHttpd_AddHeader(req, "jacinthdyke-request-id", id);
    }
}

/* Adds what the process says of itself in its answers. */
static void
add_notices(h2o_req_t *req)
{
    if (worker.rate_limit[0] != '\0') {
        JdHttpd_AddHeader(req, "server-limit", worker.rate_limit);
    }
    if (worker.is_leaving) {
        JdHttpd_AddHeader(req, "server-leaving", "1");
    }
}

static void
reply(h2o_req_t *req)
{
    char id[JD_NAME_MAX] = "";
    char caller[JD_NAME_MAX] = "";
    char account[JD_NAME_MAX] = "";
    char key[JD_NAME_MAX] = "";
    char *text;
    json_t *js;

    if (JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id))) {
        JdHttpd_AddHeader(req, "jacinthdyke-request-id", id);
    }
    JdHttpd_CopyHeader(req, "jacinthdyke-caller-service", caller,
                       sizeof(caller));
    JdHttpd_AddHeader(req, "jacinthdyke-server-signature", worker.id);
    add_notices(req);
    js = json_pack("{s:s, s:s, s:s, s:s%}", "worker", worker.id, "caller",
                   caller, "id", id, "path", req->path.base, req->path.len);
    if (JdHttpd_CopyHeader(req, "jacinthdyke-tenant-id", account,
                           sizeof(account))) {
        json_object_set_new(js, "account", json_string(account));
    }
    if (JdHttpd_CopyHeader(req, "jacinthdyke-credential", key, sizeof(key))) {
        json_object_set_new(js, "key", json_string(key));
    }
    text = json_dumps(js, JSON_COMPACT);
    JdHttpd_Reply(req, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(js);
}

/* Returns the number that follows a name in a path, or 0. */
static uint64_t
number_in_path(const char *path, const char *name)
{
    const char *p = strstr(path, name);

    return p == NULL ? 0 : strtoull(p + strlen(name), NULL, 10);
}

/* Answers with a body of the length that the path names, if it names one. */
static bool
reply_large(h2o_req_t *req)
{
    char *path = g_strndup(req->path.base, req->path.len);
    uint64_t n = number_in_path(path, "/answer-");
    char *body;

    g_free(path);
    if (n == 0) {
        return false;
    }
    echo_request_id(req);
    JdHttpd_AddHeader(req, "jacinthdyke-server-signature", worker.id);
    add_notices(req);
    body = g_malloc0(n);
    JdHttpd_Reply(req, 200, "application/octet-stream", body, n);
    g_free(body);
    return true;
}

/* Returns whether running a request crashes this process. */
static bool
crashes_worker(h2o_req_t *req, const char *path)
{
    const char *kind = strstr(path, "/crash");
    const char *name;
    char caller[JD_NAME_MAX] = "";

    if (kind == NULL || !g_str_has_prefix(kind, "/crash-for-")) {
        return kind != NULL;
    }
    name = kind + strlen("/crash-for-");
    JdHttpd_CopyHeader(req, "jacinthdyke-caller-service", caller,
                       sizeof(caller));
    return g_str_has_prefix(name, caller);
}

/* Ends this process as a crash does; the program starts anew in its place,
 * with the next id. */
static void
crash(const RunningRequest *run)
{
    char id[JD_NAME_MAX] = "", next_id[JD_NAME_MAX + 32], delay[32];
    char *args[32] = {NULL};
    char *suffix = strstr(worker.id, "-c");
    size_t n = 0;

    JdHttpd_CopyHeader(run->req, "jacinthdyke-request-id", id, sizeof(id));
    write_record("crashed", id);
    while (worker.argv[n] != NULL && n < G_N_ELEMENTS(args) - 4) {
        args[n] = worker.argv[n];
        n++;
    }
    if (suffix != NULL) {
        *suffix = '\0';
    }
    g_snprintf(next_id, sizeof(next_id), "--id=%s-c%" G_GUINT64_FORMAT,
               worker.id, JdLoop_WallClock() / JD_US_PER_MS);
    g_snprintf(delay, sizeof(delay), "--delay-ms=%d", worker.restart_ms);
    args[n++] = next_id;
    args[n++] = delay;
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv("/proc/self/exe", args);
    _exit(1);
}

/* Ends the sending side of a connection, so that an answer is lost. */
static void
lose_answer(h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

/* Answers with a status line that an HTTP library would not send. */
static void
send_status(h2o_req_t *req)
{
    bool ends = worker.status[0] == '-';
    int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    char id[JD_NAME_MAX] = "";
    char *text;

    JdHttpd_CopyHeader(req, "jacinthdyke-request-id", id, sizeof(id));
    text = g_strdup_printf("HTTP/1.1 %s Odd\r\ncontent-length: 0\r\n"
                           "jacinthdyke-request-id: %s\r\n"
                           "jacinthdyke-server-signature: %s\r\n%s\r\n",
                           worker.status + ends, id, worker.id,
                           ends ? "connection: close\r\n" : "");
    send(fd, text, strlen(text), MSG_NOSIGNAL);
    g_free(text);
    if (ends) {
        shutdown(fd, SHUT_RDWR);
    }
}

static void
on_work_done(void *ctx)
{
    RunningRequest *run = ctx;

    write_record("ended", run->id);
    if (run->req != NULL && run->crashes) {
        crash(run);
    }
    if (run->req != NULL && strcmp(worker.mode, "lose") == 0) {
        lose_answer(run->req);
    }
    if (run->req != NULL && strcmp(worker.mode, "status") == 0) {
        send_status(run->req);
    }
    else if (run->req != NULL && strcmp(worker.mode, "error") == 0) {
        echo_request_id(run->req);
        JdHttpd_Reply(run->req, 500, "text/plain", "failed\n", 7);
    }
    else if (run->req != NULL && !reply_large(run->req)) {
        reply(run->req);
    }
    end_request(run);
}

/* Records that a request runs, with the client account that it names. */
static void
record_run(h2o_req_t *req, const char *id)
{
    char account[JD_NAME_MAX] = "", key[JD_NAME_MAX];
    char *subject;

    if (JdHttpd_CopyHeader(req, "jacinthdyke-credential", key, sizeof(key))) {
        write_record("leaked-key", id);
    }
    JdHttpd_CopyHeader(req, "jacinthdyke-tenant-id", account, sizeof(account));
    subject = g_strjoin(" ", id, account, NULL);
    write_record("ran", g_strchomp(subject));
    g_free(subject);
}

/* Returns how long a request takes, in us. */
static uint64_t
work_time_of(const char *path)
{
    return strstr(path, "/work-") == NULL
               ? worker.work_time
               : number_in_path(path, "/work-") * JD_US_PER_MS;
}

static void
start_request(h2o_req_t *req)
{
    RunningRequest *run = g_new0(RunningRequest, 1);
    RunningRequest **slot = h2o_mem_alloc_shared(
        &req->pool, sizeof(RunningRequest *), on_request_freed);
    char *path = g_strndup(req->path.base, req->path.len);

    *slot = run;
    run->slot = slot;
    run->req = req;
    JdHttpd_CopyHeader(req, "jacinthdyke-request-id", run->id,
                       sizeof(run->id));
    record_run(req, run->id);
    run->crashes = crashes_worker(req, path);
    worker.run_count++;
    g_hash_table_insert(worker.count_by_path, path,
                        GSIZE_TO_POINTER(GPOINTER_TO_SIZE(g_hash_table_lookup(
                                             worker.count_by_path, path)) +
                                         1));
    JdTimer_Init(&run->timer, on_work_done, run);
    if (strcmp(worker.mode, "stall") != 0) {
        JdTimer_Arm(&worker.loop.clock, &run->timer, work_time_of(path));
    }
}

static void
on_work_request(h2o_req_t *req)
{
    char expected_id[JD_NAME_MAX];

    if (JdHttpd_CopyHeader(req, "jacinthdyke-expected-instance", expected_id,
                           sizeof(expected_id)) &&
        strcmp(expected_id, worker.id) != 0) {
        JdHttpd_AddHeader(req, "jacinthdyke-instance-id", worker.id);
        JdHttpd_Reply(req, 421, "text/plain", "another process\n", 16);
    }
    else if (strcmp(worker.mode, "shed") == 0) {
        echo_request_id(req);
        JdHttpd_AddHeader(req, "jacinthdyke-not-executed", "1");
        add_notices(req);
        JdHttpd_Reply(req, 503, "text/plain", "full\n", 5);
    }
    else {
        start_request(req);
    }
}

static void
on_control_request(h2o_req_t *req)
{
    JdHttpd_CopyQueryParam(req, "mode", worker.mode, sizeof(worker.mode));
    JdHttpd_CopyQueryParam(req, "status", worker.status,
                           sizeof(worker.status));
    JdHttpd_CopyQueryParam(req, "version", worker.version,
                           sizeof(worker.version));
    JdHttpd_CopyQueryParam(req, "say", worker.heartbeat_mode,
                           sizeof(worker.heartbeat_mode));
    if (JdHttpd_CopyQueryParam(req, "id", worker.id, sizeof(worker.id))) {
        worker.started_at_ms = JdLoop_WallClock() / JD_US_PER_MS;
        worker.sequence = 0;
        worker.rate_limit[0] = '\0';
        worker.is_leaving = false;
    }
    if (JdHttpd_CopyQueryParam(req, "limit", worker.rate_limit,
                               sizeof(worker.rate_limit))) {
        write_record("limit", worker.rate_limit);
        if (strcmp(worker.rate_limit, "none") == 0) {
            worker.rate_limit[0] = '\0';
        }
    }
    worker.is_leaving =
        JdHttpd_QueryNumber(req, "leaving", 0) != 0 || worker.is_leaving;
    if (JdHttpd_QueryNumber(req, "leave", 0) != 0) {
        char text[64];

        g_snprintf(text, sizeof(text), "{\"born\":%" G_GUINT64_FORMAT "}",
                   worker.started_at_ms);
        send_to_node("Deregister", text);
        g_strlcpy(worker.heartbeat_mode, "nothing",
                  sizeof(worker.heartbeat_mode));
    }
    JdHttpd_Reply(req, 200, "text/plain", "ok\n", 3);
}

static void
on_stats_request(h2o_req_t *req)
{
    json_t *js =
        json_pack("{s:I, s:I, s:I}", "ran", (json_int_t)worker.run_count,
                  "acknowledged", (json_int_t)worker.acknowledged_count,
                  "refused", (json_int_t)worker.rejected_count);
    GHashTableIter it;
    gpointer key, value;

    g_hash_table_iter_init(&it, worker.count_by_path);
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
        on_control_request(req);
    }
    else if (JdHttpd_IsPath(req, "/-/stats")) {
        on_stats_request(req);
    }
    else {
        on_work_request(req);
    }
}

int
main(int argc, char **argv)
{
    gchar *node = NULL;
    gchar *id = NULL;
    gchar *record_path = NULL;
    gchar *version = NULL;
    gint work_ms = 5;
    gint delay_ms = 0;
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &worker.listen, "address",
         "IP:PORT"},
        {"node", 'n', 0, G_OPTION_ARG_STRING, &node,
         "control address of the local node", "IP:PORT"},
        {"id", 'i', 0, G_OPTION_ARG_STRING, &id, "id of this process", "ID"},
        {"service", 's', 0, G_OPTION_ARG_STRING, &worker.service, "service",
         "NAME"},
        {"version", 0, 0, G_OPTION_ARG_STRING, &version,
         "version of its software", "NAME"},
        {"record", 'r', 0, G_OPTION_ARG_FILENAME, &record_path,
         "file for the record of executed requests", "FILE"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &worker.slots, "slots", "N"},
        {"beat-ms", 0, 0, G_OPTION_ARG_INT, &worker.heartbeat_interval_ms,
         "interval between heartbeats", "MS"},
        {"work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms,
         "time to execute a request", "MS"},
        {"restart-ms", 0, 0, G_OPTION_ARG_INT, &worker.restart_ms,
         "time after a crash until this starts again", "MS"},
        {"delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms,
         "time until this starts to listen", "MS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    JdStatus s;
    int rc;

    worker.restart_ms = 1000;
    worker.argv = g_strdupv(argv);
    worker.slots = 4;
    worker.heartbeat_interval_ms = 200;
    rc = JdProgram_ParseOptions(NAME, "- fake of a worker on the platform",
                                entries, &argc, &argv);
    if (rc != 0) {
        return rc;
    }
    if (worker.listen == NULL || node == NULL || id == NULL ||
        worker.service == NULL) {
        return JdProgram_UsageError(
            NAME, "--listen, --node, --id and --service are required");
    }
    g_usleep((gulong)delay_ms * JD_US_PER_MS);
    if (record_path != NULL) {
        worker.record_file = fopen(record_path, "a");
    }
    g_strlcpy(worker.id, id, sizeof(worker.id));
    g_strlcpy(worker.mode, "ok", sizeof(worker.mode));
    g_strlcpy(worker.version, version == NULL ? "v1" : version,
              sizeof(worker.version));
    g_strlcpy(worker.heartbeat_mode, "ready", sizeof(worker.heartbeat_mode));
    worker.work_time = (uint64_t)work_ms * JD_US_PER_MS;
    worker.started_at_ms = JdLoop_WallClock() / JD_US_PER_MS;
    worker.count_by_path = g_hash_table_new(g_str_hash, g_str_equal);
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&worker.loop);
    s = JdHttpd_Init(&worker.httpd, &worker.loop, worker.listen,
                     MAX_BODY_BYTES, on_request, NULL, &err);
    if (s == JD_OK) {
        s = JdHttpc_Init(&worker.node, &worker.loop, node, 2, &err);
    }
    if (s != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    JdTimer_Init(&worker.heartbeat_timer, on_heartbeat_timer, NULL);
    JdTimer_Arm(&worker.loop.clock, &worker.heartbeat_timer, 0);
    return JdProgram_Run(&worker.loop);
}
