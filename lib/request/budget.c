/*
 * Retry budget of a service, a token bucket: each first attempt earns a
 * fraction of a retry as credit, and each retry spends the credit of a whole
 * one.  The number of retries is therefore at most this fraction of the first
 * attempts plus the credit that was saved up.
 *
 * The budget limits the extra load when targets refuse or fail a large share
 * of the requests.  The credit then does not suffice for all retries, so part
 * of it is kept for higher priorities.  A request that is itself a retry
 * repeats its calls to other services.  These calls are first attempts for
 * this node but retries for the service that is called, so its budget is
 * charged for them.
 */
#include "libjd.h"

/* Credit that one retry spends. */
#define CREDIT_PER_RETRY INT64_C(100)
/* Limits on the retries that one node may save up.  All nodes may spend their
 * savings at once, so the nodes also share a limit for the fleet, but each may
 * save up the minimum. */
#define MAX_SAVED_RETRIES 10
#define MIN_SAVED_RETRIES 2
#define FLEET_SAVED_RETRIES 400
/* Percent of the maximum credit that each priority level keeps for the one
 * above it. */
#define PRIORITY_STEP_PERCENT 10

/* Initializes a budget with the maximum credit of one node. */
void
JdRetryBudget_Init(JdRetryBudget *bg)
{
    bg->max_credit = MAX_SAVED_RETRIES * CREDIT_PER_RETRY;
    bg->credit = bg->max_credit;
}

static void
update_max_credit(JdRetryBudget *bg, unsigned node_count)
{
    unsigned share =
        node_count == 0 ? MAX_SAVED_RETRIES : FLEET_SAVED_RETRIES / node_count;

    if (share > MAX_SAVED_RETRIES) {
        share = MAX_SAVED_RETRIES;
    }
    if (share < MIN_SAVED_RETRIES) {
        share = MIN_SAVED_RETRIES;
    }
    bg->max_credit = share * CREDIT_PER_RETRY;
}

/* Records a first attempt, which earns or costs credit according to `params`.
 */
void
JdRetryBudget_RecordFirstAttempt(JdRetryBudget *bg,
                                 const JdRetryBudgetParams *params)
{
    update_max_credit(bg, params->node_count);
    bg->credit +=
        (int64_t)params->retry_percent - (int64_t)params->nested_retry_percent;
    if (bg->credit > bg->max_credit) {
        bg->credit = bg->max_credit;
    }
    if (bg->credit < -bg->max_credit) {
        bg->credit = -bg->max_credit;
    }
}

/* Spends the credit of one retry.  Returns false if too little credit is left
 * for a retry of this priority. */
bool
JdRetryBudget_Take(JdRetryBudget *bg, unsigned priority)
{
    int64_t reserved = bg->max_credit * PRIORITY_STEP_PERCENT / 100 * priority;

    if (bg->credit < CREDIT_PER_RETRY + reserved) {
        return false;
    }
    bg->credit -= CREDIT_PER_RETRY;
    return true;
}
