/* Names, texts and severities of every failure. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "libjd.h"

static const struct {
    const char *name;
    const char *text;
    JdSeverity severity;
} statuses[JD_STATUS_MAX] = {
    [JD_OK] = {"ok", "no failure", JD_SEVERITY_OK},
    [JD_ERR_SYNTAX] = {"syntax", "not well-formed JSON", JD_SEVERITY_INPUT},
    [JD_ERR_DUPLICATE_NAME] = {"duplicate-name", "a name stands twice",
                               JD_SEVERITY_INPUT},
    [JD_ERR_TYPE] = {"wrong-type", "wrong type of value", JD_SEVERITY_INPUT},
    [JD_ERR_UNKNOWN_FIELD] = {"unknown-field", "unknown field",
                              JD_SEVERITY_INPUT},
    [JD_ERR_MISSING_FIELD] = {"missing-field", "required field is absent",
                              JD_SEVERITY_INPUT},
    [JD_ERR_RANGE] = {"out-of-range", "value outside its limits",
                      JD_SEVERITY_INPUT},
    [JD_ERR_DANGLING] = {"dangling-reference", "referenced entry is absent",
                         JD_SEVERITY_INPUT},
    [JD_ERR_SERVICE_MISMATCH] = {"service-mismatch",
                                 "endpoint set belongs to another service",
                                 JD_SEVERITY_INPUT},
    [JD_ERR_BASE_LOST] = {"base-lost", "another patch took this base first",
                          JD_SEVERITY_CONFLICT},
    [JD_ERR_BASE_AHEAD] = {"base-ahead", "base version does not exist yet",
                           JD_SEVERITY_CONFLICT},
    [JD_ERR_RULES_UNKNOWN] = {"rules-unknown",
                              "rules are newer than this release",
                              JD_SEVERITY_FATAL},
    [JD_ERR_BAD_RECORD] = {"bad-record", "not a record of this system",
                           JD_SEVERITY_INPUT},
    [JD_ERR_DIGEST_MISMATCH] = {"digest-mismatch",
                                "state differs from the sender's",
                                JD_SEVERITY_RETRY},
    [JD_ERR_OLDER_VERSION] = {"older-version",
                              "version is not newer than the own",
                              JD_SEVERITY_RETRY},
    [JD_ERR_HISTORY_GAP] = {"history-gap",
                            "history between versions is missing",
                            JD_SEVERITY_RETRY},
    [JD_ERR_LOG_EXPIRED] = {"log-expired", "log expired past every checkpoint",
                            JD_SEVERITY_FATAL},
    [JD_ERR_UNREACHABLE] = {"unreachable", "no answer", JD_SEVERITY_RETRY},
    [JD_ERR_REFUSED] = {"refused", "the other side refused",
                        JD_SEVERITY_RETRY},
    [JD_ERR_UNKNOWN_RESULT] = {"unknown-result", "the effect is not known",
                               JD_SEVERITY_RETRY},
    [JD_ERR_TIMEOUT] = {"timeout", "time ran out", JD_SEVERITY_RETRY},
    [JD_ERR_USAGE] = {"usage", "wrong command line", JD_SEVERITY_INPUT},
    [JD_ERR_SETTINGS] = {"settings", "wrong settings", JD_SEVERITY_INPUT},
    [JD_ERR_SYSTEM] = {"system", "system call failed", JD_SEVERITY_FATAL},
};

/* Returns the name of a status as programs print it. */
const char *
JdStatus_Name(JdStatus status)
{
    return status < JD_STATUS_MAX ? statuses[status].name : "?";
}

/* Returns a sentence about a status for a person. */
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
 * Records a failure.  `err` and `path` may be NULL.  Returns `status`, so that
 * a function can end with this call.
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

/* Resets an error to success. */
void
JdError_Clear(JdError *err)
{
    memset(err, 0, sizeof(*err));
}
