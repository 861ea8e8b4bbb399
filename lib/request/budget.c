/*
 * Retry budget of a service, a token bucket: each first attempt earns a
 * fraction of a retry, and each retry spends a whole one.  Retries therefore
 * exceed this fraction of the first attempts by the saved credit at most.
 *
 * The budget limits the extra load when targets refuse or fail a large share
 * of the requests.  It does not cover all retries then, so part of the credit
 * is kept for higher priorities.  A request that is itself a retry repeats its
 * calls to other services.  These calls are first attempts here but retries
 * for the service that gets them, so they are charged to that
 * service's budget.
 */
#include "libjd.h"

/* Credit that one retry spends. */
#define CREDIT_PER_RETRY INT64_C(100)
/* Retries that one node may save up.  All nodes may spend their savings at
 * once, so the sum over all nodes is limited as well, down to the minimum per
 * node. */
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

/* Spends the credit of one retry.  Returns false if the budget has none for
 * this priority. */
bool
JdRetryBudget_Take(JdRetryBudget *bg, unsigned priority)
{
    int64_t kept = bg->max_credit * PRIORITY_STEP_PERCENT / 100 * priority;

    if (bg->credit < CREDIT_PER_RETRY + kept) {
        return false;
    }
    bg->credit -= CREDIT_PER_RETRY;
    return true;
}
