/* The default HTTP conventions. */
#include <string.h>

#include "dialect.h"

static bool
has_value(const JdHttpResponse *ans, const char *name, const char *value)
{
    const JdHttpHeader *h = JdHttpResponse_FindHeader(ans, name);

    return h != NULL && h->value_len == strlen(value) &&
           memcmp(h->value, value, h->value_len) == 0;
}

/*
 * Returns whether the target itself shed the request without running it.  A
 * refusal that it relays from a service further down has "x-retry: no" and
 * counts as a normal response: it was already retried there where that helps.
 */
static bool
is_not_run(const JdHttpResponse *ans)
{
    return ans->status == 503 && has_value(ans, "x-outcome", "not-run") &&
           !has_value(ans, "x-retry", "no");
}

const JdDialect JdDialect_Default = {
    .header = {[JD_FIELD_TIMEOUT_MS] = "x-timeout-ms",
               [JD_FIELD_ACCOUNT_KEY] = "x-account-key",
               [JD_FIELD_ACCOUNT] = "x-account"},
    .notice = {[JD_NOTICE_RATE_LIMIT] = {"x-rate-limit"},
               [JD_NOTICE_LEAVING] = {"x-leaving"}},
    .reports_outcome = true,
    .is_not_run = is_not_run,
};
