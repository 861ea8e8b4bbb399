/*
 * Requests that come while a node starts.  The load that it answers is that of
 * callers whose nodes have all lost power: each node is ready again within a
 * fraction of a second, and one that has a version still lacks news of the
 * targets for a moment.  A request that waits for that is answered sooner than
 * one that is refused and comes back; where it takes longer than usual, the
 * request is refused while its caller has time left to come back.
 */
#include "libjd.h"

/* Time after the start in which a node is ready as a rule. */
#define START_TIME (800 * JD_US_PER_MS)
/* The part of a caller's time that a request may wait. */
#define WAIT_PART 4
/* Bounds on the wait that a refused request is told. */
#define RETRY_LEAST (100 * JD_US_PER_MS)
#define RETRY_LATER (300 * JD_US_PER_MS)

/*
 * Returns the time until which a request may wait for the node to be ready; it
 * is past where it may not.  All times are in us of the steady clock,
 * `timeout` is how long the caller waits.
 */
uint64_t
JdStartup_WaitUntil(uint64_t started, uint64_t arrived, uint64_t timeout)
{
    uint64_t ready = started + START_TIME;
    uint64_t share = arrived + timeout / WAIT_PART;

    return ready < share ? ready : share;
}

/* Returns the us after which a request that is refused now would be taken. */
uint64_t
JdStartup_RetryAfter(uint64_t started, uint64_t now)
{
    uint64_t ready = started + START_TIME;

    if (ready <= now) {
        return RETRY_LATER;
    }
    return ready - now > RETRY_LEAST ? ready - now : RETRY_LEAST;
}
