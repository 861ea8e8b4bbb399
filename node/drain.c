/*
 * Graceful shutdown.  A draining node announces its state and goes on
 * accepting requests and connections for the linger time, since callers learn
 * of the drain late.  Then it refuses new requests as not run, finishes those
 * in progress and exits.
 */
#include <signal.h>

#include "node.h"

/* Interval of the checks whether a drain is complete. */
#define CHECK_INTERVAL (20 * JD_US_PER_MS)
/* Time for the last announcement to be sent before the process exits. */
#define ANNOUNCE_TIME (100 * JD_US_PER_MS)

static void
stop(void *ctx)
{
    JdNode *nd = ctx;

    JD_LOG(JD_EVENT_STOPPED, JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    JdLoop_Stop(&nd->loop);
}

/* Announces that this node leaves the tree, and stops it a moment later. */
static void
announce_leave(JdNode *nd)
{
    JdTree_Leave(&nd->tree);
    nd->drain_timer.fire = stop;
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, ANNOUNCE_TIME);
}

static void
check_drain(void *ctx)
{
    JdNode *nd = ctx;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    bool is_idle = nd->call_count == 0 && nd->waiting_count == 0 &&
                   nd->admit.running == 0 && nd->admit.queued == 0;

    if (now >= nd->linger_until) {
        JdAdmission_Close(&nd->admit);
        JdServer_StopAccepting(&nd->caller_server);
    }
    if (now >= nd->drain_deadline) {
        if (!is_idle) {
            nd->counters.value[JD_C_DRAIN_FORCED]++;
        }
        announce_leave(nd);
        return;
    }
    if (is_idle && now >= nd->linger_until) {
        announce_leave(nd);
        return;
    }
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, CHECK_INTERVAL);
}

/*
 * Handles a signal: SIGHUP reloads the settings, any other begins a drain, and
 * a second one during a drain stops the node at once.  `signal` is 0 when an
 * operator requested the drain over the admin interface.
 */
void
JdDrain_OnSignal(void *ctx, int signal)
{
    JdNode *nd = ctx;
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (signal == SIGHUP) {
        JdReload_OnSignal(nd);
        return;
    }
    if (nd->is_draining) {
        if (signal != 0) {
            nd->counters.value[JD_C_DRAIN_FORCED]++;
            stop(nd);
        }
        return;
    }
    nd->is_draining = true;
    JD_LOG(JD_EVENT_DRAINING, JD_NUMBER("signal", signal),
           JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    JdTree_SetState(&nd->tree, JD_MEMBER_DRAINING);
    JdServer_CloseAfterResponse(&nd->caller_server);
    nd->linger_until = now + nd->settings.linger_ms * JD_US_PER_MS;
    nd->drain_deadline = now + nd->settings.drain_deadline_ms * JD_US_PER_MS;
    JdTimer_Init(&nd->drain_timer, check_drain, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, 0);
}
