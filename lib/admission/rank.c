/*
 * Ranks: the order in which requests are served where callers compete for too
 * little room.  The priority of the client account goes before that of the
 * route.  A request that a running request of a target makes goes before new
 * ones: refusing it wastes the work that waits for it.
 */
#include "libjd.h"

/* Priority that counts for requests without an account. */
#define DEFAULT_ACCOUNT_PRIORITY 2

static unsigned
limit_priority(unsigned priority)
{
    return priority < JD_PRIORITIES ? priority : JD_PRIORITIES - 1;
}

/* Returns a rank; priorities out of range count as the lowest. */
unsigned
JdRank_Make(unsigned account_priority, unsigned route_priority, bool is_call)
{
    return (limit_priority(account_priority) * JD_PRIORITIES +
            limit_priority(route_priority)) *
               2 +
           !is_call;
}

/* Returns the rank of a request.  A call carries no account.  The request that
 * makes it was served by the rank of its own, so calls are of the first. */
unsigned
JdRank_OfRequest(const Jd__Request *msg)
{
    unsigned account_priority = msg->account_priority;

    if (msg->is_call) {
        account_priority = 0;
    }
    else if (msg->account[0] == '\0') {
        account_priority = DEFAULT_ACCOUNT_PRIORITY;
    }
    return JdRank_Make(account_priority, msg->priority, msg->is_call);
}
