/*
 * Workers of the platform, one beside each node, as PROTOCOL.md has them: each
 * sends heartbeats to the control address of its node, runs requests that
 * expect it, and answers them with its signature.
 *
 * Usage: worker --record FILE --app PORT --control PORT [--beat-ms N]
 *               [--work-ms N] ID@IP=SERVICE...
 *
 * Calls to the address of a worker, for the script that runs it:
 *   /-/limit/RATE   answers name this Server-Limit from now on; none: no limit
 *   /-/late/MS      a heartbeat is made now and delivered MS later, on a
 *                   connection of its own; no further ones are made
 *   /-/leave        sends Deregister; answered once that is acknowledged
 *   /-/shed/N       N of 100 requests are rejected with 503 and
 *                   Jacinthdyke-Not-Executed, and not run
 *   /-/spoil/N      each Nth answer has a line in its head that is no header
 *
 * Lines of the record: time in us, id of the worker, "ran" and the id of a
 * request, or "rejected" and the id; "acked" and what the node has acknowledged; "late" and the state
 * that a late heartbeat told; "limit" and the rate; "spoiled" and the id.
 */
#include "net.h"

#define WORKERS_MAX 128
#define SLOTS 18
#define ACK_MS 1000

typedef struct Worker {
    char id[64], ip[64], service[64];
    uint64_t born; /* ms since 1970 */
    pthread_mutex_t lock;
    unsigned sequence;
    unsigned answered;
    bool is_quiet;    /* makes no more heartbeats */
    char limit[32];   /* empty: none is named */
    unsigned spoil_each;
    unsigned shed_percent;
    unsigned seed;
} Worker;

static struct {
    int app, control, beat_ms, work_ms;
    FILE *record;
    pthread_mutex_t lock;
} all = {.beat_ms = 1500, .work_ms = 20, .lock = PTHREAD_MUTEX_INITIALIZER};

static void
write_line(const Worker *w, const char *what, const char *subject)
{
    pthread_mutex_lock(&all.lock);
    fprintf(all.record, "%llu %s %s %s\n", (unsigned long long)now_us(), w->id,
            what, subject);
    fflush(all.record);
    pthread_mutex_unlock(&all.lock);
}

/* ---- calls to the node ------------------------------------------------- */

/* Makes a call to the node beside a worker.  Returns whether it was
 * acknowledged. */
static bool
call_node(const Worker *w, const char *call, const char *body)
{
    char text[HEAD_MAX], address[96];
    Message *msg = calloc(1, sizeof(*msg));
    Stream *st = calloc(1, sizeof(*st));
    bool is_acked;

    snprintf(address, sizeof(address), "%s:%d", w->ip, all.control);
    snprintf(text, sizeof(text),
             "POST /Instances.%s/%s HTTP/1.1\r\nHost: %s\r\n"
             "Content-Type: application/json\r\nConnection: close\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             call, w->id, address, strlen(body), body);
    st->fd = dial(address, ACK_MS);
    is_acked = st->fd >= 0 && send_all(st->fd, text, strlen(text)) &&
               read_message(st, msg) && status_of(msg) / 100 == 2;
    if (st->fd >= 0) {
        close(st->fd);
    }
    free(st);
    free(msg);
    return is_acked;
}

static void
format_heartbeat(Worker *w, char *out, size_t size)
{
    pthread_mutex_lock(&w->lock);
    w->sequence++;
    snprintf(out, size,
             "{\"address\":\"%s:%d\",\"born\":%llu,\"info\":{\"service\":"
             "\"%s\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":%d},"
             "\"status\":{\"state\":\"ready\",\"sequence\":%u,"
             "\"warmup_left_s\":0}}",
             w->ip, all.app, (unsigned long long)w->born, w->service, SLOTS,
             w->sequence);
    pthread_mutex_unlock(&w->lock);
}

static void *
send_heartbeats(void *arg)
{
    Worker *w = arg;
    char body[1024];

    while (!w->is_quiet) {
        format_heartbeat(w, body, sizeof(body));
        call_node(w, "Heartbeat", body);
        sleep_us((uint64_t)all.beat_ms * 1000);
    }
    return NULL;
}

typedef struct LateBeat {
    Worker *worker;
    unsigned ms;
    char body[1024];
} LateBeat;

static void *
deliver_late(void *arg)
{
    LateBeat *late = arg;

    sleep_us((uint64_t)late->ms * 1000);
    write_line(late->worker, "late", "ready");
    call_node(late->worker, "Heartbeat", late->body);
    free(late);
    return NULL;
}

static void
make_late_heartbeat(Worker *w, unsigned ms)
{
    LateBeat *late = calloc(1, sizeof(*late));
    pthread_t thread;

    w->is_quiet = true;
    late->worker = w;
    late->ms = ms;
    format_heartbeat(w, late->body, sizeof(late->body));
    pthread_create(&thread, NULL, deliver_late, late);
    pthread_detach(thread);
}

static bool
leave(Worker *w)
{
    char body[64];
    bool is_acked = false;

    w->is_quiet = true;
    snprintf(body, sizeof(body), "{\"born\":%llu}",
             (unsigned long long)w->born);
    for (int i = 0; i < 5 && !is_acked; i++) {
        is_acked = call_node(w, "Deregister", body);
    }
    if (is_acked) {
        write_line(w, "acked", "deregister");
    }
    return is_acked;
}

/* ---- requests ---------------------------------------------------------- */

static bool
handle_control(Worker *w, int fd, const char *path)
{
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    static const char no[] =
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
    bool is_ok = true;

    if (strncmp(path, "/-/limit/", 9) == 0) {
        pthread_mutex_lock(&w->lock);
        snprintf(w->limit, sizeof(w->limit), "%s",
                 strcmp(path + 9, "none") == 0 ? "" : path + 9);
        pthread_mutex_unlock(&w->lock);
        write_line(w, "limit", path + 9);
    }
    else if (strncmp(path, "/-/late/", 8) == 0) {
        make_late_heartbeat(w, (unsigned)atoi(path + 8));
    }
    else if (strncmp(path, "/-/spoil/", 9) == 0) {
        w->spoil_each = (unsigned)atoi(path + 9);
    }
    else if (strncmp(path, "/-/shed/", 8) == 0) {
        w->shed_percent = (unsigned)atoi(path + 8);
    }
    else if (strcmp(path, "/-/leave") == 0) {
        is_ok = leave(w);
    }
    return send_all(fd, is_ok ? ok : no,
                    is_ok ? sizeof(ok) - 1 : sizeof(no) - 1);
}

/* Returns whether this answer is to be spoiled. */
static bool
is_spoiled(Worker *w)
{
    bool result;

    pthread_mutex_lock(&w->lock);
    w->answered++;
    result = w->spoil_each != 0 && w->answered % w->spoil_each == 0;
    pthread_mutex_unlock(&w->lock);
    return result;
}

/* Returns whether this request is rejected. */
static bool
is_shed(Worker *w)
{
    bool result;

    pthread_mutex_lock(&w->lock);
    result = (unsigned)rand_r(&w->seed) % 100 < w->shed_percent;
    pthread_mutex_unlock(&w->lock);
    return result;
}

static bool
answer(Worker *w, int fd, const char *id)
{
    char text[HEAD_MAX], body[256], limit[64] = "";
    bool spoiled = is_spoiled(w);

    pthread_mutex_lock(&w->lock);
    if (w->limit[0] != '\0') {
        snprintf(limit, sizeof(limit), "Server-Limit: %s\r\n", w->limit);
    }
    pthread_mutex_unlock(&w->lock);
    snprintf(body, sizeof(body), "{\"worker\":\"%s\",\"id\":\"%s\"}", w->id,
             id);
    /* Spoiled: two bytes of a header's name are other ones. */
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nJacinthdyke-Request-Id: %s\r\n"
             "Jacinthdyke-Server-Signature: sig-%s\r\n%s"
             "%s: no-store\r\nContent-Length: %zu\r\n\r\n%s",
             id, w->id, limit, spoiled ? "Cache  ontrol" : "Cache-Control",
             strlen(body), body);
    if (spoiled) {
        write_line(w, "spoiled", id);
    }
    return send_all(fd, text, strlen(text));
}

static bool
handle_request(Worker *w, int fd, const Message *msg)
{
    char method[16], path[1024], expected[64] = "", id[128] = "";
    char text[512];

    if (sscanf(msg->head, "%15s %1023s", method, path) != 2) {
        return false;
    }
    if (strncmp(path, "/-/", 3) == 0) {
        return handle_control(w, fd, path);
    }
    find_header(msg->head, "jacinthdyke-request-id", id, sizeof(id));
    find_header(msg->head, "jacinthdyke-expected-instance", expected,
                sizeof(expected));
    if (expected[0] != '\0' && strcmp(expected, w->id) != 0) {
        snprintf(text, sizeof(text),
                 "HTTP/1.1 421 Misdirected Request\r\n"
                 "Jacinthdyke-Request-Id: %s\r\n"
                 "Jacinthdyke-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                 id, w->id);
        return send_all(fd, text, strlen(text));
    }
    if (is_shed(w)) {
        write_line(w, "rejected", id);
        snprintf(text, sizeof(text),
                 "HTTP/1.1 503 Service Unavailable\r\n"
                 "Jacinthdyke-Request-Id: %s\r\n"
                 "Jacinthdyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 id);
        return send_all(fd, text, strlen(text));
    }
    write_line(w, "ran", id);
    sleep_us((uint64_t)all.work_ms * 1000);
    return answer(w, fd, id);
}

typedef struct Accepted {
    Worker *worker;
    int fd;
} Accepted;

static void *
serve(void *arg)
{
    Accepted *ac = arg;
    Message *msg = calloc(1, sizeof(*msg));
    Stream *st = calloc(1, sizeof(*st));

    st->fd = ac->fd;
    while (read_message(st, msg) && handle_request(ac->worker, st->fd, msg)) {
    }
    close(st->fd);
    free(st);
    free(msg);
    free(ac);
    return NULL;
}

static void *
accept_all(void *arg)
{
    Worker *w = arg;
    struct sockaddr_in sin;
    char address[96];
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    snprintf(address, sizeof(address), "%s:%d", w->ip, all.app);
    parse_address(address, &sin);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
        listen(fd, 256) != 0) {
        fprintf(stderr, "worker: cannot listen on %s: %s\n", address,
                strerror(errno));
        exit(2);
    }
    for (;;) {
        Accepted *ac = calloc(1, sizeof(*ac));
        pthread_t thread;

        ac->worker = w;
        ac->fd = accept(fd, NULL, NULL);
        if (ac->fd < 0) {
            free(ac);
            continue;
        }
        setsockopt(ac->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        pthread_create(&thread, NULL, serve, ac);
        pthread_detach(thread);
    }
    return NULL;
}

static void
start_worker(const char *text)
{
    Worker *w = calloc(1, sizeof(*w));
    pthread_t thread;

    if (sscanf(text, "%63[^@]@%63[^=]=%63s", w->id, w->ip, w->service) != 3) {
        fprintf(stderr, "worker: not ID@IP=SERVICE: %s\n", text);
        exit(2);
    }
    pthread_mutex_init(&w->lock, NULL);
    w->born = now_us() / 1000;
    w->seed = (unsigned)now_us() ^ (unsigned)(uintptr_t)w;
    pthread_create(&thread, NULL, accept_all, w);
    pthread_create(&thread, NULL, send_heartbeats, w);
}

int
main(int argc, char **argv)
{
    int i = 1;

    signal(SIGPIPE, SIG_IGN);
    for (; i + 1 < argc && strncmp(argv[i], "--", 2) == 0; i += 2) {
        const char *name = argv[i] + 2, *value = argv[i + 1];

        if (strcmp(name, "record") == 0) {
            all.record = fopen(value, "a");
        }
        else if (strcmp(name, "app") == 0) {
            all.app = atoi(value);
        }
        else if (strcmp(name, "control") == 0) {
            all.control = atoi(value);
        }
        else if (strcmp(name, "beat-ms") == 0) {
            all.beat_ms = atoi(value);
        }
        else if (strcmp(name, "work-ms") == 0) {
            all.work_ms = atoi(value);
        }
    }
    if (all.record == NULL || all.app == 0 || all.control == 0) {
        return 2;
    }
    for (; i < argc; i++) {
        start_worker(argv[i]);
    }
    for (;;) {
        pause();
    }
}
