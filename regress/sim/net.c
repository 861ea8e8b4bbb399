/* The fake network: connections in order, with delay, cuts and silence. */
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

static unsigned
region_of(unsigned domain)
{
    return domain / 2;
}

static uint64_t
delay_between(const SimNode *a, const SimNode *b)
{
    uint64_t jitter = JdRandom_Below(&sim.random, 500);

    if (region_of(a->domain) != region_of(b->domain)) {
        return 20 * JD_US_PER_MS + jitter;
    }
    return (a->domain != b->domain ? JD_US_PER_MS : 100) + jitter;
}

void
SimNet_Init(void)
{
    TAILQ_INIT(&sim.conns);
}

static SimNode *
find_node(const char *address)
{
    unsigned i = (unsigned)strtoul(address, NULL, 10);

    return i < sim.nodes ? &sim.node[i] : NULL;
}

static void
post(SimEnd *from, SimEnd *to, SimMessage *m)
{
    SimConn *conn = from->conn;
    int side = to == &conn->end[1];
    SimMessage *last = TAILQ_LAST(&conn->queue[side], SimMessages);

    m->to = to;
    m->deliver_at = sim.now + delay_between(from->node, to->node);
    if (last != NULL && m->deliver_at < last->deliver_at) {
        m->deliver_at = last->deliver_at;
    }
    TAILQ_INSERT_TAIL(&conn->queue[side], m, link);
}

static void
post_mark(SimEnd *from, SimEnd *to, bool is_close)
{
    SimMessage *m = g_malloc0(sizeof(*m));

    m->is_close = is_close;
    m->is_connected = !is_close;
    post(from, to, m);
}

static SimEnd *
other_end(SimEnd *end)
{
    return end == &end->conn->end[0] ? &end->conn->end[1] : &end->conn->end[0];
}

void *
SimNet_Dial(void *ctx, const char *address)
{
    SimNode *a = ctx;
    SimNode *b = find_node(address);
    SimConn *conn = g_new0(SimConn, 1);

    conn->opened_at = sim.now;
    for (int i = 0; i < 2; i++) {
        conn->end[i].conn = conn;
        conn->end[i].is_open = true;
        TAILQ_INIT(&conn->queue[i]);
    }
    conn->end[0].node = a;
    conn->end[1].node = b;
    TAILQ_INSERT_TAIL(&sim.conns, conn, link);
    if (sim.is_partitioned[a->domain][b->domain] || b->is_host_down) {
        conn->is_blackholed = true;
    }
    else {
        post_mark(&conn->end[1], &conn->end[0], !b->is_alive);
    }
    return &conn->end[0];
}

void
SimNet_Send(void *ctx, void *peer, Jd__Frame *frame)
{
    SimEnd *end = peer;
    size_t n = jd__frame__get_packed_size(frame);
    SimMessage *m;

    (void)ctx;
    if (!end->is_open || end->conn->is_blackholed) {
        return;
    }
    m = g_malloc0(sizeof(*m) + n);
    m->len = n;
    jd__frame__pack(frame, m->data);
    post(end, other_end(end), m);
}

void
SimNet_Close(void *ctx, void *peer)
{
    SimEnd *end = peer;

    (void)ctx;
    if (end->is_open) {
        end->is_open = false;
        if (!end->conn->is_blackholed) {
            post_mark(end, other_end(end), true);
        }
    }
}

size_t
SimNet_Backlog(void *ctx, void *peer)
{
    (void)ctx;
    (void)peer;
    return 0;
}

/* A process died: the system closes its connections. */
void
SimNet_CloseNode(SimNode *node)
{
    SimConn *conn;

    TAILQ_FOREACH(conn, &sim.conns, link)
    {
        for (int i = 0; i < 2; i++) {
            if (conn->end[i].node == node) {
                SimNet_Close(NULL, &conn->end[i]);
            }
        }
    }
}

static bool
is_between(const SimConn *conn, unsigned a, unsigned b)
{
    unsigned x = conn->end[0].node->domain;
    unsigned y = conn->end[1].node->domain;

    return (x == a && y == b) || (x == b && y == a);
}

/* Cuts two domains: what is open goes silent, and dials get no answer. */
void
SimNet_SetPartition(unsigned a, unsigned b, bool is_cut)
{
    sim.is_partitioned[a][b] = sim.is_partitioned[b][a] = is_cut;
    if (is_cut) {
        SimNet_Blackhole(a, b);
    }
}

/* Open connections go silent for good; new ones work. */
void
SimNet_Blackhole(unsigned a, unsigned b)
{
    SimConn *conn;

    TAILQ_FOREACH(conn, &sim.conns, link)
    {
        if (is_between(conn, a, b)) {
            conn->is_blackholed = true;
        }
    }
}

static void
deliver(SimMessage *m)
{
    SimNode *nd = m->to->node;
    Jd__Frame *frame;

    if (!m->to->is_open) {
        return;
    }
    if (m->is_close) {
        m->to->is_open = false;
        JdTree_Closed(&nd->tree, m->to);
        return;
    }
    if (m->is_connected) {
        JdTree_Connected(&nd->tree, m->to);
        return;
    }
    frame = jd__frame__unpack(NULL, m->len, m->data);
    JdTree_HandleFrame(&nd->tree, m->to, frame);
    jd__frame__free_unpacked(frame, NULL);
}

static void
step_queue(SimConn *conn, int side)
{
    SimMessage *m;

    while ((m = TAILQ_FIRST(&conn->queue[side])) != NULL &&
           m->deliver_at <= sim.now) {
        SimNode *nd = m->to->node;

        if (nd->is_alive && nd->is_frozen) {
            return;
        }
        TAILQ_REMOVE(&conn->queue[side], m, link);
        if (nd->is_alive && !conn->is_blackholed) {
            deliver(m);
        }
        g_free(m);
    }
}

static bool
is_over(const SimConn *conn)
{
    return !conn->end[0].is_open && !conn->end[1].is_open &&
           TAILQ_EMPTY(&conn->queue[0]) && TAILQ_EMPTY(&conn->queue[1]);
}

/* Delivers what is due now. */
void
SimNet_Step(void)
{
    SimConn *conn, *next;

    for (conn = TAILQ_FIRST(&sim.conns); conn != NULL; conn = next) {
        step_queue(conn, 0);
        step_queue(conn, 1);
        next = TAILQ_NEXT(conn, link);
        if (is_over(conn)) {
            TAILQ_REMOVE(&sim.conns, conn, link);
            g_free(conn);
        }
    }
}
