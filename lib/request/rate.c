/* Rate limits that targets name. */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Longest text of a rate, in bytes. */
#define TEXT_MAX 32
/* The unit of rates: requests per this many seconds. */
#define RATE_SECONDS 1000

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
