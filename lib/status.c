/* Names, descriptions and severities of status codes; error objects. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "libjd.h"

static const struct {
    const char *name;
    const char *text;
    JdSeverity severity;
} statuses[JD_STATUS_MAX] = {
    [JD_OK] = {"ok", "success", JD_SEVERITY_OK},
    [JD_ERR_SYNTAX] = {"syntax", "not well-formed JSON", JD_SEVERITY_INPUT},
    [JD_ERR_DUPLICATE_NAME] = {"duplicate-name", "duplicate object key",
                               JD_SEVERITY_INPUT},
    [JD_ERR_TYPE] = {"wrong-type", "value has the wrong type",
                     JD_SEVERITY_INPUT},
    [JD_ERR_UNKNOWN_FIELD] = {"unknown-field", "unknown field",
                              JD_SEVERITY_INPUT},
    [JD_ERR_MISSING_FIELD] = {"missing-field", "required field is missing",
                              JD_SEVERITY_INPUT},
    [JD_ERR_RANGE] = {"out-of-range", "value is out of range",
                      JD_SEVERITY_INPUT},
    [JD_ERR_DANGLING] = {"dangling-reference",
                         "referenced entry does not exist", JD_SEVERITY_INPUT},
    [JD_ERR_SERVICE_MISMATCH] = {"service-mismatch",
                                 "endpoint set belongs to another service",
                                 JD_SEVERITY_INPUT},
    [JD_ERR_BASE_LOST] = {"base-lost",
                          "another patch was applied to this base first",
                          JD_SEVERITY_CONFLICT},
    [JD_ERR_BASE_AHEAD] = {"base-ahead", "base version does not exist yet",
                           JD_SEVERITY_CONFLICT},
    [JD_ERR_RULES_UNKNOWN] = {"rules-unknown",
                              "validation rules are newer than this release",
                              JD_SEVERITY_FATAL},
    [JD_ERR_BAD_RECORD] = {"bad-record", "invalid log record",
                           JD_SEVERITY_INPUT},
    [JD_ERR_DIGEST_MISMATCH] = {"digest-mismatch",
                                "state does not match the sender's digest",
                                JD_SEVERITY_RETRY},
    [JD_ERR_OLDER_VERSION] = {"older-version",
                              "version is not newer than the current one",
                              JD_SEVERITY_RETRY},
    [JD_ERR_HISTORY_GAP] = {"history-gap",
                            "history between versions is missing",
                            JD_SEVERITY_RETRY},
    [JD_ERR_LOG_EXPIRED] = {"log-expired",
                            "records to be read have expired in the log",
                            JD_SEVERITY_FATAL},
    [JD_ERR_EPOCH_CHANGED] = {"epoch-changed",
                              "the source was restored during the read",
                              JD_SEVERITY_RETRY},
    [JD_ERR_UNREACHABLE] = {"unreachable", "no answer", JD_SEVERITY_RETRY},
    [JD_ERR_REFUSED] = {"refused", "refused by the peer", JD_SEVERITY_RETRY},
    [JD_ERR_UNKNOWN_RESULT] = {"unknown-result",
                               "unknown whether the operation took effect",
                               JD_SEVERITY_RETRY},
    [JD_ERR_TIMEOUT] = {"timeout", "timed out", JD_SEVERITY_RETRY},
    [JD_ERR_USAGE] = {"usage", "invalid command line", JD_SEVERITY_INPUT},
    [JD_ERR_SETTINGS] = {"settings", "invalid settings", JD_SEVERITY_INPUT},
    [JD_ERR_SYSTEM] = {"system", "system call failed", JD_SEVERITY_FATAL},
};

/* Returns the name of a status as it appears in messages and JSON output. */
const char *
JdStatus_Name(JdStatus status)
{
    return status < JD_STATUS_MAX ? statuses[status].name : "?";
}

/* Returns a human-readable description of a status. */
const char *
JdStatus_Text(JdStatus status)
{
    return status < JD_STATUS_MAX ? statuses[status].text : "?";
}

/* Returns the severity of a status. */
JdSeverity
JdStatus_Severity(JdStatus status)
{
    return status < JD_STATUS_MAX ? statuses[status].severity
                                  : JD_SEVERITY_FATAL;
}

/*
 * Sets an error; `err` and `path` may be NULL.  Returns `status`, so that a
 * function can return the result of this call.
 */
JdStatus
JdError_Set(JdError *err, JdStatus status, const char *path, const char *fmt,
            ...)
{
    va_list ap;

    if (err == NULL) {
        return status;
    }
    err->status = status;
    snprintf(err->path, sizeof(err->path), "%s", path == NULL ? "" : path);
    va_start(ap, fmt);
    vsnprintf(err->text, sizeof(err->text), fmt, ap);
    va_end(ap);
    return status;
}

/* Resets an error to JD_OK. */
void
JdError_Clear(JdError *err)
{
    memset(err, 0, sizeof(*err));
}
