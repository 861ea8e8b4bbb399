/* The product's own names on requests and answers. */
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
 * The target says itself that it shed the request without running it.  A
 * refusal that it passes on from a service behind it is an answer like any
 * other: the retries that help were made there.
 */
static bool
is_not_run(const JdHttpResponse *ans)
{
    return ans->status == 503 && has_value(ans, "x-outcome", "not-run") &&
           !has_value(ans, "x-retry", "no");
}

const JdDialect JdDialect_Default = {
    .header = {[JD_FIELD_TIMEOUT_MS] = "x-timeout-ms"},
    .reports_outcome = true,
    .is_not_run = is_not_run,
};
