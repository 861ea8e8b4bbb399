/*
 * HTTP conventions between a node and its callers and target: the header
 * fields for request metadata and how outcomes are reported.  There is a
 * default dialect; the platform adapter supplies another.
 */
#ifndef JD_DIALECT_H
#define JD_DIALECT_H

#include "../base/base.h"

typedef enum JdHeaderField {
    JD_FIELD_REQUEST_ID,     /* echoed by the target in its response */
    JD_FIELD_TIMEOUT_MS,     /* time left until the caller's timeout */
    JD_FIELD_CALLER_SERVICE, /* service of the node that took the request */
    JD_FIELD_TARGET_ID,      /* target process the request is meant for */
    JD_FIELD_ACCOUNT_KEY,    /* key of the caller's client account */
    JD_FIELD_ACCOUNT,        /* name of that account, for the target */
    JD_FIELD_MAX
} JdHeaderField;

/* What a target says of itself in a response. */
typedef enum JdNotice {
    JD_NOTICE_RATE_LIMIT, /* requests per second that it takes from all nodes
                             together */
    JD_NOTICE_LEAVING,    /* 1 if it is leaving */
    JD_NOTICE_MAX
} JdNotice;

/* Names under which a notice may come. */
#define JD_NOTICE_NAMES_MAX 2

typedef struct JdDialect {
    const char *header[JD_FIELD_MAX]; /* NULL: not used */
    const char *notice[JD_NOTICE_MAX][JD_NOTICE_NAMES_MAX];
    /* Responses carry the outcome of the request and its reason. */
    bool reports_outcome;
    /* Retry-After may have a fraction of a second. */
    bool has_fractional_retry_after;
    /* Returns whether the target reports that it did not run the request. */
    bool (*is_not_run)(const JdHttpResponse *ans);
} JdDialect;

extern const JdDialect JdDialect_Default;

#endif
