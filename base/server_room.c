/*
 * Room for the requests of callers.  Where descriptors or memory are short,
 * connections are closed on which nothing comes: idle ones, then those whose
 * request or response has made no progress for a while.  What makes progress
 * stays, and what is new is refused.
 */
#include <poll.h>
#include <string.h>

#include "server_conn.h"

/* Interval at which connections that are not read are checked. */
#define WATCH_INTERVAL (50 * JD_US_PER_MS)
/* Time without input after which an idle connection is closed for a new one.
 */
#define IDLE_PATIENCE (100 * JD_US_PER_MS)
/* Time without progress after which a request that is being received, or a
 * response, is given up where there is no room. */
#define INPUT_PATIENCE (500 * JD_US_PER_MS)
/* Time after which a request counts as being without progress as well if it
 * comes slower than this many bytes a second on average. */
#define SLOW_PATIENCE (2 * JD_US_PER_S)
#define SLOW_RATE 8192U
#define OUTPUT_PATIENCE (2 * JD_US_PER_S)
/* Bytes of a large response that its caller takes in that time at least, or it
 * is given up where there is no room. */
#define SLOW_OUTPUT_BYTES (OUTPUT_PATIENCE / JD_US_PER_S * SLOW_RATE)
/* Shortest time between two searches for room in memory. */
#define SEARCH_INTERVAL (20 * JD_US_PER_MS)
/* Time after something large has found no room for which room is searched, and
 * interval of these searches. */
#define SHORTAGE_TIME (5 * JD_US_PER_S)
#define SHORTAGE_INTERVAL (500 * JD_US_PER_MS)

/* ---- connections that are not read -------------------------------------- */

/* Closes the connections that are not read and that their callers have closed,
 * and reads on where a pause is over. */
static void
on_watch(void *ctx)
{
    JdServer *sv = ctx;
    uint64_t now = JdClock_Now(&sv->loop->clock);
    JdServerConn *cn, *next;

    for (cn = TAILQ_FIRST(&sv->paused); cn != NULL; cn = next) {
        struct pollfd pfd = {.events = POLLRDHUP};

        next = TAILQ_NEXT(cn, paused_link);
        pfd.fd = h2o_socket_get_fd(cn->sock);
        if (poll(&pfd, 1, 0) > 0 && JdHttpd_HasDisconnected(&pfd)) {
            JdServerConn_Close(cn);
            /* Its handlers may have answered others, which are read again. */
            next = TAILQ_FIRST(&sv->paused);
        }
        else if (cn->held_until != 0 && cn->held_until <= now) {
            cn->held_until = 0;
            JdServerConn_Resume(cn);
        }
    }
    if (!TAILQ_EMPTY(&sv->paused)) {
        JdTimer_Arm(&sv->loop->clock, &sv->watch_timer, WATCH_INTERVAL);
    }
}

void
JdServerRoom_Watch(JdServerConn *cn)
{
    JdServer *sv = cn->server;

    if (TAILQ_EMPTY(&sv->paused)) {
        JdTimer_Arm(&sv->loop->clock, &sv->watch_timer, WATCH_INTERVAL);
    }
    TAILQ_INSERT_TAIL(&sv->paused, cn, paused_link);
}

/* Ends the watch of a connection, if there is one. */
void
JdServerRoom_Unwatch(JdServerConn *cn)
{
    JdServer *sv = cn->server;

    if (cn->paused_link.tqe_prev == NULL) {
        return;
    }
    TAILQ_REMOVE(&sv->paused, cn, paused_link);
    memset(&cn->paused_link, 0, sizeof(cn->paused_link));
    if (TAILQ_EMPTY(&sv->paused)) {
        JdTimer_Cancel(&sv->loop->clock, &sv->watch_timer);
    }
}

/* ---- descriptors -------------------------------------------------------- */

static bool
is_idle(const JdServerConn *cn, uint64_t now)
{
    return cn->state == CONN_OPEN && cn->partial == NULL &&
           cn->pending_count == 0 && cn->output.size == 0 &&
           now - cn->read_at >= IDLE_PATIENCE;
}

/* Returns whether a request comes so slowly that it may never end. */
static bool
is_slow(const JdServerExchange *ex, uint64_t now)
{
    uint64_t age = now - ex->began_at;
    uint64_t bytes = ex->headers.buffer->len + ex->request.body->len;

    return age >= SLOW_PATIENCE && bytes * JD_US_PER_S < SLOW_RATE * age;
}

/* Returns whether a request has been received partly and nothing more comes,
 * or hardly anything. */
static bool
is_input_stalled(const JdServerConn *cn, uint64_t now)
{
    return cn->state == CONN_OPEN && cn->partial != NULL &&
           cn->pending_count == 0 &&
           (now - cn->read_at >= INPUT_PATIENCE || is_slow(cn->partial, now));
}

/* Closes the connection on which nothing has come for longest.  Returns false
 * if all of them carry something that makes progress. */
bool
JdServerRoom_FreeDescriptor(void *ctx)
{
    JdServer *sv = ctx;
    uint64_t now = JdClock_Now(&sv->loop->clock);
    JdServerConn *cn, *stalled = NULL;

    TAILQ_FOREACH(cn, &sv->conns, link)
    {
        if (is_idle(cn, now)) {
            JdServer_CountShed(sv, JD_SERVER_SHED_IDLE);
            JdServerConn_Close(cn);
            return true;
        }
        if (stalled == NULL && is_input_stalled(cn, now)) {
            stalled = cn;
        }
    }
    if (stalled == NULL) {
        return false;
    }
    JdServer_CountShed(sv, JD_SERVER_SHED_UNFINISHED);
    JdServerConn_Close(stalled);
    return true;
}

/* ---- memory ------------------------------------------------------------- */

/* Gives up what makes no progress, until there is room.  Returns whether there
 * is. */
static bool
give_up_stalled(JdServer *sv, JdMemoryClass cls, size_t n)
{
    uint64_t now = JdClock_Now(&sv->loop->clock);
    JdServerConn *cn, *next;

    if (now - sv->searched_at < SEARCH_INTERVAL) {
        return false;
    }
    sv->searched_at = now;
    for (cn = TAILQ_FIRST(&sv->conns);
         cn != NULL && JdMemory_Room(sv->memory, cls) < n; cn = next) {
        next = TAILQ_NEXT(cn, link);
        if (cn->is_parsing) {
            continue;
        }
        if (is_input_stalled(cn, now)) {
            JdServer_CountShed(sv, JD_SERVER_SHED_UNFINISHED);
            JdServerConn_Reject(cn, JD_SERVER_TOO_SLOW);
        }
        else if (JdServerConn_IsStalled(cn, OUTPUT_PATIENCE)) {
            JdServer_CountShed(sv, JD_SERVER_SHED_STALLED);
            JdServerConn_Close(cn);
        }
    }
    return JdMemory_Room(sv->memory, cls) >= n;
}

/* Takes room for a small part of a request, or returns false. */
bool
JdServerRoom_Take(JdServer *sv, JdMemoryClass cls, size_t n)
{
    if (JdMemory_Take(sv->memory, cls, n)) {
        return true;
    }
    return give_up_stalled(sv, cls, n) && JdMemory_Take(sv->memory, cls, n);
}

/* Returns whether there is room for a response of `n` bytes that is not
 * charged yet. */
bool
JdServer_HasRoom(JdServer *sv, size_t n)
{
    if (!JdServerRoom_Take(sv, JdMemory_ClassOf(n), n)) {
        return false;
    }
    JdMemory_Give(sv->memory, n);
    return true;
}

/* Gives up the large bodies that come too late to be of use to their callers.
 */
static void
give_up_useless(JdServer *sv, const JdServerExchange *wanted)
{
    uint64_t now = JdClock_Now(&sv->loop->clock);
    JdServerConn *cn, *next;

    for (cn = TAILQ_FIRST(&sv->conns); cn != NULL; cn = next) {
        next = TAILQ_NEXT(cn, link);
        if (cn->partial != NULL && cn->partial != wanted &&
            cn->partial->request.body->charged > JD_LARGE_BYTES &&
            cn->partial->useful_until != 0 &&
            now > cn->partial->useful_until) {
            JdServer_CountShed(sv, JD_SERVER_SHED_UNFINISHED);
            JdServerConn_Reject(cn, JD_SERVER_TOO_SLOW);
        }
    }
}

/* Takes room for a body of `n` bytes, or returns false. */
bool
JdServerRoom_ReserveBody(JdServer *sv, JdServerExchange *ex, size_t n)
{
    JdBody *b = ex->request.body;
    JdMemoryClass cls = JdMemory_ClassOf(n);

    if (cls == JD_MEMORY_FIRST && ex->conn->pending_count > 0) {
        cls = JD_MEMORY_FOLLOWING;
    }
    if (JdBody_Reserve(b, cls, n)) {
        return true;
    }
    if (cls == JD_MEMORY_LARGE) {
        give_up_useless(sv, ex);
    }
    else {
        give_up_stalled(sv, cls, n);
    }
    return JdBody_Reserve(b, cls, n);
}

/* ---- large responses that are hardly taken ------------------------------ */

/* Gives up large responses that their callers hardly take, until there is room
 * for what found none. */
static void
give_up_slow_responses(JdServer *sv)
{
    JdServerConn *cn, *next;

    for (cn = TAILQ_FIRST(&sv->conns); cn != NULL; cn = next) {
        next = TAILQ_NEXT(cn, link);
        if (cn->output.size > JD_LARGE_BYTES &&
            JdServerConn_IsSlower(cn, SLOW_OUTPUT_BYTES, OUTPUT_PATIENCE) &&
            JdMemory_Room(sv->memory, JD_MEMORY_LARGE) < sv->wanted) {
            JdServer_CountShed(sv, JD_SERVER_SHED_STALLED);
            JdServerConn_Close(cn);
        }
    }
}

static void
on_shortage(void *ctx)
{
    JdServer *sv = ctx;

    if (JdClock_Now(&sv->loop->clock) >= sv->short_until) {
        sv->short_until = 0;
        sv->wanted = 0;
        return;
    }
    give_up_useless(sv, NULL);
    give_up_slow_responses(sv);
    JdTimer_Arm(&sv->loop->clock, &sv->shortage_timer, SHORTAGE_INTERVAL);
}

/* Something found no room.  What holds it is looked at in the next round of
 * the loop, as it may be in use up the stack. */
static void
on_short_of(void *ctx, JdMemoryClass cls, size_t n)
{
    JdServer *sv = ctx;

    if (cls != JD_MEMORY_LARGE || sv->acceptor.listener == NULL) {
        return;
    }
    if (sv->short_until == 0) {
        JdTimer_Arm(&sv->loop->clock, &sv->shortage_timer, 0);
    }
    sv->short_until = JdClock_Now(&sv->loop->clock) + SHORTAGE_TIME;
    sv->wanted = MAX(sv->wanted, n);
}

/* Charges what connections hold to an account, and makes room in it. */
void
JdServer_SetMemory(JdServer *sv, JdMemory *mm)
{
    sv->memory = mm;
    mm->short_of = on_short_of;
    mm->ctx = sv;
}

void
JdServerRoom_Init(JdServer *sv)
{
    TAILQ_INIT(&sv->paused);
    JdTimer_Init(&sv->watch_timer, on_watch, sv);
    JdTimer_Init(&sv->shortage_timer, on_shortage, sv);
}

/* Ends the search for room. */
void
JdServerRoom_Stop(JdServer *sv)
{
    JdTimer_Cancel(&sv->loop->clock, &sv->shortage_timer);
    sv->short_until = 0;
}
