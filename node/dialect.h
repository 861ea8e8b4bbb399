/*
 * Names under which callers and targets exchange what does not stand in the
 * request line.  The product has names of its own; an adapter brings others.
 */
#ifndef JD_DIALECT_H
#define JD_DIALECT_H

#include "../base/base.h"

typedef enum JdHeaderField {
    JD_FIELD_REQUEST_ID,     /* repeated by the target on its answer */
    JD_FIELD_TIMEOUT_MS,     /* how long the caller waits */
    JD_FIELD_CALLER_SERVICE, /* service beside the node that took the request
                              */
    JD_FIELD_TARGET_ID,      /* the target's process that is meant */
    JD_FIELD_MAX
} JdHeaderField;

typedef struct JdDialect {
    const char *header[JD_FIELD_MAX]; /* NULL: not exchanged */
    /* Adds what became of a request, and why, to the answer. */
    bool reports_outcome;
    /* Retry-After may be a fraction of a second. */
    bool has_fractional_retry_after;
    /* Whether a target's answer says that the request did not run. */
    bool (*is_not_run)(const JdHttpResponse *ans);
} JdDialect;

extern const JdDialect JdDialect_Default;

#endif
