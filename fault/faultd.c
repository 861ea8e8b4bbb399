/*
 * Fault-injecting TCP proxy and link emulator.
 *
 * It listens on all loopback addresses.  The destination address tells it both
 * endpoints: a connection to 127.(10+S).D.H comes from failure domain S and is
 * forwarded to host 127.N.D.H, where N is --network, at the port that --port
 * maps the listening port to.  Data is delayed by the one-way latency between
 * the two failure domains.  All traffic from one region to another shares one
 * bandwidth limit; the opposite direction has its own.  Faults are set over
 * HTTP and take effect on open connections.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "../base/base.h"

#define PROGRAM_NAME "jd-faultd"
/* Failure domains have numbers from 1 to below this. */
#define MAX_DOMAINS 32
#define MAX_PORTS 4
/* Bytes queued in one direction at which reading from the sender pauses. */
#define MAX_QUEUED_BYTES (1U << 20)
/* Bytes that are delivered at a time: a link does not hold back megabytes
 * until the last of them has arrived. */
#define MAX_CHUNK_BYTES 16384U
/* Bytes that the kernel takes of a sender. */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/* Added to the number of the source domain, this makes the second byte of the
 * destination address. */
#define SOURCE_BYTE_BASE 10

/* Fault on the data sent from one failure domain to another. */
typedef enum Fault {
    FAULT_NONE,
    FAULT_CUT,         /* closes connections and refuses new ones */
    FAULT_SILENCE,     /* drops all data, connections stay open */
    FAULT_SILENCE_OLD, /* the same on connections opened before it */
    FAULT_TRUNCATE,    /* once: forwards half of a read, then closes */
    FAULT_DUPLICATE,   /* once: forwards a read twice */
    FAULT_RESET,       /* once: resets the open connections */
    FAULT_MAX
} Fault;

static const char *const fault_names[FAULT_MAX] = {
    [FAULT_NONE] = "none",         [FAULT_CUT] = "cut",
    [FAULT_SILENCE] = "silence",   [FAULT_SILENCE_OLD] = "silence-old",
    [FAULT_TRUNCATE] = "truncate", [FAULT_DUPLICATE] = "duplicate",
    [FAULT_RESET] = "reset",
};

/* Link from one failure domain to another, in one direction. */
typedef struct Link {
    Fault fault;
    uint64_t fault_set_at;
    uint64_t extra_us; /* delay added to the one-way latency */
    uint64_t bytes;
} Link;

/* Data of one read, queued until its delivery time. */
typedef struct Chunk {
    TAILQ_ENTRY(Chunk) entry;
    uint64_t deliver_at;
    size_t len;
    bool is_end; /* closes the session; without data */
    char data[];
} Chunk;

/* One direction of a session. */
typedef struct Pipe {
    struct Session *session;
    h2o_socket_t *in;
    h2o_socket_t *out;
    unsigned from;
    unsigned to;
    TAILQ_HEAD(ChunkHead, Chunk) chunks;
    size_t queued_bytes;
    JdTimer timer;
    bool is_writing;
    Chunk *writing;
} Pipe;

/* A proxied connection: a socket to the client and one to the server. */
typedef struct Session {
    TAILQ_ENTRY(Session) entry;
    Pipe to_server;
    Pipe to_client;
    h2o_socket_t *client;
    h2o_socket_t *server;
    uint64_t opened_at;
    bool is_closing;
    JdTimer free_timer; /* frees after the callbacks in progress */
} Session;

/* A listening port and the port that its connections are forwarded to. */
typedef struct Port {
    uint16_t listen;
    uint16_t forward;
    h2o_socket_t *listener;
} Port;

typedef struct Proxy {
    JdLoop loop;
    JdHttpd httpd;
    Port port[MAX_PORTS];
    unsigned ports;
    Link links[MAX_DOMAINS][MAX_DOMAINS]; /* by source and destination */
    unsigned region[MAX_DOMAINS];         /* by failure domain */
    uint32_t network;     /* second byte of the addresses of nodes */
    uint64_t domain_us;   /* one-way latency within a region */
    uint64_t region_us;   /* one-way latency between regions */
    uint64_t region_bits; /* per second and direction; 0: unlimited */
    /* When the link is idle again, by source and destination region. */
    uint64_t busy_until[MAX_DOMAINS][MAX_DOMAINS];
    uint64_t region_bytes; /* sent between regions */
    TAILQ_HEAD(SessionHead, Session) sessions;
} Proxy;

static Proxy proxy;

static void write_due_chunk(void *ctx);
static void on_readable(h2o_socket_t *sock, const char *err);

/* ---- sessions ---------------------------------------------------------- */

static void
free_pipe(Pipe *p)
{
    Chunk *c;

    JdTimer_Cancel(&proxy.loop.clock, &p->timer);
    while ((c = TAILQ_FIRST(&p->chunks)) != NULL) {
        TAILQ_REMOVE(&p->chunks, c, entry);
        g_free(c);
    }
    g_free(p->writing);
}

static void
free_session(void *ctx)
{
    Session *ss = ctx;

    TAILQ_REMOVE(&proxy.sessions, ss, entry);
    free_pipe(&ss->to_server);
    free_pipe(&ss->to_client);
    g_free(ss);
}

static void
close_session(Session *ss)
{
    if (ss->is_closing) {
        return;
    }
    ss->is_closing = true;
    if (ss->client != NULL) {
        h2o_socket_close(ss->client);
    }
    if (ss->server != NULL) {
        h2o_socket_close(ss->server);
    }
    JdTimer_Cancel(&proxy.loop.clock, &ss->to_server.timer);
    JdTimer_Cancel(&proxy.loop.clock, &ss->to_client.timer);
    JdTimer_Arm(&proxy.loop.clock, &ss->free_timer, 0);
}

/* Makes close() reset the connection. */
static void
reset_on_close(h2o_socket_t *sock)
{
    struct linger lg = {.l_onoff = 1, .l_linger = 0};

    if (sock != NULL) {
        setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_LINGER, &lg,
                   sizeof(lg));
    }
}

/* ---- links ------------------------------------------------------------- */

/*
 * Returns the delivery time of `len` bytes that arrive now.  Between regions
 * they first occupy the link for as long as its bandwidth requires.
 */
static uint64_t
delivery_time(unsigned from, unsigned to, size_t len)
{
    uint64_t now = JdClock_Now(&proxy.loop.clock);
    uint64_t extra = proxy.links[from][to].extra_us;
    unsigned from_region = proxy.region[from];
    unsigned to_region = proxy.region[to];
    uint64_t *busy = &proxy.busy_until[from_region][to_region];

    if (from == to) {
        return now + extra;
    }
    if (from_region == to_region) {
        return now + proxy.domain_us + extra;
    }
    proxy.region_bytes += len;
    if (*busy < now) {
        *busy = now;
    }
    if (proxy.region_bits > 0) {
        *busy += len * 8 * JD_US_PER_S / proxy.region_bits;
    }
    return *busy + proxy.region_us + extra;
}

static bool
drops_data(const Pipe *p)
{
    const Link *l = &proxy.links[p->from][p->to];

    return l->fault == FAULT_SILENCE ||
           (l->fault == FAULT_SILENCE_OLD &&
            p->session->opened_at <= l->fault_set_at);
}

/* Queues a copy of the data for delivery; `is_end` closes the session then. */
static void
queue_chunk(Pipe *p, const char *data, size_t len, bool is_end)
{
    Chunk *c = g_malloc(sizeof(*c) + len);

    c->deliver_at = delivery_time(p->from, p->to, len);
    c->len = len;
    c->is_end = is_end;
    if (len > 0) {
        memcpy(c->data, data, len);
    }
    p->queued_bytes += len;
    TAILQ_INSERT_TAIL(&p->chunks, c, entry);
    if (TAILQ_FIRST(&p->chunks) == c && !p->is_writing) {
        JdTimer_Arm(&proxy.loop.clock, &p->timer,
                    c->deliver_at - JdClock_Now(&proxy.loop.clock));
    }
}

/* Queues data in chunks. */
static void
queue_data(Pipe *p, const char *data, size_t len)
{
    while (len > 0) {
        size_t n = len < MAX_CHUNK_BYTES ? len : MAX_CHUNK_BYTES;

        queue_chunk(p, data, n, false);
        data += n;
        len -= n;
    }
}

/*
 * Queues data for the receiver, subject to the fault that is set.  Truncation
 * and duplication apply to one read and clear the fault.
 */
static void
relay_data(Pipe *p, const char *data, size_t len)
{
    Link *l = &proxy.links[p->from][p->to];

    l->bytes += len;
    if (drops_data(p) || len == 0) {
        return;
    }
    if (l->fault == FAULT_TRUNCATE) {
        l->fault = FAULT_NONE;
        queue_chunk(p, data, len / 2, false);
        queue_chunk(p, NULL, 0, true);
        return;
    }
    queue_data(p, data, len);
    if (l->fault == FAULT_DUPLICATE) {
        l->fault = FAULT_NONE;
        queue_data(p, data, len);
    }
}

static void
start_reading(Pipe *p)
{
    int size = RECEIVE_BUFFER_BYTES;

    if (!h2o_socket_is_reading(p->in)) {
        setsockopt(h2o_socket_get_fd(p->in), SOL_SOCKET, SO_RCVBUF, &size,
                   sizeof(size));
        h2o_socket_read_start(p->in, on_readable);
    }
}

static Pipe *
pipe_with_input(h2o_socket_t *sock)
{
    Session *ss = sock->data;

    return sock == ss->client ? &ss->to_server : &ss->to_client;
}

static void
on_readable(h2o_socket_t *sock, const char *err)
{
    Pipe *p = pipe_with_input(sock);

    if (err != NULL) {
        h2o_socket_read_stop(sock);
        if (!drops_data(p)) {
            queue_chunk(p, NULL, 0, true);
        }
        return;
    }
    relay_data(p, sock->input->bytes, sock->input->size);
    h2o_buffer_consume(&sock->input, sock->input->size);
    if (p->queued_bytes > MAX_QUEUED_BYTES) {
        h2o_socket_read_stop(sock);
    }
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    Session *ss = sock->data;
    Pipe *p = sock == ss->server ? &ss->to_server : &ss->to_client;

    p->is_writing = false;
    g_free(p->writing);
    p->writing = NULL;
    if (err != NULL) {
        close_session(ss);
        return;
    }
    if (p->queued_bytes <= MAX_QUEUED_BYTES) {
        start_reading(p);
    }
    write_due_chunk(p);
}

/* Writes the first chunk if it is due, or waits until it is. */
static void
write_due_chunk(void *ctx)
{
    Pipe *p = ctx;
    Chunk *c = TAILQ_FIRST(&p->chunks);
    uint64_t now = JdClock_Now(&proxy.loop.clock);
    h2o_iovec_t iov;

    if (c == NULL || p->is_writing) {
        return;
    }
    if (c->deliver_at > now) {
        JdTimer_Arm(&proxy.loop.clock, &p->timer, c->deliver_at - now);
        return;
    }
    TAILQ_REMOVE(&p->chunks, c, entry);
    p->queued_bytes -= c->len;
    if (c->is_end) {
        g_free(c);
        close_session(p->session);
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
    Session *ss = sock->data;

    if (err != NULL) {
        close_session(ss);
        return;
    }
    start_reading(&ss->to_server);
    start_reading(&ss->to_client);
}

static void
init_pipe(Pipe *p, Session *ss, h2o_socket_t *in, h2o_socket_t *out,
          unsigned from, unsigned to)
{
    p->session = ss;
    p->in = in;
    p->out = out;
    p->from = from;
    p->to = to;
    TAILQ_INIT(&p->chunks);
    JdTimer_Init(&p->timer, write_due_chunk, p);
}

static void
open_session(h2o_socket_t *client, const Port *port)
{
    struct sockaddr_in sin;
    Session *ss;
    uint32_t ip;
    unsigned from, to;

    h2o_socket_getsockname(client, (struct sockaddr *)&sin);
    ip = ntohl(sin.sin_addr.s_addr);
    from = (ip >> 16 & 0xff) - SOURCE_BYTE_BASE;
    to = ip >> 8 & 0xff;
    /* The log has 127.N.200.1 and belongs to failure domain 1. */
    to = to == 200 ? 1 : to;
    if (from >= MAX_DOMAINS || to >= MAX_DOMAINS ||
        proxy.links[from][to].fault == FAULT_CUT) {
        h2o_socket_close(client);
        return;
    }
    sin.sin_addr.s_addr = htonl((ip & 0xff00ffff) | proxy.network << 16);
    sin.sin_port = htons(port->forward);
    ss = g_new0(Session, 1);
    ss->client = client;
    ss->opened_at = JdClock_Now(&proxy.loop.clock);
    JdTimer_Init(&ss->free_timer, free_session, ss);
    TAILQ_INSERT_TAIL(&proxy.sessions, ss, entry);
    ss->server = h2o_socket_connect(proxy.loop.evloop, (struct sockaddr *)&sin,
                                    sizeof(sin), on_connected);
    init_pipe(&ss->to_server, ss, client, ss->server, from, to);
    init_pipe(&ss->to_client, ss, ss->server, client, to, from);
    client->data = ss;
    if (ss->server == NULL) {
        close_session(ss);
        return;
    }
    ss->server->data = ss;
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    h2o_socket_t *sock;

    if (err != NULL) {
        return;
    }
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        open_session(sock, listener->data);
    }
}

/* ---- control ----------------------------------------------------------- */

static void
set_fault(unsigned from, unsigned to, Fault f, uint64_t extra_us)
{
    Link *l = &proxy.links[from][to];
    Session *ss;

    l->fault = f;
    l->fault_set_at = JdClock_Now(&proxy.loop.clock);
    l->extra_us = extra_us;
    if (f == FAULT_RESET) {
        l->fault = FAULT_NONE;
    }
    else if (f != FAULT_CUT) {
        return;
    }
    TAILQ_FOREACH(ss, &proxy.sessions, entry)
    {
        if ((ss->to_server.from == from && ss->to_server.to == to) ||
            (ss->to_client.from == from && ss->to_client.to == to)) {
            if (f == FAULT_RESET && !ss->is_closing) {
                reset_on_close(ss->client);
                reset_on_close(ss->server);
            }
            close_session(ss);
        }
    }
}

static bool
matches_domain(uint64_t want, unsigned domain)
{
    return want == 0 || want == domain;
}

/*
 * POST /fault?from=S&to=D&mode=NAME&extra_ms=N sets the fault and the extra
 * delay of the links from failure domain S to D.  0 stands for every domain; a
 * domain's link to itself changes only if both S and D name it.
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
    for (unsigned s = 1; s < MAX_DOMAINS; s++) {
        for (unsigned d = 1; d < MAX_DOMAINS; d++) {
            if (matches_domain(from, s) && matches_domain(to, d) &&
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
        JdHttpd_ReplyJson(req, 200,
                          json_pack("{s:I}", "region_bytes",
                                    (json_int_t)proxy.region_bytes));
    }
    else {
        JdHttpd_Reply(req, 404, "text/plain", "no such path\n", 13);
    }
}

static JdStatus
add_port(const char *text, JdError *err)
{
    Port *p = &proxy.port[proxy.ports];
    unsigned listen, forward;
    char address[JD_ADDRESS_MAX];
    JdStatus s;
    int sock;

    if (proxy.ports == MAX_PORTS ||
        sscanf(text, "%u=%u", &listen, &forward) != 2) {
        return JdError_Set(
            err, JD_ERR_USAGE, "",
            "invalid --port \"%s\": no LISTEN=FORWARD, or too many ports",
            text);
    }
    snprintf(address, sizeof(address), "0.0.0.0:%u", listen);
    s = JdListen(address, &sock, err);
    if (s != JD_OK) {
        return s;
    }
    p->listen = (uint16_t)listen;
    p->forward = (uint16_t)forward;
    p->listener = h2o_evloop_socket_create(proxy.loop.evloop, sock,
                                           H2O_SOCKET_FLAG_DONT_READ);
    p->listener->data = p;
    h2o_socket_read_start(p->listener, on_accept);
    proxy.ports++;
    return JD_OK;
}

/*
 * Parses the failure domains of each region, such as "1,2/3,4" for domains 1
 * and 2 in the first region and 3 and 4 in the second.
 */
static void
parse_regions(const char *text)
{
    unsigned region = 1;

    for (const char *p = text; *p != '\0'; p++) {
        if (*p == '/') {
            region++;
        }
        else if (*p != ',') {
            unsigned d = (unsigned)strtoul(p, (char **)&p, 10);

            if (d < MAX_DOMAINS) {
                proxy.region[d] = region;
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
        {"admin", 'a', 0, G_OPTION_ARG_STRING, &admin,
         "address of the control server", "IP:PORT"},
        {"port", 'p', 0, G_OPTION_ARG_STRING_ARRAY, &ports,
         "port to listen on and port to forward to", "LISTEN=FORWARD"},
        {"network", 'n', 0, G_OPTION_ARG_INT, &network,
         "second byte of the addresses of nodes", "N"},
        {"regions", 'r', 0, G_OPTION_ARG_STRING, &regions,
         "failure domains by region", "1,2/3,4"},
        {"domain-us", 0, 0, G_OPTION_ARG_INT, &domain_us,
         "one-way latency between failure domains of a region", "US"},
        {"region-us", 0, 0, G_OPTION_ARG_INT, &region_us,
         "one-way latency between regions", "US"},
        {"region-bits", 0, 0, G_OPTION_ARG_INT, &bits,
         "bandwidth between regions in bit/s, each direction; 0: unlimited",
         "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError err = {0};
    JdStatus s;
    int rc = JdProgram_ParseOptions(PROGRAM_NAME,
                                    "- network link and fault emulator",
                                    entries, &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (admin == NULL || ports == NULL) {
        return JdProgram_UsageError(PROGRAM_NAME,
                                    "--admin and --port are required");
    }
    JdLogging_Init(PROGRAM_NAME, NULL);
    JdLoop_Init(&proxy.loop);
    TAILQ_INIT(&proxy.sessions);
    proxy.network = (uint32_t)network & 0xff;
    proxy.domain_us = (uint64_t)domain_us;
    proxy.region_us = (uint64_t)region_us;
    proxy.region_bits = (uint64_t)bits;
    parse_regions(regions == NULL ? "" : regions);
    s = JdHttpd_Init(&proxy.httpd, &proxy.loop, admin, 1024, on_request, NULL,
                     &err);
    for (int i = 0; s == JD_OK && ports[i] != NULL; i++) {
        s = add_port(ports[i], &err);
    }
    return s == JD_OK ? JdProgram_Run(&proxy.loop)
                      : JdProgram_Fail(PROGRAM_NAME, &err);
}
