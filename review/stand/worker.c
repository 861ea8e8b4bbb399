/*
 * Stand-in of a worker, for the cases of the review.  It announces itself to
 * the node beside it, answers the requests that are meant for it, and records
 * what it runs.
 *
 *   GET /-/set?NAME=VALUE   changes a setting:
 *       work_ms=N           time that a request runs
 *       lose_percent=N      share of requests that run and lose their answer:
 *                           the connection is reset in its place
 *       body=N              bytes of an answer's body
 *       say=ready|draining  state in the heartbeats
 *       leave=1             deregister, and send no more heartbeats
 *       late_ms=N           a heartbeat that was sent before leave=1 arrives
 *                           this time after it
 *       exit_ms=N           end the process after this time
 *
 * Record: time in us, id of the worker, event, id of the request, path.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536

static struct {
    const char *listen, *control, *id, *service;
    int slots, beat_ms;
    volatile int work_ms, lose_percent, draining, left, late_ms;
    volatile size_t body;
    volatile unsigned lose_count;
    long long born;
    FILE *record;
    pthread_mutex_t lock;
} wk = {.slots = 6, .beat_ms = 870, .work_ms = 20, .body = 400,
        .lock = PTHREAD_MUTEX_INITIALIZER};

static long long
now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

static void
record(const char *event, const char *request, const char *path)
{
    pthread_mutex_lock(&wk.lock);
    fprintf(wk.record, "%lld %s %s %s %s\n", now_us(), wk.id, event, request,
            path);
    fflush(wk.record);
    pthread_mutex_unlock(&wk.lock);
}

static struct sockaddr_in
address(const char *text)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};
    char host[64];
    const char *colon = strchr(text, ':');

    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    inet_pton(AF_INET, host, &sin.sin_addr);
    sin.sin_port = htons((uint16_t)atoi(colon + 1));
    return sin;
}

static int
send_all(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

        if (k <= 0) {
            return -1;
        }
        p += k;
        n -= (size_t)k;
    }
    return 0;
}

/* Sends a call to the node's control address; returns the status, 0 for none. */
static int
call_node(const char *call, const char *body)
{
    struct sockaddr_in sin = address(wk.control);
    struct timeval tv = {.tv_sec = 1};
    char text[2048];
    int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;
    ssize_t n;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0) {
        snprintf(text, sizeof(text),
                 "POST /Instances.%s/%s HTTP/1.1\r\nhost: %s\r\n"
                 "content-type: application/json\r\nconnection: close\r\n"
                 "content-length: %zu\r\n\r\n%s",
                 call, wk.id, wk.control, strlen(body), body);
        if (send_all(fd, text, strlen(text)) == 0 &&
            (n = recv(fd, text, sizeof(text) - 1, 0)) > 0) {
            text[n] = '\0';
            sscanf(text, "HTTP/1.1 %d", &status);
        }
    }
    close(fd);
    return status;
}

static void *
heartbeats(void *ctx)
{
    static int sequence;
    char body[1024], late[1024];
    int was_told = 0;

    (void)ctx;
    for (;;) {
        int draining = wk.draining;

        snprintf(body, sizeof(body),
                 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
                 "\"%s\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":%d},"
                 "\"status\":{\"state\":\"%s\",\"sequence\":%d,"
                 "\"warmup_left_s\":0}}",
                 wk.listen, wk.born, wk.service, wk.slots,
                 draining ? "draining" : "ready", ++sequence);
        if (wk.left) {
            break; /* under way, and not arrived yet */
        }
        if (call_node("Heartbeat", body) == 200 && draining && !was_told) {
            record("acknowledged-draining", "-", "-");
            was_told = 1;
        }
        for (int i = 0; i < wk.beat_ms / 10 && wk.draining == draining &&
                        !wk.left; i++) {
            usleep(10000);
        }
    }
    snprintf(late, sizeof(late), "%s", body);
    snprintf(body, sizeof(body), "{\"born\":%lld}", wk.born);
    if (call_node("Deregister", body) == 200) {
        record("acknowledged-left", "-", "-");
    }
    if (wk.late_ms > 0) {
        usleep((useconds_t)wk.late_ms * 1000);
        record("heartbeat-arrives-late", "-", "-");
        call_node("Heartbeat", late);
    }
    return NULL;
}

static void *
exit_later(void *ctx)
{
    usleep((useconds_t)(intptr_t)ctx * 1000);
    record("exits", "-", "-");
    _exit(0);
}

static void
set(const char *query)
{
    const char *v = strchr(query, '=') + 1;
    pthread_t th;

    if (strncmp(query, "work_ms=", 8) == 0) {
        wk.work_ms = atoi(v);
    }
    else if (strncmp(query, "lose_percent=", 13) == 0) {
        wk.lose_percent = atoi(v);
    }
    else if (strncmp(query, "body=", 5) == 0) {
        wk.body = (size_t)atoll(v);
    }
    else if (strncmp(query, "say=", 4) == 0) {
        wk.draining = strncmp(v, "draining", 8) == 0;
    }
    else if (strncmp(query, "late_ms=", 8) == 0) {
        wk.late_ms = atoi(v);
    }
    else if (strncmp(query, "leave=", 6) == 0) {
        wk.left = 1;
    }
    else if (strncmp(query, "exit_ms=", 8) == 0) {
        pthread_create(&th, NULL, exit_later, (void *)(intptr_t)atoi(v));
    }
}

/* Copies a header's value; empty if there is none. */
static void
find_header(const char *head, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    const char *p = head;

    out[0] = '\0';
    while ((p = strstr(p, "\r\n")) != NULL) {
        p += 2;
        if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
            p += n + 1;
            p += strspn(p, " ");
            snprintf(out, size, "%.*s", (int)strcspn(p, "\r"), p);
            return;
        }
    }
}

static int
reply(int fd, int status, const char *headers, size_t body)
{
    static char zeros[65536];
    char head[1024];

    snprintf(head, sizeof(head),
             "HTTP/1.1 %d X\r\n%scontent-length: %zu\r\n\r\n", status, headers,
             body);
    if (send_all(fd, head, strlen(head)) != 0) {
        return -1;
    }
    while (body > 0) {
        size_t n = body < sizeof(zeros) ? body : sizeof(zeros);

        if (send_all(fd, zeros, n) != 0) {
            return -1;
        }
        body -= n;
    }
    return 0;
}

/* Runs a request; returns -1 if the connection ends. */
static int
serve(int fd, const char *head)
{
    char id[128], expected[128], headers[512], path[512] = "";
    char c;

    sscanf(head, "%*s %511s", path);
    if (strncmp(path, "/-/set?", 7) == 0) {
        set(path + 7);
        return reply(fd, 200, "", 0);
    }
    find_header(head, "jacinthdyke-request-id", id, sizeof(id));
    find_header(head, "jacinthdyke-expected-instance", expected,
                sizeof(expected));
    snprintf(headers, sizeof(headers), "jacinthdyke-request-id: %s\r\n", id);
    if (expected[0] != '\0' && strcmp(expected, wk.id) != 0) {
        return reply(fd, 421, headers, 0);
    }
    record("ran", id, path);
    /* A connection that closes ends the work. */
    for (int left = wk.work_ms; left > 0; left -= 5) {
        if (recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            record("cancelled", id, path);
            return -1;
        }
        usleep(5000);
    }
    if (wk.lose_percent > 0 &&
        (wk.lose_count += (unsigned)wk.lose_percent) >= 100) {
        struct linger now = {.l_onoff = 1, .l_linger = 0};

        wk.lose_count -= 100;
        record("answer-lost", id, path);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        return -1;
    }
    record("answers", id, path);
    snprintf(headers, sizeof(headers),
             "jacinthdyke-request-id: %s\r\n"
             "jacinthdyke-server-signature: %s.%s\r\n",
             id, wk.id, id);
    return reply(fd, 200, headers, wk.body);
}

static void *
serve_conn(void *ctx)
{
    int fd = (int)(intptr_t)ctx;
    char *buf = malloc(HEAD_MAX + 1), text[32];
    size_t have = 0;
    ssize_t n;

    while (have < HEAD_MAX &&
           (n = recv(fd, buf + have, HEAD_MAX - have, 0)) > 0) {
        char *end;

        have += (size_t)n;
        buf[have] = '\0';
        while ((end = strstr(buf, "\r\n\r\n")) != NULL) {
            size_t head = (size_t)(end - buf) + 4, body;

            *end = '\0';
            find_header(buf, "content-length", text, sizeof(text));
            body = (size_t)atoll(text);
            /* The body is read to its end, and dropped. */
            while (have < head + body) {
                if (have > head) {
                    body -= have - head;
                    have = head;
                }
                n = recv(fd, buf + head,
                         body < HEAD_MAX - head ? body : HEAD_MAX - head, 0);
                if (n <= 0) {
                    goto out;
                }
                have = head + (size_t)n;
            }
            if (serve(fd, buf) != 0) {
                goto out;
            }
            memmove(buf, buf + head + body, have - head - body);
            have -= head + body;
            buf[have] = '\0';
        }
    }
out:
    close(fd);
    free(buf);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in sin;
    int one = 1, fd;
    pthread_t th;

    for (int i = 1; i + 1 < argc; i += 2) {
        const char *k = argv[i], *v = argv[i + 1];

        if (strcmp(k, "--listen") == 0) wk.listen = v;
        if (strcmp(k, "--control") == 0) wk.control = v;
        if (strcmp(k, "--id") == 0) wk.id = v;
        if (strcmp(k, "--service") == 0) wk.service = v;
        if (strcmp(k, "--slots") == 0) wk.slots = atoi(v);
        if (strcmp(k, "--work-ms") == 0) wk.work_ms = atoi(v);
        if (strcmp(k, "--body") == 0) wk.body = (size_t)atoll(v);
        if (strcmp(k, "--record") == 0) wk.record = fopen(v, "a");
    }
    if (wk.listen == NULL || wk.control == NULL || wk.id == NULL ||
        wk.service == NULL || wk.record == NULL) {
        fprintf(stderr, "worker: --listen, --control, --id, --service and "
                        "--record are required\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    wk.born = now_us() / 1000;
    sin = address(wk.listen);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
        listen(fd, 256) != 0) {
        perror("worker");
        return 2;
    }
    pthread_create(&th, NULL, heartbeats, NULL);
    for (;;) {
        int conn = accept(fd, NULL, NULL);

        if (conn >= 0) {
            setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            pthread_create(&th, NULL, serve_conn, (void *)(intptr_t)conn);
            pthread_detach(th);
        }
    }
}
