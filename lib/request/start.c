/*
 * Requests that arrive while a node starts, for example after all nodes have
 * lost power.  A node is usually ready within a fraction of a second.  After
 * it has received a configuration, it still takes a moment to learn the
 * targets.  A request that waits for the node is answered sooner than one that
 * is refused and sent again.  If the start takes longer than usual, the
 * request is refused early enough for the caller to send it again.
 */
#include "libjd.h"

/* Time within which a node is usually ready after its start. */
#define USUAL_START_TIME (800 * JD_US_PER_MS)
/* A request may wait for at most its caller's timeout divided by this. */
#define TIMEOUT_DIVISOR 4
/* Lower bound of the retry-after time within the usual start time. */
#define RETRY_AFTER_MIN (100 * JD_US_PER_MS)
/* Retry-after time when the start takes longer than usual. */
#define RETRY_AFTER_LATE (300 * JD_US_PER_MS)

/*
 * Returns the time until which a request may wait for the node to be ready; a
 * time in the past means that the request may not wait.  The node started at
 * `started` and the request arrived at `arrived`, both in us of the monotonic
 * clock.  `timeout` is the caller's timeout in us.
 */
uint64_t
JdStartup_WaitUntil(uint64_t started, uint64_t arrived, uint64_t timeout)
{
    uint64_t ready_at = started + USUAL_START_TIME;
    uint64_t limit = arrived + timeout / TIMEOUT_DIVISOR;

    return ready_at < limit ? ready_at : limit;
}

/* Returns the time in us after which a request that is refused now should be
 * sent again. */
uint64_t
JdStartup_RetryAfter(uint64_t started, uint64_t now)
{
    uint64_t ready_at = started + USUAL_START_TIME;

    if (ready_at <= now) {
        return RETRY_AFTER_LATE;
    }
    return ready_at - now > RETRY_AFTER_MIN ? ready_at - now : RETRY_AFTER_MIN;
}
