/* Room on this VM's link for the responses of the local target. */
#include "work_item.h"

/* Returns the average size of a route's responses; a new one is unknown. */
static JdLinkSize *
get_size(JdNode *nd, const char *route)
{
    JdLinkSize *sz = g_hash_table_lookup(nd->response_sizes, route);

    if (sz == NULL) {
        sz = g_new0(JdLinkSize, 1);
        g_hash_table_insert(nd->response_sizes, g_strdup(route), sz);
    }
    return sz;
}

/* Initializes a node without known sizes. */
void
JdTargetRoom_Init(JdNode *nd)
{
    nd->response_sizes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Returns whether the response to a request is expected to be large, on a link
 * whose bandwidth is known. */
static bool
is_bulk(const JdNode *nd, const Jd__Request *msg)
{
    return msg->takes_chunks && JdPacer_IsOn(&nd->pacer);
}

/* Returns what a request needs that has waited at this node for `waited` us.
 */
static JdLinkNeed
need_of(JdNode *nd, const Jd__Request *msg, uint64_t waited)
{
    uint64_t left = msg->left_ms * JD_US_PER_MS;
    uint64_t soft_left = msg->latency_ms * JD_US_PER_MS;
    JdLinkNeed need = {.size = JdLinkSize_Expected(get_size(nd, msg->route)),
                       .run_time = JdTargetEstimate_Get(nd, msg->route)->mean,
                       .time_left = left > waited ? left - waited : 0,
                       .soft_time_left =
                           soft_left > waited ? soft_left - waited : 0};

    return need;
}

/* Keeps room for the response to a request, or returns why it is refused. */
JdReason
JdTargetRoom_Reserve(JdWorkItem *it)
{
    JdNode *nd = it->node;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    JdLinkNeed need;

    if (!is_bulk(nd, it->msg)) {
        return JD_REASON_NONE;
    }
    need = need_of(nd, it->msg, now - it->submitted_at);
    if (!JdLinkRoom_Fits(&nd->link_room, &need)) {
        return JD_REASON_NO_LINK_ROOM;
    }
    JdLinkRoom_Reserve(&nd->link_room, &it->link_claim, need.size);
    return JD_REASON_NONE;
}

/* Gives up the room that is kept for a request. */
void
JdTargetRoom_Release(JdWorkItem *it)
{
    JdLinkRoom_Release(&it->node->link_room, &it->link_claim);
}

/* Returns the time after which the link has room for a request, in ms. */
uint32_t
JdTargetRoom_RetryAfter(JdNode *nd, const Jd__Request *msg)
{
    JdLinkNeed need = need_of(nd, msg, 0);

    return (uint32_t)(JdLinkRoom_RetryAfter(&nd->link_room, &need,
                                            &nd->tree.random) /
                      JD_US_PER_MS);
}

/* Returns the time in ms until another large response would be whole, 0: none
 * has been seen, or the bandwidth is unknown. */
uint32_t
JdTargetRoom_Wait(const JdNode *nd)
{
    JdLinkNeed need = {.size = nd->response_size.mean};

    if (nd->response_size.count == 0 || !JdPacer_IsOn(&nd->pacer)) {
        return 0;
    }
    return (uint32_t)(JdLinkRoom_UntilWhole(&nd->link_room, &need) /
                      JD_US_PER_MS) +
           1;
}

/* Sends the answer of the target by the link's queue, if it is large and not
 * for a caller of this node.  Returns false if it is to be sent at once. */
bool
JdTargetRoom_Respond(JdWorkItem *it, const Jd__Response *msg, JdBody *body)
{
    JdNode *nd = it->node;
    JdBulkTimes times = {it->work.deadline, it->work.soft_deadline,
                         it->work.priority};

    if (!is_bulk(nd, it->msg)) {
        return false;
    }
    JdTargetRoom_Release(it);
    JdLinkSize_Add(get_size(nd, it->msg->route), msg->body.len);
    JdLinkSize_Add(&nd->response_size, msg->body.len);
    if (it->origin == NULL || msg->body.len <= JdPacer_ChunkSize(&nd->pacer)) {
        return false;
    }
    nd->response_ops->respond_large(nd->response_ctx, it->origin, msg, body,
                                    &times);
    return true;
}
