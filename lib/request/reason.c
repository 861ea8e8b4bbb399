/* Table of the reasons for which requests are refused or aborted. */
#include "libjd.h"

static const JdReasonInfo infos[JD_REASON_MAX] = {
    [JD_REASON_NONE] = {"none", 200, false, false, 0, JD_C_REQUESTS_ANSWERED},
    [JD_REASON_NOT_READY] = {"not-ready", 503, true, false, 300,
                             JD_C_REFUSED_NOT_READY},
    [JD_REASON_NO_ROUTE] = {"no-route", 404, true, false, 0,
                            JD_C_REFUSED_NO_ROUTE},
    [JD_REASON_NO_TARGET] = {"no-target", 503, true, false, 500,
                             JD_C_REFUSED_NO_TARGET},
    [JD_REASON_QUEUE_FULL] = {"queue-full", 503, true, true, 200,
                              JD_C_REFUSED_QUEUE_FULL},
    [JD_REASON_TOO_LATE] = {"too-late", 503, true, true, 200,
                            JD_C_REFUSED_TOO_LATE},
    [JD_REASON_DRAINING] = {"draining", 503, true, true, 100,
                            JD_C_REFUSED_DRAINING},
    [JD_REASON_TARGET_DOWN] = {"target-down", 503, true, true, 200,
                               JD_C_REFUSED_TARGET_DOWN},
    [JD_REASON_SHED] = {"shed", 503, true, true, 200,
                        JD_C_REFUSED_TARGET_SHED},
    [JD_REASON_DEADLINE] = {"deadline", 504, false, false, 0,
                            JD_C_REFUSED_DEADLINE},
    [JD_REASON_BROKEN] = {"broken", 502, false, true, 0, JD_C_REFUSED_BROKEN},
    [JD_REASON_CANCELLED] = {"cancelled", 499, false, false, 0,
                             JD_C_REFUSED_CANCELLED},
    [JD_REASON_BAD_REQUEST] = {"bad-request", 400, true, false, 0,
                               JD_C_REFUSED_BAD_REQUEST},
    [JD_REASON_KEY_MISSING] = {"key-missing", 400, true, false, 0,
                               JD_C_REFUSED_KEY_MISSING},
    [JD_REASON_KEY_TAKEN] = {"key-taken", 409, false, false, 0,
                             JD_C_REFUSED_KEY_TAKEN},
    [JD_REASON_CLAIM_FAILED] = {"claim-failed", 503, true, false, 2000,
                                JD_C_REFUSED_CLAIM_FAILED},
    [JD_REASON_RATE_LIMITED] = {"rate-limited", 503, true, true, 200,
                                JD_C_REFUSED_RATE_LIMITED},
    [JD_REASON_CRASHES] = {"crashes-targets", 503, true, false, 0,
                           JD_C_REFUSED_CRASHES},
    [JD_REASON_ISOLATED] = {"isolated", 503, true, true, 200,
                            JD_C_REFUSED_ISOLATED},
    [JD_REASON_COPY_RUNS] = {"copy-runs", 503, true, false, 200,
                             JD_C_REFUSED_COPY_RUNS},
    [JD_REASON_UNKNOWN_KEY] = {"unknown-key", 401, true, false, 0,
                               JD_C_REFUSED_UNKNOWN_KEY},
    [JD_REASON_OVER_QUOTA] = {"over-quota", 429, true, false, 200,
                              JD_C_REFUSED_OVER_QUOTA},
    [JD_REASON_NO_LINK_ROOM] = {"no-link-room", 503, true, true, 200,
                                JD_C_REFUSED_NO_LINK_ROOM},
    [JD_REASON_NO_MEMORY] = {"no-memory", 503, true, true, 1000,
                             JD_C_REFUSED_NO_MEMORY},
    [JD_REASON_NOT_RECEIVED] = {"not-received", 408, true, false, 0,
                                JD_C_REFUSED_NOT_RECEIVED},
};

/* Returns the properties of a reason.  Unknown values count as
 * JD_REASON_BROKEN. */
const JdReasonInfo *
JdReason_Info(JdReason reason)
{
    return &infos[reason < JD_REASON_MAX ? reason : JD_REASON_BROKEN];
}
