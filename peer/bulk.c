/*
 * Large responses of the local target, on their way to other nodes: cut into
 * chunks, which are written while the link of this VM has room.  Small
 * frames go out at once and wait for one chunk at most.
 */
#include <string.h>

#include "../node/node.h"

/* Time after which connections that took no more bytes are looked at again. */
#define BLOCKED_INTERVAL (5 * JD_US_PER_MS)
/* Chunks that may wait in a connection whose other side does not take them. */
#define BACKLOG_CHUNKS 2

/* A response that is queued or partly written. */
typedef struct BulkResponse {
    JdLinkItem item;
    JdConn *origin;
    Jd__Response *head; /* without the body */
    JdBody *body;
} BulkResponse;

static BulkResponse *
response_of(const JdLinkItem *it)
{
    return (BulkResponse *)((char *)it - offsetof(BulkResponse, item));
}

static void
free_response(JdNode *nd, BulkResponse *br)
{
    JdLinkQueue_Remove(&nd->link_queue, &br->item);
    jd__response__free_unpacked(br->head, NULL);
    JdBody_Unref(br->body);
    g_free(br);
}

static bool
is_blocked(void *ctx, const JdLinkItem *it)
{
    JdNode *nd = ctx;
    const JdConn *origin = response_of(it)->origin;

    return JdConn_Backlog(origin) >
           JdPacer_ChunkSize(&nd->pacer) * BACKLOG_CHUNKS;
}

/* Writes the next part of a response, and frees it after the last one. */
static void
write_chunk(JdNode *nd, BulkResponse *br)
{
    Jd__Chunk chunk = JD__CHUNK__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    size_t n = JdPacer_ChunkSize(&nd->pacer);

    if (n > br->item.left) {
        n = br->item.left;
    }
    chunk.id = br->head->id;
    chunk.body.data = br->body->data + br->item.written;
    chunk.body.len = n;
    chunk.more = n < br->item.left;
    if (br->item.written == 0) {
        chunk.head = br->head;
        chunk.total = br->body->len;
    }
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_CHUNK;
    frame.chunk = &chunk;
    JdConn_Send(br->origin, &frame);
    nd->counters.value[JD_C_LINK_CHUNKS]++;
    JdLinkQueue_Take(&nd->link_queue, &br->item, n);
    if (br->item.left == 0) {
        free_response(nd, br);
    }
}

/* Tells the node that asked for a response that it does not come. */
static void
give_up(JdNode *nd, BulkResponse *br)
{
    Jd__Response msg = JD__RESPONSE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    msg.id = br->head->id;
    msg.reason = JD_REASON_DEADLINE;
    msg.sent = true;
    msg.load = br->head->load;
    msg.service_us = br->head->service_us;
    msg.target_started = br->head->target_started;
    msg.rate_limit = br->head->rate_limit;
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_RESPONSE;
    frame.response = &msg;
    nd->counters.value[JD_C_LINK_GIVEN_UP]++;
    JdConn_Send(br->origin, &frame);
    free_response(nd, br);
}

/* Gives up the responses whose callers have stopped waiting. */
static void
give_up_expired(JdNode *nd)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    JdLinkItem *it;

    while ((it = JdLinkQueue_Expired(&nd->link_queue, now)) != NULL) {
        give_up(nd, response_of(it));
    }
}

/* Writes chunks while the link has room. */
static void
write_chunks(void *ctx)
{
    JdNode *nd = ctx;
    uint64_t wait = 0;

    while (nd->link_queue.count > 0) {
        JdLinkMoment moment = {JdClock_Now(&nd->loop.clock),
                               JdPacer_ChunkRate(&nd->pacer)};
        JdLinkItem *it;

        give_up_expired(nd);
        wait = JdPacer_Wait(&nd->pacer);
        if (wait > 0) {
            break;
        }
        it = JdLinkQueue_Next(&nd->link_queue, &moment, is_blocked, nd);
        if (it == NULL) {
            wait = BLOCKED_INTERVAL;
            break;
        }
        write_chunk(nd, response_of(it));
    }
    if (nd->link_queue.count > 0) {
        JdTimer_Arm(&nd->loop.clock, &nd->link_timer, wait);
    }
}

/* Queues a large response to the node at `origin`. */
void
JdBulk_Respond(JdNode *nd, JdConn *origin, const Jd__Response *msg,
               JdBody *body, const JdBulkTimes *times)
{
    Jd__Response head = *msg;
    BulkResponse *br = g_new0(BulkResponse, 1);
    uint8_t *buf;
    size_t n;

    head.body.len = 0;
    n = jd__response__get_packed_size(&head);
    buf = g_malloc(n);
    jd__response__pack(&head, buf);
    br->head = jd__response__unpack(NULL, n, buf);
    g_free(buf);
    br->body = JdBody_Ref(body);
    br->origin = origin;
    br->item.left = body->len;
    br->item.deadline = times->deadline;
    br->item.soft_deadline = times->soft_deadline;
    br->item.priority = times->priority;
    JdLinkQueue_Add(&nd->link_queue, &br->item);
    nd->counters.value[JD_C_LINK_RESPONSES]++;
    JdTimer_Cancel(&nd->loop.clock, &nd->link_timer);
    write_chunks(nd);
}

/* Drops the response to the request with an id; nobody waits for it. */
void
JdBulk_Cancel(JdNode *nd, uint64_t id, const JdConn *origin)
{
    JdLinkItem *it;

    TAILQ_FOREACH(it, &nd->link_queue.items, link)
    {
        if (response_of(it)->origin == origin &&
            response_of(it)->head->id == id) {
            nd->counters.value[JD_C_LINK_CANCELLED]++;
            free_response(nd, response_of(it));
            return;
        }
    }
}

/* A connection closed: drops the responses for it. */
void
JdBulk_ConnClosed(JdNode *nd, const JdConn *origin)
{
    JdLinkItem *it, *next;

    for (it = TAILQ_FIRST(&nd->link_queue.items); it != NULL; it = next) {
        next = TAILQ_NEXT(it, link);
        if (response_of(it)->origin == origin) {
            nd->counters.value[JD_C_LINK_CANCELLED]++;
            free_response(nd, response_of(it));
        }
    }
}

/* Initializes the link of this VM; `link_kbps` in the settings may be 0,
 * unknown. */
void
JdBulk_Init(JdNode *nd)
{
    JdPacer_Init(&nd->pacer, &nd->loop.clock, nd->settings.link_kbps);
    JdLinkQueue_Init(&nd->link_queue);
    JdLinkRoom_Init(&nd->link_room, &nd->pacer, &nd->link_queue);
    JdTimer_Init(&nd->link_timer, write_chunks, nd);
    if (JdPacer_IsOn(&nd->pacer)) {
        nd->conns.pacer = &nd->pacer;
    }
}
