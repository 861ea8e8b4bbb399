/* Requests that wait for this node to be ready. */
#include "../peer/forward.h"

/* Period in which a waiting request is looked at again. */
#define LOOK_EVERY (20 * JD_US_PER_MS)

struct JdWaitingRequest {
    TAILQ_ENTRY(JdWaitingRequest) link;
    JdNode *node;
    JdServerRequest *req;
    uint64_t arrived;
    JdTimer timer;
};

static void
insert(JdWaitingRequest *wt)
{
    TAILQ_INSERT_TAIL(&wt->node->waiting, wt, link);
    wt->node->waiting_count++;
    JdTimer_Arm(&wt->node->loop.clock, &wt->timer, LOOK_EVERY);
}

static void
remove_waiting(JdWaitingRequest *wt)
{
    JdTimer_Cancel(&wt->node->loop.clock, &wt->timer);
    TAILQ_REMOVE(&wt->node->waiting, wt, link);
    wt->node->waiting_count--;
}

static void
on_look(void *ctx)
{
    JdWaitingRequest *wt = ctx;

    /* Out of the list first: an answer may end its connection, and with it
     * other requests that wait. */
    remove_waiting(wt);
    if (JdIntake_Process(wt->node, wt->req, wt->arrived)) {
        g_free(wt);
    }
    else {
        insert(wt);
    }
}

/* Puts a request aside; it is looked at again and again until it is taken. */
void
JdWaitingRequest_Add(JdNode *nd, JdServerRequest *req, uint64_t arrived)
{
    JdWaitingRequest *wt = g_new0(JdWaitingRequest, 1);

    wt->node = nd;
    wt->req = req;
    wt->arrived = arrived;
    JdTimer_Init(&wt->timer, on_look, wt);
    nd->counters.value[JD_C_REQUESTS_WAITED]++;
    insert(wt);
}

/* The caller of a request left.  Returns false where it does not wait. */
bool
JdWaitingRequest_CallerLeft(JdNode *nd, const JdServerRequest *req)
{
    JdWaitingRequest *wt;

    TAILQ_FOREACH(wt, &nd->waiting, link)
    {
        if (wt->req == req) {
            nd->counters.value[JD_C_REFUSED_CANCELLED]++;
            remove_waiting(wt);
            g_free(wt);
            return true;
        }
    }
    return false;
}
