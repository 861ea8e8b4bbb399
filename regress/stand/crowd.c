/*
 * Clients that do not behave, for tests: opens connections to a node, sends
 * the same kind of request on each, and stays until SIGTERM.  It keeps no
 * answers.
 *
 *   length     a body of --body bytes with its length, in pieces of --piece
 *   trickled   a body with its length, one byte each 200 ms
 *   chunked    the same in chunks of --piece bytes
 *   announced  a body that is announced as --announce bytes, --body of them
 *              sent
 *   endless    a body in chunks of --piece bytes without end
 *   head       a head of --body bytes that does not end
 *   idle       nothing
 *   pipelined  requests without end behind each other, each with a body of
 *              --body bytes; the answers are not read
 *   behind     a request without a body, then one as in `length`; the answers
 *              are not read
 *   unread     --requests requests without a body behind each other; the
 *              answers are not read
 *   sipped     the same, and 1 KiB of the answers is read each 200 ms
 *   frame      what a node sends, a frame of --body bytes, one byte short of
 * it
 *
 * Of the bodies in `length` and `chunked` only the first --whole are sent to
 * their end; the others stop one byte short of it.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../base/base.h"

#define NAME "jd-crowd"
/* Bytes that are written in one call, unless pieces are smaller. */
#define WRITE_MAX (1U << 20)
/* Wait of one round, in ms. */
#define ROUND_MS 50
/* Pause between the bytes of a body that trickles, in us. */
#define TRICKLE_US 200000
/* Bytes of answers that are read at a time where they are sipped, pause after
 * that, in us, and bytes that the kernel keeps for them. */
#define SIP_BYTES 1024U
#define SIP_US 200000
#define SIP_KERNEL_BYTES 16384

typedef enum Shape {
    SHAPE_LENGTH,
    SHAPE_TRICKLED,
    SHAPE_CHUNKED,
    SHAPE_ANNOUNCED,
    SHAPE_ENDLESS,
    SHAPE_HEAD,
    SHAPE_IDLE,
    SHAPE_PIPELINED,
    SHAPE_BEHIND,
    SHAPE_UNREAD,
    SHAPE_SIPPED,
    SHAPE_FRAME,
    SHAPE_MAX
} Shape;

static const char *const shape_names[SHAPE_MAX] = {
    "length", "trickled",  "chunked", "announced", "endless", "head",
    "idle",   "pipelined", "behind",  "unread",    "sipped",  "frame"};

typedef struct Client {
    int fd; /* -1: closed */
    unsigned number;
    GByteArray *output; /* not written yet: `written` bytes of it are */
    size_t written;
    uint64_t body_sent; /* bytes of the body that were put into `output` */
    unsigned requests;  /* that were begun */
    gint64 resumes_at;  /* sends nothing before, us */
    gint64 sips_at;     /* reads nothing before, us */
    bool is_done;       /* sends no more */
} Client;

static struct {
    Shape shape;
    struct sockaddr_in address;
    gchar *path;
    gchar *host;
    gint count;
    gint whole;
    gint64 body;
    gint64 announce;
    gint piece;
    gint requests;
    unsigned answered;
    unsigned closed;
    char zeros[WRITE_MAX];
} crowd;

static volatile sig_atomic_t is_told_to_leave;

static void
append_text(Client *cl, const char *text)
{
    g_byte_array_append(cl->output, (const guint8 *)text, (guint)strlen(text));
}

/* Appends a request line and headers; `length` below 0 stands for chunks. */
static void
append_head(Client *cl, const char *method, gint64 length)
{
    char *text =
        g_strdup_printf("%s %s HTTP/1.1\r\nHost: "
                        "%s\r\nJacinthdyke-Request-Id: crowd.%d.%u.%u\r\n",
                        method, crowd.path, crowd.host, (int)getpid(),
                        cl->number, cl->requests);

    cl->requests++;
    append_text(cl, text);
    g_free(text);
    if (length < 0) {
        append_text(cl, "Transfer-Encoding: chunked\r\n\r\n");
        return;
    }
    text = g_strdup_printf("Content-Length: %" G_GINT64_FORMAT "\r\n\r\n",
                           length);
    append_text(cl, text);
    g_free(text);
}

/* Returns the number of bytes of its body that a client sends. */
static uint64_t
bytes_to_send(const Client *cl)
{
    bool stops_short =
        crowd.shape == SHAPE_FRAME ||
        ((crowd.shape == SHAPE_LENGTH || crowd.shape == SHAPE_BEHIND) &&
         (gint)cl->number >= crowd.whole);

    if (crowd.shape == SHAPE_ENDLESS) {
        return UINT64_MAX;
    }
    return (uint64_t)crowd.body - (stops_short ? 1 : 0);
}

/* Appends up to `most` bytes of the body. */
static void
append_body(Client *cl, size_t most)
{
    uint64_t left = bytes_to_send(cl) - cl->body_sent;
    size_t n = left < most ? (size_t)left : most;

    g_byte_array_append(cl->output, (guint8 *)crowd.zeros, (guint)n);
    cl->body_sent += n;
    cl->is_done = n == left;
}

/* Appends chunks, several if they are small; the last chunk of a body lacks
 * its last byte unless the client sends it whole. */
static void
append_chunks(Client *cl)
{
    while (!cl->is_done && cl->output->len < WRITE_MAX / 16) {
        uint64_t left = bytes_to_send(cl) - cl->body_sent;
        size_t n =
            left < (uint64_t)crowd.piece ? (size_t)left : (size_t)crowd.piece;
        char size[32];

        g_snprintf(size, sizeof(size), "%zx\r\n", n);
        append_text(cl, size);
        g_byte_array_append(cl->output, (guint8 *)crowd.zeros, (guint)n);
        append_text(cl, "\r\n");
        cl->body_sent += n;
        if (n < left) {
            continue;
        }
        cl->is_done = true;
        if ((gint)cl->number < crowd.whole) {
            append_text(cl, "0\r\n\r\n");
        }
        else {
            g_byte_array_set_size(cl->output, cl->output->len - 3);
        }
    }
}

/* Appends a head that does not end. */
static void
append_endless_head(Client *cl)
{
    char *text = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: %s\r\nX-Long: ", crowd.path, crowd.host);

    append_text(cl, text);
    g_free(text);
    memset(crowd.zeros, 'x', sizeof(crowd.zeros));
    g_byte_array_append(cl->output, (guint8 *)crowd.zeros,
                        (guint)crowd.body - cl->output->len);
    cl->is_done = true;
}

/* Appends the length in front of a frame. */
static void
append_frame_length(Client *cl)
{
    guint32 length = GUINT32_TO_BE((guint32)crowd.body);

    g_byte_array_append(cl->output, (guint8 *)&length, sizeof(length));
}

/* Appends what comes first on a connection. */
static void
append_start(Client *cl)
{
    switch (crowd.shape) {
    case SHAPE_LENGTH:
    case SHAPE_TRICKLED:
        append_head(cl, "POST", crowd.body);
        break;
    case SHAPE_CHUNKED:
    case SHAPE_ENDLESS:
        append_head(cl, "POST", -1);
        break;
    case SHAPE_ANNOUNCED:
        append_head(cl, "POST", crowd.announce);
        break;
    case SHAPE_BEHIND:
        append_head(cl, "GET", 0);
        append_head(cl, "POST", crowd.body);
        break;
    case SHAPE_HEAD:
        append_endless_head(cl);
        break;
    case SHAPE_IDLE:
        cl->is_done = true;
        break;
    case SHAPE_FRAME:
        append_frame_length(cl);
        break;
    default:
        break;
    }
}

/* Appends what comes next. */
static void
append_more(Client *cl)
{
    size_t piece = crowd.piece < (gint)WRITE_MAX ? (size_t)crowd.piece
                                                 : (size_t)WRITE_MAX;

    switch (crowd.shape) {
    case SHAPE_CHUNKED:
    case SHAPE_ENDLESS:
        append_chunks(cl);
        break;
    case SHAPE_TRICKLED:
        append_body(cl, 1);
        cl->resumes_at = g_get_monotonic_time() + TRICKLE_US;
        break;
    case SHAPE_PIPELINED:
        append_head(cl, "POST", crowd.body);
        g_byte_array_append(cl->output, (guint8 *)crowd.zeros,
                            (guint)crowd.body);
        break;
    case SHAPE_UNREAD:
    case SHAPE_SIPPED:
        append_head(cl, "GET", 0);
        cl->is_done = (gint)cl->requests == crowd.requests;
        break;
    default:
        append_body(cl, piece);
        break;
    }
}

static void
close_client(Client *cl)
{
    close(cl->fd);
    cl->fd = -1;
    crowd.closed++;
}

static void
connect_client(Client *cl)
{
    int kept = SIP_KERNEL_BYTES;

    cl->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (crowd.shape == SHAPE_SIPPED) {
        setsockopt(cl->fd, SOL_SOCKET, SO_RCVBUF, &kept, sizeof(kept));
    }
    if (cl->fd < 0 || (connect(cl->fd, (struct sockaddr *)&crowd.address,
                               sizeof(crowd.address)) != 0 &&
                       errno != EINPROGRESS)) {
        perror(NAME);
        exit(1);
    }
    append_start(cl);
}

/* Writes once. */
static void
write_some(Client *cl)
{
    ssize_t n;

    if (cl->written == cl->output->len && !cl->is_done) {
        g_byte_array_set_size(cl->output, 0);
        cl->written = 0;
        append_more(cl);
    }
    n = send(cl->fd, cl->output->data + cl->written,
             cl->output->len - cl->written, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN) {
        close_client(cl);
        return;
    }
    cl->written += n > 0 ? (size_t)n : 0;
}

/* Reads once, and forgets what it has read. */
static void
read_some(Client *cl)
{
    static char buf[WRITE_MAX];
    bool sips = crowd.shape == SHAPE_SIPPED;
    ssize_t n = recv(cl->fd, buf, sips ? SIP_BYTES : sizeof(buf), 0);

    cl->sips_at = g_get_monotonic_time() + (sips ? SIP_US : 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        close_client(cl);
        return;
    }
    crowd.answered += n > 0 && memcmp(buf, "HTTP/1.1 ", 9) == 0;
}

static bool
reads_answers(const Client *cl)
{
    return g_get_monotonic_time() >= cl->sips_at &&
           crowd.shape != SHAPE_PIPELINED && crowd.shape != SHAPE_BEHIND &&
           crowd.shape != SHAPE_UNREAD;
}

static bool
has_output(const Client *cl)
{
    if (cl->written < cl->output->len) {
        return true;
    }
    return !cl->is_done && g_get_monotonic_time() >= cl->resumes_at;
}

/* Writes and reads where that is possible. */
static void
run_round(Client *clients, gint count, struct pollfd *pfds)
{
    for (gint i = 0; i < count; i++) {
        pfds[i].fd = clients[i].fd;
        pfds[i].events = (reads_answers(&clients[i]) ? POLLIN : 0) |
                         (has_output(&clients[i]) ? POLLOUT : 0);
    }
    if (poll(pfds, (nfds_t)count, ROUND_MS) <= 0) {
        return;
    }
    for (gint i = 0; i < count; i++) {
        if (clients[i].fd >= 0 && (pfds[i].revents & POLLOUT) != 0) {
            write_some(&clients[i]);
        }
        if (clients[i].fd >= 0 &&
            (pfds[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
            read_some(&clients[i]);
        }
    }
}

static void
on_signal(int signal)
{
    (void)signal;
    is_told_to_leave = 1;
}

static bool
find_shape(const char *name)
{
    for (int i = 0; i < SHAPE_MAX; i++) {
        if (strcmp(name, shape_names[i]) == 0) {
            crowd.shape = (Shape)i;
            return true;
        }
    }
    return false;
}

static void
run_crowd(void)
{
    gint count = crowd.count;
    Client *clients = g_new0(Client, (gsize)count);
    struct pollfd *pfds = g_new0(struct pollfd, (gsize)count);

    for (gint i = 0; i < count; i++) {
        clients[i].number = (unsigned)i;
        clients[i].output = g_byte_array_new();
        connect_client(&clients[i]);
    }
    while (!is_told_to_leave) {
        run_round(clients, count, pfds);
    }
    printf("%d clients, %u answers, %u closed\n", count, crowd.answered,
           crowd.closed);
    for (gint i = 0; i < count; i++) {
        g_byte_array_unref(clients[i].output);
    }
    g_free(clients);
    g_free(pfds);
}

int
main(int argc, char **argv)
{
    gchar *to = NULL;
    gchar *shape = NULL;
    GOptionEntry entries[] = {
        {"to", 't', 0, G_OPTION_ARG_STRING, &to, "address of a node",
         "IP:PORT"},
        {"shape", 's', 0, G_OPTION_ARG_STRING, &shape, "what is sent", "NAME"},
        {"count", 'c', 0, G_OPTION_ARG_INT, &crowd.count, "clients", "N"},
        {"whole", 'w', 0, G_OPTION_ARG_INT, &crowd.whole,
         "clients that send their whole body", "N"},
        {"body", 'b', 0, G_OPTION_ARG_INT64, &crowd.body, "bytes of a body",
         "N"},
        {"announce", 0, 0, G_OPTION_ARG_INT64, &crowd.announce,
         "length that is announced", "N"},
        {"piece", 'p', 0, G_OPTION_ARG_INT, &crowd.piece,
         "bytes of a write or a chunk", "N"},
        {"requests", 'r', 0, G_OPTION_ARG_INT, &crowd.requests,
         "requests on each connection", "N"},
        {"path", 0, 0, G_OPTION_ARG_STRING, &crowd.path, "path", "PATH"},
        {"host", 0, 0, G_OPTION_ARG_STRING, &crowd.host, "host", "NAME"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    int rc;

    crowd.piece = WRITE_MAX;
    rc = JdProgram_ParseOptions(NAME, "- clients that do not behave", entries,
                                &argc, &argv);
    if (rc != 0) {
        return rc;
    }
    if (to == NULL || shape == NULL || crowd.path == NULL ||
        crowd.host == NULL || crowd.count < 1 || !find_shape(shape)) {
        return JdProgram_UsageError(
            NAME, "--to, --shape, --count, --path and --host are required");
    }
    if (crowd.piece < 1 || crowd.piece > (gint)WRITE_MAX || crowd.body < 0 ||
        (crowd.shape == SHAPE_PIPELINED && crowd.body > (gint)WRITE_MAX) ||
        (crowd.shape == SHAPE_HEAD &&
         (crowd.body < 256 || crowd.body > (gint)WRITE_MAX))) {
        return JdProgram_UsageError(NAME, "--piece or --body is out of range");
    }
    if (JdAddress_Parse(to, &crowd.address, &err) != JD_OK) {
        return JdProgram_Fail(NAME, &err);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_signal);
    run_crowd();
    return 0;
}
