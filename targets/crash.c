/*
 * Crashes of the local target, and the requests that it was running then.  A
 * target has crashed if it refuses connections after requests ended without an
 * answer, or if another process takes its place although it did not leave.
 */
#include <string.h>

#include "../node/node.h"

/* Time in which the target accepts a connection if it lives. */
#define CHECK_TIMEOUT (50 * JD_US_PER_MS)
/* A request that was cancelled this long before the last answer may still have
 * been running when the target crashed. */
#define RUN_ON_TIME JD_US_PER_S
/* HTTP statuses of errors begin here. */
#define ERROR_STATUS_MIN 400

/* Returns the id of the target's process that started at `started`.  One that
 * sends no heartbeats is told by the time of its crash. */
static uint64_t
get_process_id(JdNode *nd, uint64_t started)
{
    if (started == 0) {
        started = nd->target_crashes.crashed_at;
    }
    return JdCrash_ProcessId(nd->settings.node, started);
}

/* Logs that the target's process `started` crashed, and a request that it was
 * running. */
static void
log_request(const JdNode *nd, const JdUnansweredRequest *un)
{
    char text[JD_FINGERPRINT_TEXT_MAX];
    const JdCrashRecord *rec =
        JdCrashTable_Find(&nd->tree.crashes, &un->request);

    JdFingerprint_Format(&un->request, text);
    JD_LOG(JD_EVENT_CRASH, JD_TEXT("outcome", "was-running"),
           JD_TEXT("id", un->request_id), JD_TEXT("request", text),
           JD_TEXT("target", nd->target_process.id),
           JD_NUMBER("started", un->process),
           JD_NUMBER("crashes", JdCrashRecord_CountCrashes(rec)));
}

static void
log_crash(const JdNode *nd, uint64_t started, unsigned count)
{
    JD_LOG(JD_EVENT_CRASH, JD_TEXT("outcome", "crashed"),
           JD_TEXT("target", nd->target_process.id),
           JD_NUMBER("started", started), JD_NUMBER("requests", count));
}

/* Returns whether a request may have crashed the target's process `started`:
 * it was running then, as little or nothing was answered since, and no copy
 * was answered lately. */
static bool
may_be_cause(const JdTargetCrashes *tc, const JdUnansweredRequest *un,
             uint64_t started)
{
    return un->is_used && un->process == started &&
           un->ended_at + RUN_ON_TIME > tc->answered_at &&
           !JdAnsweredRequests_Has(&tc->answered, &un->request, un->ended_at);
}

/* The target's process that started at `started` has crashed. */
static void
record_crash(JdNode *nd, uint64_t started)
{
    JdTargetCrashes *tc = &nd->target_crashes;
    unsigned n = 0;

    if (JdClock_Now(&nd->loop.clock) - tc->noticed_at > RUN_ON_TIME) {
        tc->crashed_at = JdLoop_WallClock();
    }
    tc->noticed_at = JdClock_Now(&nd->loop.clock);
    for (unsigned i = 0; i < JD_UNANSWERED_MAX; i++) {
        JdUnansweredRequest *un = &tc->unanswered[i];

        if (may_be_cause(tc, un, started)) {
            JdCrashTable_Record(&nd->tree.crashes, &un->request,
                                get_process_id(nd, started));
            log_request(nd, un);
            n++;
        }
        un->is_used = false;
    }
    if (n > 0) {
        nd->counters.value[JD_C_TARGET_CRASHES]++;
        nd->counters.value[JD_C_CRASH_SUSPECTS] += n;
        log_crash(nd, started, n);
    }
}

/* The target answered a request.  If it has run it to its end, it does not
 * crash under it; an error does not show that. */
void
JdTargetCrash_OnAnswer(JdNode *nd, const JdFingerprint *fp,
                       const JdHttpResponse *ans)
{
    JdTargetCrashes *tc = &nd->target_crashes;

    tc->answered_at = JdClock_Now(&nd->loop.clock);
    if (ans->status < ERROR_STATUS_MIN) {
        JdAnsweredRequests_Add(&tc->answered, fp, tc->answered_at);
        JdCrashTable_Clear(&nd->tree.crashes, fp);
    }
}

/* A request that was sent to the target's process `started` ended without an
 * answer. */
void
JdTargetCrash_OnUnanswered(JdNode *nd, const Jd__Request *msg,
                           uint64_t started)
{
    JdTargetCrashes *tc = &nd->target_crashes;
    JdUnansweredRequest *un =
        &tc->unanswered[tc->next_unanswered++ % JD_UNANSWERED_MAX];

    JdFingerprint_OfRequest(&un->request, msg);
    g_strlcpy(un->request_id, msg->request_id, sizeof(un->request_id));
    un->process = started;
    un->ended_at = JdClock_Now(&nd->loop.clock);
    un->is_used = true;
}

/* Ends the check of the target, and records a crash unless it leaves, which
 * ends in the same way. */
static void
on_checked(void *ctx, JdHttpCheck result)
{
    JdNode *nd = ctx;
    uint64_t started = nd->target_process.started;
    bool has_crashed =
        result == JD_HTTP_REFUSED && !JdTargetHealth_IsLeaving(nd);

    if (has_crashed) {
        record_crash(nd, started);
    }
    JdWorker_OnTargetChecked(nd,
                             has_crashed ? get_process_id(nd, started) : 0);
}

/* A connection to the target broke or was not accepted: checks whether it has
 * crashed.  JdWorker_OnTargetChecked follows. */
void
JdTargetCrash_Check(JdNode *nd)
{
    JdHttpc_Check(&nd->target_client, CHECK_TIMEOUT, on_checked, nd);
}

/* Another process is about to take the place of the present one. */
void
JdTargetCrash_OnReplaced(JdNode *nd)
{
    if (!JdTargetHealth_IsLeaving(nd)) {
        JdWorker_RecordUnanswered(nd);
        record_crash(nd, nd->target_process.started);
    }
}
