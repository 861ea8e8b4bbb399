/*
 * Fault-injecting proxy and link emulator.
 *
 * It listens on all loopback addresses.  A connection to 127.(10+S).D.H at a
 * listening port comes from failure domain S and goes to host 127.N.D.H at
 * the port that belongs to it.  Bytes get the delay of the link between the
 * two domains; links between regions share a narrow bandwidth, one for each
 * direction.  Faults are set over HTTP while connections are open.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "../base/base.h"

#define NAME "jd-faultd"
#define DOMAINS_MOST 32
#define PORTS_MOST 4
/* Bytes that wait in one direction before reading stops. */
#define WAITING_MOST (1U << 20)
/* Second byte of the address for domain 0. */
#define DOMAIN_BASE 10

/* What is done to the bytes from one domain to another. */
typedef enum Fault {
    FAULT_NONE,
    FAULT_CUT,         /* connections are closed and refused */
    FAULT_SILENCE,     /* bytes vanish, connections stay open */
    FAULT_SILENCE_OLD, /* as silence, for connections opened before */
    FAULT_TRUNCATE,    /* the next bytes are halved, then the end */
    FAULT_DUPLICATE,   /* the next bytes are sent twice */
    FAULT_MAX
} Fault;

static const char *const fault_names[FAULT_MAX] = {
    [FAULT_NONE] = "none",         [FAULT_CUT] = "cut",
    [FAULT_SILENCE] = "silence",   [FAULT_SILENCE_OLD] = "silence-old",
    [FAULT_TRUNCATE] = "truncate", [FAULT_DUPLICATE] = "duplicate",
};

/* The link from one domain to another, in one direction. */
typedef struct Link {
    Fault fault;
    uint64_t fault_at;
    uint64_t extra_us; /* delay on top of the distance */
    uint64_t bytes;
} Link;

typedef struct Chunk {
    TAILQ_ENTRY(Chunk) link;
    uint64_t due;
    size_t len;
    bool is_end;
    char data[];
} Chunk;

/* One direction of a connection. */
typedef struct Pipe {
    struct Pair *pair;
    h2o_socket_t *in;
    h2o_socket_t *out;
    unsigned from;
    unsigned to;
    TAILQ_HEAD(ChunkHead, Chunk) chunks;
    size_t waiting;
    JdTimer timer;
    bool is_writing;
    Chunk *writing;
} Pipe;

typedef struct Pair {
    TAILQ_ENTRY(Pair) link;
    Pipe there;
    Pipe back;
    h2o_socket_t *near;
    h2o_socket_t *far;
    uint64_t opened;
    bool is_closing;
    JdTimer reap;
} Pair;

typedef struct Port {
    uint16_t listen;
    uint16_t forward;
    h2o_socket_t *sock;
} Port;

typedef struct Faultd {
    JdLoop loop;
    JdHttpd httpd;
    Port port[PORTS_MOST];
    unsigned ports;
    Link links[DOMAINS_MOST][DOMAINS_MOST];
    unsigned region[DOMAINS_MOST];
    uint32_t network; /* second byte of the addresses of nodes */
    uint64_t domain_us;
    uint64_t region_us;
    uint64_t region_bits;
    uint64_t busy_until[DOMAINS_MOST][DOMAINS_MOST]; /* by regions */
    uint64_t region_bytes;
    TAILQ_HEAD(PairHead, Pair) pairs;
} Faultd;

static Faultd fd;

static void pump(void *ctx);
static void on_readable(h2o_socket_t *sock, const char *err);

/* ---- pairs ------------------------------------------------------------- */

static void
free_pipe(Pipe *p)
{
    Chunk *c;

    JdTimer_Cancel(&fd.loop.clock, &p->timer);
    while ((c = TAILQ_FIRST(&p->chunks)) != NULL) {
        TAILQ_REMOVE(&p->chunks, c, link);
        g_free(c);
    }
    g_free(p->writing);
}

static void
reap(void *ctx)
{
    Pair *pr = ctx;

    TAILQ_REMOVE(&fd.pairs, pr, link);
    free_pipe(&pr->there);
    free_pipe(&pr->back);
    g_free(pr);
}

static void
close_pair(Pair *pr)
{
    if (pr->is_closing) {
        return;
    }
    pr->is_closing = true;
    if (pr->near != NULL) {
        h2o_socket_close(pr->near);
    }
    if (pr->far != NULL) {
        h2o_socket_close(pr->far);
    }
    JdTimer_Cancel(&fd.loop.clock, &pr->there.timer);
    JdTimer_Cancel(&fd.loop.clock, &pr->back.timer);
    JdTimer_Arm(&fd.loop.clock, &pr->reap, 0);
}

/* ---- links ------------------------------------------------------------- */

/* Returns when bytes that arrive now reach the other side. */
static uint64_t
due_at(unsigned from, unsigned to, size_t len)
{
    uint64_t now = JdClock_Now(&fd.loop.clock);
    uint64_t extra = fd.links[from][to].extra_us;
    unsigned a = fd.region[from];
    unsigned b = fd.region[to];
    uint64_t *busy = &fd.busy_until[a][b];

    if (from == to) {
        return now + extra;
    }
    if (a == b) {
        return now + fd.domain_us + extra;
    }
    fd.region_bytes += len;
    if (*busy < now) {
        *busy = now;
    }
    if (fd.region_bits > 0) {
        *busy += len * 8 * JD_US_PER_S / fd.region_bits;
    }
    return *busy + fd.region_us + extra;
}

static bool
is_silent(const Pipe *p)
{
    const Link *l = &fd.links[p->from][p->to];

    return l->fault == FAULT_SILENCE ||
           (l->fault == FAULT_SILENCE_OLD && p->pair->opened <= l->fault_at);
}

static void
add_chunk(Pipe *p, const char *data, size_t len, bool is_end)
{
    Chunk *c = g_malloc(sizeof(*c) + len);

    c->due = due_at(p->from, p->to, len);
    c->len = len;
    c->is_end = is_end;
    if (len > 0) {
        memcpy(c->data, data, len);
    }
    p->waiting += len;
    TAILQ_INSERT_TAIL(&p->chunks, c, link);
    if (TAILQ_FIRST(&p->chunks) == c && !p->is_writing) {
        JdTimer_Arm(&fd.loop.clock, &p->timer,
                    c->due - JdClock_Now(&fd.loop.clock));
    }
}

/* Passes bytes on by the fault that is set; a fault of bytes acts once. */
static void
take_bytes(Pipe *p, const char *data, size_t len)
{
    Link *l = &fd.links[p->from][p->to];

    l->bytes += len;
    if (is_silent(p) || len == 0) {
        return;
    }
    if (l->fault == FAULT_TRUNCATE) {
        l->fault = FAULT_NONE;
        add_chunk(p, data, len / 2, false);
        add_chunk(p, NULL, 0, true);
        return;
    }
    add_chunk(p, data, len, false);
    if (l->fault == FAULT_DUPLICATE) {
        l->fault = FAULT_NONE;
        add_chunk(p, data, len, false);
    }
}

static void
start_reading(Pipe *p)
{
    if (!h2o_socket_is_reading(p->in)) {
        h2o_socket_read_start(p->in, on_readable);
    }
}

static Pipe *
pipe_of(h2o_socket_t *sock)
{
    Pair *pr = sock->data;

    return sock == pr->near ? &pr->there : &pr->back;
}

static void
on_readable(h2o_socket_t *sock, const char *err)
{
    Pipe *p = pipe_of(sock);

    if (err != NULL) {
        h2o_socket_read_stop(sock);
        if (!is_silent(p)) {
            add_chunk(p, NULL, 0, true);
        }
        return;
    }
    take_bytes(p, sock->input->bytes, sock->input->size);
    h2o_buffer_consume(&sock->input, sock->input->size);
    if (p->waiting > WAITING_MOST) {
        h2o_socket_read_stop(sock);
    }
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    Pair *pr = sock->data;
    Pipe *p = sock == pr->far ? &pr->there : &pr->back;

    p->is_writing = false;
    g_free(p->writing);
    p->writing = NULL;
    if (err != NULL) {
        close_pair(pr);
        return;
    }
    if (p->waiting <= WAITING_MOST) {
        start_reading(p);
    }
    pump(p);
}

/* Writes the chunk whose time has come. */
static void
pump(void *ctx)
{
    Pipe *p = ctx;
    Chunk *c = TAILQ_FIRST(&p->chunks);
    uint64_t now = JdClock_Now(&fd.loop.clock);
    h2o_iovec_t iov;

    if (c == NULL || p->is_writing) {
        return;
    }
    if (c->due > now) {
        JdTimer_Arm(&fd.loop.clock, &p->timer, c->due - now);
        return;
    }
    TAILQ_REMOVE(&p->chunks, c, link);
    p->waiting -= c->len;
    if (c->is_end) {
        g_free(c);
        close_pair(p->pair);
        return;
    }
    p->writing = c;
    p->is_writing = true;
    iov = h2o_iovec_init(c->data, c->len);
    h2o_socket_write(p->out, &iov, 1, on_written);
}

/* ---- connections ------------------------------------------------------- */

static void
on_connected(h2o_socket_t *sock, const char *err)
{
    Pair *pr = sock->data;

    if (err != NULL) {
        close_pair(pr);
        return;
    }
    start_reading(&pr->there);
    start_reading(&pr->back);
}

static void
init_pipe(Pipe *p, Pair *pr, h2o_socket_t *in, h2o_socket_t *out,
          unsigned from, unsigned to)
{
    p->pair = pr;
    p->in = in;
    p->out = out;
    p->from = from;
    p->to = to;
    TAILQ_INIT(&p->chunks);
    JdTimer_Init(&p->timer, pump, p);
}

static void
open_pair(h2o_socket_t *near, const Port *port)
{
    struct sockaddr_in sin;
    Pair *pr;
    uint32_t ip;
    unsigned from, to;

    h2o_socket_getsockname(near, (struct sockaddr *)&sin);
    ip = ntohl(sin.sin_addr.s_addr);
    from = (ip >> 16 & 0xff) - DOMAIN_BASE;
    to = ip >> 8 & 0xff;
    /* The log's own network belongs to the first domain. */
    to = to == 200 ? 1 : to;
    if (from >= DOMAINS_MOST || to >= DOMAINS_MOST ||
        fd.links[from][to].fault == FAULT_CUT) {
        h2o_socket_close(near);
        return;
    }
    sin.sin_addr.s_addr = htonl((ip & 0xff00ffff) | fd.network << 16);
    sin.sin_port = htons(port->forward);
    pr = g_new0(Pair, 1);
    pr->near = near;
    pr->opened = JdClock_Now(&fd.loop.clock);
    JdTimer_Init(&pr->reap, reap, pr);
    TAILQ_INSERT_TAIL(&fd.pairs, pr, link);
    pr->far = h2o_socket_connect(fd.loop.evloop, (struct sockaddr *)&sin,
                                 sizeof(sin), on_connected);
    init_pipe(&pr->there, pr, near, pr->far, from, to);
    init_pipe(&pr->back, pr, pr->far, near, to, from);
    near->data = pr;
    if (pr->far == NULL) {
        close_pair(pr);
        return;
    }
    pr->far->data = pr;
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    h2o_socket_t *sock;

    if (err != NULL) {
        return;
    }
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        open_pair(sock, listener->data);
    }
}

/* ---- control ----------------------------------------------------------- */

static void
set_fault(unsigned from, unsigned to, Fault f, uint64_t extra_us)
{
    Link *l = &fd.links[from][to];
    Pair *pr;

    l->fault = f;
    l->fault_at = JdClock_Now(&fd.loop.clock);
    l->extra_us = extra_us;
    if (f != FAULT_CUT) {
        return;
    }
    TAILQ_FOREACH(pr, &fd.pairs, link)
    {
        if ((pr->there.from == from && pr->there.to == to) ||
            (pr->back.from == from && pr->back.to == to)) {
            close_pair(pr);
        }
    }
}

static bool
matches(uint64_t want, unsigned domain)
{
    return want == 0 || want == domain;
}

/*
 * POST /fault?from=S&to=D&mode=NAME&extra_ms=N; domain 0 stands for all.
 * Links of a domain with itself change only when both are named.
 */
static void
on_fault(h2o_req_t *req)
{
    uint64_t from = JdHttpd_QueryNumber(req, "from", 0);
    uint64_t to = JdHttpd_QueryNumber(req, "to", 0);
    uint64_t extra = JdHttpd_QueryNumber(req, "extra_ms", 0) * JD_US_PER_MS;
    char mode[24] = "none";
    Fault f = FAULT_NONE;

    JdHttpd_CopyQueryParam(req, "mode", mode, sizeof(mode));
    for (int i = 0; i < FAULT_MAX; i++) {
        if (strcmp(mode, fault_names[i]) == 0) {
            f = (Fault)i;
        }
    }
    for (unsigned s = 1; s < DOMAINS_MOST; s++) {
        for (unsigned d = 1; d < DOMAINS_MOST; d++) {
            if (matches(from, s) && matches(to, d) &&
                (s != d || (from != 0 && to != 0))) {
                set_fault(s, d, f, extra);
            }
        }
    }
    JdHttpd_ReplyJson(req, 200, json_pack("{s:s}", "mode", fault_names[f]));
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    if (JdHttpd_IsPath(req, "/fault")) {
        on_fault(req);
    }
    else if (JdHttpd_IsPath(req, "/stats")) {
        JdHttpd_ReplyJson(
            req, 200,
            json_pack("{s:I}", "region_bytes", (json_int_t)fd.region_bytes));
    }
    else {
        JdHttpd_Reply(req, 404, "text/plain", "no such path\n", 13);
    }
}

static JdStatus
add_port(const char *text, JdError *err)
{
    Port *p = &fd.port[fd.ports];
    unsigned listen, forward;
    char address[JD_ADDRESS_MAX];
    JdStatus s;
    int sock;

    if (fd.ports == PORTS_MOST ||
        sscanf(text, "%u=%u", &listen, &forward) != 2) {
        return JdError_Set(err, JD_ERR_USAGE, "", "no LISTEN=FORWARD: %s",
                           text);
    }
    snprintf(address, sizeof(address), "0.0.0.0:%u", listen);
    s = JdListen(address, &sock, err);
    if (s != JD_OK) {
        return s;
    }
    p->listen = (uint16_t)listen;
    p->forward = (uint16_t)forward;
    p->sock = h2o_evloop_socket_create(fd.loop.evloop, sock,
                                       H2O_SOCKET_FLAG_DONT_READ);
    p->sock->data = p;
    h2o_socket_read_start(p->sock, on_accept);
    fd.ports++;
    return JD_OK;
}

/* Reads "1,2/3,4": domains by region. */
static void
read_regions(const char *text)
{
    unsigned region = 1;

    for (const char *p = text; *p != '\0'; p++) {
        if (*p == '/') {
            region++;
        }
        else if (*p != ',') {
            unsigned d = (unsigned)strtoul(p, (char **)&p, 10);

            if (d < DOMAINS_MOST) {
                fd.region[d] = region;
            }
            p--;
        }
    }
}

int
main(int argc, char **argv)
{
    gchar *admin = NULL;
    gchar *regions = NULL;
    gchar **ports = NULL;
    gint domain_us = 0, region_us = 0, bits = 0, network = 0;
    GOptionEntry entries[] = {
        {"admin", 'a', 0, G_OPTION_ARG_STRING, &admin, "control", "IP:PORT"},
        {"port", 'p', 0, G_OPTION_ARG_STRING_ARRAY, &ports,
         "port to listen on and port to forward to", "LISTEN=FORWARD"},
        {"network", 'n', 0, G_OPTION_ARG_INT, &network,
         "second byte of the addresses of nodes", "N"},
        {"regions", 'r', 0, G_OPTION_ARG_STRING, &regions,
         "failure domains by region", "1,2/3,4"},
        {"domain-us", 0, 0, G_OPTION_ARG_INT, &domain_us,
         "one way between failure domains", "US"},
        {"region-us", 0, 0, G_OPTION_ARG_INT, &region_us,
         "one way between regions", "US"},
        {"region-bits", 0, 0, G_OPTION_ARG_INT, &bits,
         "bits per second between regions, each direction", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    JdStatus s;
    int rc = JdProgram_ParseOptions(NAME, "- link and fault emulator", entries,
                                    &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (admin == NULL || ports == NULL) {
        return JdProgram_UsageError(NAME, "--admin and --port are required");
    }
    JdLogging_Init(NAME, NULL);
    JdLoop_Init(&fd.loop);
    TAILQ_INIT(&fd.pairs);
    fd.network = (uint32_t)network & 0xff;
    fd.domain_us = (uint64_t)domain_us;
    fd.region_us = (uint64_t)region_us;
    fd.region_bits = (uint64_t)bits;
    read_regions(regions == NULL ? "" : regions);
    s = JdHttpd_Init(&fd.httpd, &fd.loop, admin, 1024, on_request, NULL, &err);
    for (int i = 0; s == JD_OK && ports[i] != NULL; i++) {
        s = add_port(ports[i], &err);
    }
    return s == JD_OK ? JdProgram_Run(&fd.loop) : JdProgram_Fail(NAME, &err);
}
