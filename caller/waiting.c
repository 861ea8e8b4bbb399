/*
 * Requests that wait for this node to be ready.  Each has a timer that checks
 * it again until it is accepted or refused.
 */
#include "../peer/forward.h"

/* Interval between two checks of a waiting request. */
#define RECHECK_PERIOD (20 * JD_US_PER_MS)

struct JdWaitingRequest {
    TAILQ_ENTRY(JdWaitingRequest) link;
    JdNode *node;
    JdServerRequest *req;
    uint64_t arrived;
    JdTimer timer;
};

static void
start_waiting(JdWaitingRequest *wt)
{
    TAILQ_INSERT_TAIL(&wt->node->waiting, wt, link);
    wt->node->waiting_count++;
    JdTimer_Arm(&wt->node->loop.clock, &wt->timer, RECHECK_PERIOD);
}

static void
stop_waiting(JdWaitingRequest *wt)
{
    JdTimer_Cancel(&wt->node->loop.clock, &wt->timer);
    TAILQ_REMOVE(&wt->node->waiting, wt, link);
    wt->node->waiting_count--;
}

static void
on_recheck(void *ctx)
{
    JdWaitingRequest *wt = ctx;

    /* Take it off the list first: answering it may close its connection, which
     * also removes other requests that wait. */
    stop_waiting(wt);
    if (JdIntake_Process(wt->node, wt->req, wt->arrived)) {
        g_free(wt);
    }
    else {
        start_waiting(wt);
    }
}

/* Makes a request wait until JdIntake_Take accepts or refuses it. */
void
JdWaitingRequest_Add(JdNode *nd, JdServerRequest *req, uint64_t arrived)
{
    JdWaitingRequest *wt = g_new0(JdWaitingRequest, 1);

    wt->node = nd;
    wt->req = req;
    wt->arrived = arrived;
    JdTimer_Init(&wt->timer, on_recheck, wt);
    nd->counters.value[JD_C_REQUESTS_WAITED]++;
    start_waiting(wt);
}

/* Removes the waiting request of a caller that has disconnected.  Returns
 * false when the request is not waiting. */
bool
JdWaitingRequest_CallerDisconnected(JdNode *nd, const JdServerRequest *req)
{
    JdWaitingRequest *wt;

    TAILQ_FOREACH(wt, &nd->waiting, link)
    {
        if (wt->req == req) {
            nd->counters.value[JD_C_REFUSED_CANCELLED]++;
            stop_waiting(wt);
            g_free(wt);
            return true;
        }
    }
    return false;
}
