/*
 * Rate limits that targets name.  Only a target's own node sends to it, so one
 * token bucket there holds the requests of all nodes to the limit.  A limit
 * begins without credit: what was sent before it was known, by this node or by
 * its last process, has used it up.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Longest text of a rate, in bytes. */
#define TEXT_MAX 32
/* The unit of rates: requests per this many seconds. */
#define RATE_SECONDS 1000
/* Credit of one request.  At a rate of 1, 1 us earns 1. */
#define CREDIT_PER_REQUEST UINT64_C(1000000000)
/* A target that gets fewer requests than its limit saves up one request and
 * those of this time. */
#define SAVING_TIME (250 * JD_US_PER_MS)

/*
 * Reads a rate in requests per second, a decimal number, into `rate`, in
 * requests per 1000 s.  A rate below JD_RATE_MIN is raised to it: a target
 * that gets no requests at all could never tell that its limit has risen.
 * Fails with JD_ERR_SYNTAX.
 */
JdStatus
JdRateLimit_Parse(const char *text, size_t len, unsigned *rate)
{
    char copy[TEXT_MAX];
    char *end;
    double value;

    if (len == 0 || len >= sizeof(copy)) {
        return JD_ERR_SYNTAX;
    }
    memcpy(copy, text, len);
    copy[len] = '\0';
    if (strspn(copy, "0123456789.") != len) {
        return JD_ERR_SYNTAX;
    }
    value = g_ascii_strtod(copy, &end);
    if (end == copy || *end != '\0') {
        return JD_ERR_SYNTAX;
    }
    value *= RATE_SECONDS;
    if (value < JD_RATE_MIN) {
        value = JD_RATE_MIN;
    }
    *rate = value < JD_RATE_MAX ? (unsigned)value : JD_RATE_MAX;
    return JD_OK;
}

static uint64_t
max_credit(const JdRateLimit *rl)
{
    return CREDIT_PER_REQUEST + rl->rate * SAVING_TIME;
}

/* Adds the credit earned since the last change. */
static void
earn_credit(JdRateLimit *rl, uint64_t now)
{
    uint64_t max = max_credit(rl);
    uint64_t elapsed = now - rl->updated_at;

    rl->updated_at = now;
    if (rl->rate == 0) {
        return;
    }
    rl->credit =
        elapsed >= max / rl->rate ? max : rl->credit + elapsed * rl->rate;
    if (rl->credit > max) {
        rl->credit = max;
    }
}

/* Sets the limit in requests per 1000 s; 0 lifts it. */
void
JdRateLimit_Set(JdRateLimit *rl, unsigned rate, uint64_t now)
{
    earn_credit(rl, now);
    if (rl->rate == 0) {
        rl->credit = 0;
    }
    rl->rate = rate;
    if (rl->credit > max_credit(rl)) {
        rl->credit = max_credit(rl);
    }
}

/* Returns the credit that a request needs.  Each priority leaves a share of
 * what can be saved up to those above it. */
static uint64_t
needed_credit(const JdRateLimit *rl, unsigned priority)
{
    uint64_t spare = max_credit(rl) - CREDIT_PER_REQUEST;

    return CREDIT_PER_REQUEST + spare * priority / JD_PRIORITIES;
}

/* Returns whether the limit allows a request of this priority now. */
bool
JdRateLimit_HasCredit(JdRateLimit *rl, unsigned priority, uint64_t now)
{
    earn_credit(rl, now);
    return rl->rate == 0 || rl->credit >= needed_credit(rl, priority);
}

/* Spends the credit of a request that is sent. */
void
JdRateLimit_Take(JdRateLimit *rl, uint64_t now)
{
    earn_credit(rl, now);
    rl->credit -=
        rl->credit < CREDIT_PER_REQUEST ? rl->credit : CREDIT_PER_REQUEST;
}

/* Returns the time in us until the limit allows a request of this priority. */
uint64_t
JdRateLimit_Wait(JdRateLimit *rl, unsigned priority, uint64_t now)
{
    uint64_t missing;

    if (JdRateLimit_HasCredit(rl, priority, now)) {
        return 0;
    }
    missing = needed_credit(rl, priority) - rl->credit;
    return missing / rl->rate + 1;
}
