/*
 * The retry budget of a service: each first try earns a share of a retry, and
 * each retry spends a whole one.  Retries can therefore never exceed that
 * share of first tries by more than the small reserve.
 */
#include "libjd.h"

#define WHOLE UINT64_C(100)
/* Retries that may be saved up. */
#define RESERVE UINT64_C(10)

/* Initializes a budget with its reserve. */
void
JdBudget_Init(JdBudget *bg)
{
    bg->credit = RESERVE * WHOLE;
}

/* Counts a first try; `percent` retries are earned per 100 of them. */
void
JdBudget_First(JdBudget *bg, unsigned percent)
{
    bg->credit += percent;
    if (bg->credit > RESERVE * WHOLE) {
        bg->credit = RESERVE * WHOLE;
    }
}

/* Takes one retry out of the budget.  Returns false when it is spent. */
bool
JdBudget_Take(JdBudget *bg)
{
    if (bg->credit < WHOLE) {
        return false;
    }
    bg->credit -= WHOLE;
    return true;
}
