/*
 * Clients of nodes: sends requests at a steady rate, spread evenly over the
 * addresses of nodes, each on a kept connection of its own, and records what
 * was sent and answered.
 *
 * Usage: client --record FILE --rate N --seconds S --path P [--method M]
 *               [--host H] [--name PREFIX] [--header LINE] ADDRESS...
 *
 * Lines of the record: time in us, "sent", id, address; time in us,
 * "answered", id, status (0: the connection ended without an answer); time in
 * us, "malformed", id, the first line of an answer's head that is no header
 * line of HTTP/1.1 (RFC 9112: a name of token characters, then a colon).
 */
#include "net.h"

#define TIMEOUT_MS 4000

static struct {
    const char *path, *method, *host, *name, *header;
    double rate, seconds;
    unsigned count;
    FILE *record;
    pthread_mutex_t lock;
} load = {.method = "GET",
          .host = "shop.example",
          .name = "q",
          .path = "/",
          .header = "",
          .lock = PTHREAD_MUTEX_INITIALIZER};

static void
write_line(const char *what, const char *id, const char *subject)
{
    pthread_mutex_lock(&load.lock);
    fprintf(load.record, "%llu %s %s %s\n", (unsigned long long)now_us(), what,
            id, subject);
    pthread_mutex_unlock(&load.lock);
}

/* Returns the first line of a head, after the status line, that is no header
 * line, or NULL. */
static const char *
find_malformed_line(const char *head)
{
    static const char token[] = "!#$%&'*+-.^_`|~0123456789"
                                "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    const char *p = strstr(head, "\r\n");

    while (p != NULL && strcmp(p, "\r\n\r\n") != 0) {
        size_t n;

        p += 2;
        n = strspn(p, token);
        if (n == 0 || p[n] != ':') {
            return p;
        }
        p = strstr(p, "\r\n");
    }
    return NULL;
}

/* Sends one request and reads its answer.  Returns false if the connection is
 * of no use afterwards. */
static bool
exchange(Stream *st, Message *msg, const char *id, const char *address)
{
    char text[HEAD_MAX], status[16], line[64], close_it[16] = "";
    const char *malformed;
    bool is_read;

    snprintf(text, sizeof(text),
             "%s %s HTTP/1.1\r\nHost: %s\r\nJacinthdyke-Request-Id: %s\r\n"
             "Jacinthdyke-Deadline-Ms: 2000\r\n%s%s%s\r\n",
             load.method, load.path, load.host, id, load.header,
             load.header[0] == '\0' ? "" : "\r\n",
             strcmp(load.method, "GET") == 0 ? "" : "Content-Length: 0\r\n");
    write_line("sent", id, address);
    is_read = send_all(st->fd, text, strlen(text)) && read_message(st, msg);
    snprintf(status, sizeof(status), "%d", is_read ? status_of(msg) : 0);
    write_line("answered", id, status);
    if (!is_read) {
        return false;
    }
    malformed = find_malformed_line(msg->head);
    if (malformed != NULL) {
        snprintf(line, sizeof(line), "%.*s", (int)strcspn(malformed, "\r\n"),
                 malformed);
        write_line("malformed", id, line);
    }
    find_header(msg->head, "connection", close_it, sizeof(close_it));
    return strcasecmp(close_it, "close") != 0;
}

static void *
run_client(void *arg)
{
    const char *address = arg;
    Stream *st = calloc(1, sizeof(*st));
    Message *msg = calloc(1, sizeof(*msg));
    unsigned seed = (unsigned)now_us() ^ (unsigned)(uintptr_t)arg;
    uint64_t gap = (uint64_t)(1e6 * load.count / load.rate);
    uint64_t end = now_us() + (uint64_t)(load.seconds * 1e6);
    uint64_t at = now_us() + (uint64_t)rand_r(&seed) % gap;

    st->fd = -1;
    for (unsigned i = 0; at < end; i++) {
        char id[96];

        if (at > now_us()) {
            sleep_us(at - now_us());
        }
        /* Steady, with some variation. */
        at += gap * 7 / 10 + (uint64_t)rand_r(&seed) % (gap * 6 / 10);
        if (st->fd < 0) {
            st->len = 0;
            st->fd = dial(address, TIMEOUT_MS);
        }
        if (st->fd < 0) {
            continue;
        }
        snprintf(id, sizeof(id), "%s-%08x%08x", load.name,
                 (unsigned)rand_r(&seed), i);
        if (!exchange(st, msg, id, address)) {
            close(st->fd);
            st->fd = -1;
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    pthread_t thread[256];
    int i = 1;

    signal(SIGPIPE, SIG_IGN);
    for (; i + 1 < argc && strncmp(argv[i], "--", 2) == 0; i += 2) {
        const char *name = argv[i] + 2, *value = argv[i + 1];

        if (strcmp(name, "record") == 0) {
            load.record = fopen(value, "a");
        }
        else if (strcmp(name, "rate") == 0) {
            load.rate = atof(value);
        }
        else if (strcmp(name, "seconds") == 0) {
            load.seconds = atof(value);
        }
        else if (strcmp(name, "path") == 0) {
            load.path = value;
        }
        else if (strcmp(name, "method") == 0) {
            load.method = value;
        }
        else if (strcmp(name, "host") == 0) {
            load.host = value;
        }
        else if (strcmp(name, "name") == 0) {
            load.name = value;
        }
        else if (strcmp(name, "header") == 0) {
            load.header = value;
        }
    }
    load.count = (unsigned)(argc - i);
    if (load.record == NULL || load.count == 0 || load.count > 256 ||
        load.rate <= 0) {
        return 2;
    }
    for (unsigned k = 0; k < load.count; k++) {
        pthread_create(&thread[k], NULL, run_client, argv[i + (int)k]);
    }
    for (unsigned k = 0; k < load.count; k++) {
        pthread_join(thread[k], NULL);
    }
    fclose(load.record);
    return 0;
}
