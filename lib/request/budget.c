/*
 * The retry budget of a service: each first try earns a share of a retry, and
 * each retry spends a whole one.  Retries can therefore never exceed that
 * share of first tries by more than the reserve.
 *
 * The load that it answers is one of which targets refuse or fail a large
 * share: there is not enough for all then, and what is left goes to the work
 * of higher priority.  A run that is itself a retry makes its calls once more,
 * which the service that is called feels as retries: they are charged to it.
 */
#include "libjd.h"

#define WHOLE INT64_C(100)
/* Retries that one node may save up, and all nodes together: they may spend
 * them all at once. */
#define RESERVE_MOST 10
#define RESERVE_LEAST 2
#define FLEET_RESERVE 400
/* Percent of the reserve that each priority leaves to the one above it. */
#define LEFT_ABOVE 10

/* Initializes a budget with the largest reserve. */
void
JdRetryBudget_Init(JdRetryBudget *bg)
{
    bg->max_credit = RESERVE_MOST * WHOLE;
    bg->credit = bg->max_credit;
}

static void
set_reserve(JdRetryBudget *bg, unsigned nodes)
{
    unsigned share = nodes == 0 ? RESERVE_MOST : FLEET_RESERVE / nodes;

    if (share > RESERVE_MOST) {
        share = RESERVE_MOST;
    }
    if (share < RESERVE_LEAST) {
        share = RESERVE_LEAST;
    }
    bg->max_credit = share * WHOLE;
}

/* Counts a first try, which earns what `rate` says. */
void
JdRetryBudget_RecordFirstAttempt(JdRetryBudget *bg,
                                 const JdRetryBudgetParams *rate)
{
    set_reserve(bg, rate->node_count);
    bg->credit +=
        (int64_t)rate->retry_percent - (int64_t)rate->nested_retry_percent;
    if (bg->credit > bg->max_credit) {
        bg->credit = bg->max_credit;
    }
    if (bg->credit < -bg->max_credit) {
        bg->credit = -bg->max_credit;
    }
}

/* Takes one retry out of the budget.  Returns false when there is none for
 * work of this priority. */
bool
JdRetryBudget_Take(JdRetryBudget *bg, unsigned priority)
{
    int64_t left = bg->max_credit * LEFT_ABOVE / 100 * priority;

    if (bg->credit < WHOLE + left) {
        return false;
    }
    bg->credit -= WHOLE;
    return true;
}
