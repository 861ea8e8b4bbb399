/* Whether a request may be sent to another target: its kind, the attempts of
 * its route, the retry budget of its service, and the crashes of targets. */
#include <string.h>

#include "forward.h"

/* Returns the retry budget of a service; a new one is full. */
static JdRetryBudget *
get_budget(JdNode *nd, const char *service)
{
    JdRetryBudget *bg = g_hash_table_lookup(nd->retry_budgets, service);

    if (bg == NULL) {
        bg = g_new0(JdRetryBudget, 1);
        JdRetryBudget_Init(bg);
        g_hash_table_insert(nd->retry_budgets, g_strdup(service), bg);
    }
    return bg;
}

/* Returns whether the route allows one more attempt.  Attempts that failed
 * before they reached a target do not count towards its limit. */
bool
JdRetry_HasAttemptsLeft(const JdCall *call)
{
    return call->attempt_count < JD_ATTEMPTS_MAX &&
           call->failed_sent_count + call->active_count < call->route.attempts;
}

/* Returns whether targets have crashed so often under the request that it is
 * sent to none any more. */
bool
JdRetry_CrashesTargets(JdCall *call)
{
    return JdCrashTable_Refuses(&call->node->tree.crashes, &call->fingerprint,
                                call->msg);
}

/* Returns whether a target has crashed under the request. */
bool
JdRetry_MayCrashTargets(JdCall *call)
{
    return JdCrashTable_Suspects(&call->node->tree.crashes, &call->fingerprint,
                                 call->msg);
}

/*
 * Returns whether the request may be sent to another target after an attempt
 * failed for `reason`; if so, the retry is charged to the budget and counted.
 */
bool
JdRetry_Take(JdCall *call, JdReason reason, bool was_sent)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    JdNode *nd = call->node;

    if (!info->is_retryable || !JdRetry_HasAttemptsLeft(call) ||
        call->req == NULL || JdClock_Now(&nd->loop.clock) >= call->deadline) {
        return false;
    }
    if (!info->is_not_executed && !call->msg->idempotent) {
        return false;
    }
    if (JdRetry_CrashesTargets(call)) {
        return false;
    }
    /* An attempt that did not reach a target caused it no work, so the retry
     * is free. */
    if (was_sent && !JdRetryBudget_Take(get_budget(nd, call->route.service),
                                        call->msg->priority)) {
        nd->counters.value[JD_C_REFUSED_RETRY_BUDGET]++;
        return false;
    }
    nd->counters.value[info->is_not_executed ? JD_C_RETRIES_NOT_RUN
                                             : JD_C_RETRIES_IDEMPOTENT]++;
    return true;
}

/*
 * Returns the percentage of the requests for a service that count as retries
 * because the run that makes them is itself a retry.  This node cannot tell
 * calls of the target beside it from those of other callers, so the target's
 * share of retried runs is applied to all of them.  Requests for the target's
 * own service are exempt, as a target hardly ever calls its own service.
 */
static unsigned
inherited_retry_percent(const JdNode *nd, const char *service)
{
    return strcmp(service, nd->settings.service) == 0
               ? 0
               : nd->target_ops->retry_percent(nd->target_ctx);
}

/* Credits the retry budget for the first attempt of a call. */
void
JdRetry_RecordCall(JdNode *nd, const JdRoute *route)
{
    JdRetryBudgetParams rate = {
        .retry_percent = route->retry_percent,
        .nested_retry_percent = inherited_retry_percent(nd, route->service),
        .node_count = nd->tree.members.count};

    JdRetryBudget_RecordFirstAttempt(get_budget(nd, route->service), &rate);
}
