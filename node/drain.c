/*
 * Graceful shutdown.  A draining node goes on accepting requests and
 * connections for the linger time, since callers learn of the drain late.  Its
 * target goes on working for the other nodes, which are told of the drain only
 * shortly before the end of that time.  Then the target gets no new work. Once
 * it has finished, the node stops accepting requests, since the target may
 * call other services for the work that it has left.  The node finishes the
 * calls in progress, waits until callers and other nodes have received its
 * answers, and exits.
 */
#include <signal.h>

#include "node.h"

/* Interval of the checks whether a drain is complete. */
#define CHECK_INTERVAL (20 * JD_US_PER_MS)
/* Time before the end of the linger time at which other nodes are told, so
 * that they have stopped sending when requests are refused. */
#define ANNOUNCE_LEAD (700 * JD_US_PER_MS)
/* Time after the begin of a drain from which only requests are taken that end
 * before the exit even if they take all of their time. */
#define STRICT_AFTER (2900 * JD_US_PER_MS)
/* Time before the drain deadline at which the node stops accepting requests
 * even if its target has work left: the calls in progress need that time. */
#define FINISH_TIME (1000 * JD_US_PER_MS)
/* Time for the last announcement to be sent before the process exits. */
#define ANNOUNCE_TIME (100 * JD_US_PER_MS)

static void
stop(JdNode *nd)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    JD_LOG(JD_EVENT_STOPPED, JD_TEXT("outcome", nd->drain_outcome),
           JD_NUMBER("took_ms", (now - nd->drain_began_at) / JD_US_PER_MS),
           JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    JdLoop_Stop(&nd->loop);
}

/* Returns whether callers and other nodes have received all answers. */
static bool
finish_answers(JdNode *nd)
{
    bool are_nodes_served = JdConnSet_FinishResponses(&nd->conns);

    return are_nodes_served && !JdServer_OwesBytes(&nd->caller_server);
}

/* Stops the node once what it has refused since its last answer is received
 * as well. */
static void
check_exit(void *ctx)
{
    JdNode *nd = ctx;

    if (JdClock_Now(&nd->loop.clock) < nd->drain_deadline &&
        !finish_answers(nd)) {
        JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, CHECK_INTERVAL);
        return;
    }
    stop(nd);
}

/* Announces that this node leaves the tree, and stops it a moment later. */
static void
announce_leave(JdNode *nd, const char *outcome)
{
    nd->drain_outcome = outcome;
    JdQuota_EndLoans(&nd->quota);
    JdTree_Leave(&nd->tree);
    nd->drain_timer.fire = check_exit;
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, ANNOUNCE_TIME);
}

static void
announce_drain(JdNode *nd)
{
    nd->is_drain_announced = true;
    JdTree_SetState(&nd->tree, JD_MEMBER_DRAINING);
}

static void
check_drain(void *ctx)
{
    JdNode *nd = ctx;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    bool is_target_idle = nd->admit.running == 0 && nd->admit.queued == 0 &&
                          nd->link_queue.count == 0;
    bool is_idle = nd->call_count == 0 && nd->waiting_count == 0 &&
                   nd->quota_request_count == 0 && is_target_idle;

    if (now >= nd->announce_at && !nd->is_drain_announced) {
        announce_drain(nd);
    }
    if (now >= nd->linger_until) {
        JdAdmission_Close(&nd->admit);
        if (is_target_idle || now + FINISH_TIME >= nd->drain_deadline) {
            JdServer_StopAccepting(&nd->caller_server);
        }
    }
    if (now >= nd->drain_deadline) {
        if (!is_idle) {
            nd->counters.value[JD_C_DRAIN_FORCED]++;
        }
        announce_leave(nd, "deadline");
        return;
    }
    if (is_idle && now >= nd->linger_until && finish_answers(nd)) {
        announce_leave(nd, "finished");
        return;
    }
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, CHECK_INTERVAL);
}

/*
 * The node is told to stop once more.  It goes on with its drain: what it owes
 * does not change.  A signal after an operator's request begins the time after
 * which the process is killed, so that the drain may take that long from now.
 */
static void
continue_drain(JdNode *nd, int signal)
{
    JD_LOG(JD_EVENT_DRAINING, JD_TEXT("outcome", "repeated"),
           JD_NUMBER("signal", signal), JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    if (signal != 0 && !nd->has_drain_signal) {
        nd->has_drain_signal = true;
        nd->drain_deadline = JdClock_Now(&nd->loop.clock) +
                             nd->settings.drain_deadline_ms * JD_US_PER_MS;
    }
}

/*
 * Handles a signal: SIGHUP reloads the settings, any other begins a drain.
 * `signal` is 0 when an operator requested the drain over the admin interface.
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
        continue_drain(nd, signal);
        return;
    }
    nd->is_draining = true;
    nd->has_drain_signal = signal != 0;
    nd->drain_began_at = now;
    JD_LOG(JD_EVENT_DRAINING, JD_NUMBER("signal", signal),
           JD_NUMBER("linger_ms", nd->settings.linger_ms),
           JD_NUMBER("deadline_ms", nd->settings.drain_deadline_ms),
           JD_NUMBER("calls", nd->call_count),
           JD_NUMBER("running", nd->admit.running));
    JdServer_CloseAfterResponse(&nd->caller_server);
    nd->linger_until = now + nd->settings.linger_ms * JD_US_PER_MS;
    nd->drain_strict_at = nd->linger_until < now + STRICT_AFTER
                              ? nd->linger_until
                              : now + STRICT_AFTER;
    nd->announce_at = nd->linger_until - now > ANNOUNCE_LEAD
                          ? nd->linger_until - ANNOUNCE_LEAD
                          : now;
    nd->drain_deadline = now + nd->settings.drain_deadline_ms * JD_US_PER_MS;
    JdTimer_Init(&nd->drain_timer, check_drain, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->drain_timer, 0);
}
