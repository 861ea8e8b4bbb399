/*
 * Planned stops.  A leaving node announces it, takes what still arrives for a
 * short time, new connections too, since callers learn of it late; then it
 * refuses new work as not run, finishes what runs and exits.
 */
#include <signal.h>

#include "node.h"

/* Period in which a drain looks whether it is over. */
#define LOOK_EVERY (20 * JD_US_PER_MS)
/* Time for the last announcement to leave this node. */
#define FAREWELL (100 * JD_US_PER_MS)

static void
stop(void *ctx)
{
    JdNode *nd = ctx;

    JD_LOG(JD_EVENT_STOPPED, JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    JdLoop_Stop(&nd->loop);
}

static void
say_farewell(JdNode *nd)
{
    JdTree_Leave(&nd->tree);
    nd->drain_timer.fire = stop;
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, FAREWELL);
}

static void
look(void *ctx)
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
        say_farewell(nd);
        return;
    }
    if (is_idle && now >= nd->linger_until) {
        say_farewell(nd);
        return;
    }
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, LOOK_EVERY);
}

/*
 * Begins a drain; `signal` is 0 when an operator asked for it.  A second
 * signal ends the node at once.
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
    JdTimer_Init(&nd->drain_timer, look, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, 0);
}
