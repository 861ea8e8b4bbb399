/* The log as the operators' command sees it: replayed, and appended to. */
#include "ctl.h"

/* Time for one append, in us. */
#define APPEND_TIME (3 * JD_US_PER_S)

/* Returns the exit code for a status. */
CtlExit
Ctl_ExitCode(JdStatus status)
{
    switch (JdStatus_Severity(status)) {
    case JD_SEVERITY_OK:
        return CTL_EXIT_OK;
    case JD_SEVERITY_INPUT:
        return CTL_EXIT_INPUT;
    case JD_SEVERITY_CONFLICT:
        return CTL_EXIT_CONFLICT;
    case JD_SEVERITY_RETRY:
        return CTL_EXIT_RETRY;
    default:
        return CTL_EXIT_FATAL;
    }
}

static void
on_time(void *ctx)
{
    Ctl *ctl = ctx;

    ctl->is_timed_out = true;
    JdLoop_Stop(&ctl->loop);
}

/* Runs the loop until JdLoop_Stop, or for `us` at the most. */
void
Ctl_RunFor(Ctl *ctl, uint64_t us)
{
    ctl->loop.is_stopping = false;
    ctl->is_timed_out = false;
    JdTimer_Arm(&ctl->loop.clock, &ctl->timer, us);
    JdLoop_Run(&ctl->loop);
    JdTimer_Cancel(&ctl->loop.clock, &ctl->timer);
}

/* Initializes the loop and an empty store. */
void
Ctl_Init(Ctl *ctl)
{
    JdLoop_Init(&ctl->loop);
    JdTimer_Init(&ctl->timer, on_time, ctl);
    JdStore_Init(&ctl->store, &ctl->counters);
}

static void
on_answer(void *ctx, uint64_t token, const JdLogAnswer *ans)
{
    Ctl *ctl = ctx;

    JdReader_HandleAnswer(&ctl->reader, token, ans);
}

static void
on_read(void *ctx, JdStream stream, uint64_t from, unsigned most,
        uint64_t wait, uint64_t token)
{
    Ctl *ctl = ctx;

    JdLog_Read(&ctl->log, JdStream_Name(stream), from, most, wait, token,
               on_answer, ctl);
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Ctl *ctl = ctx;

    if (ctl->decided != NULL) {
        ctl->decided(ctl->decided_ctx, rec, out);
    }
}

static void
on_caught_up(void *ctx)
{
    Ctl *ctl = ctx;

    JdReader_Stop(&ctl->reader);
    JdLoop_Stop(&ctl->loop);
}

static const JdReaderOps ops = {on_read, on_decided, on_caught_up};

/* Makes the log usable by this command.  Fails with JD_ERR_USAGE. */
JdStatus
CtlLog_Open(Ctl *ctl, JdError *err)
{
    if (ctl->log_address == NULL) {
        return JdError_Set(err, JD_ERR_USAGE, "", "--log is required");
    }
    if (JdLog_Init(&ctl->log, &ctl->loop, ctl->log_address, &ctl->counters,
                   err) != JD_OK) {
        return JdError_Set(err, JD_ERR_USAGE, "", "--log is no IP:PORT");
    }
    JdReader_Init(&ctl->reader, &ctl->store, &ctl->loop.clock, &ops, ctl);
    ctl->has_log = true;
    return JD_OK;
}

/* Reads to the end of the config stream. */
JdStatus
CtlLog_CatchUp(Ctl *ctl, JdError *err)
{
    JdReader_Start(&ctl->reader);
    Ctl_RunFor(ctl, (uint64_t)ctl->timeout_s * JD_US_PER_S);
    JdReader_Stop(&ctl->reader);
    if (ctl->store.is_halted) {
        return JdError_Set(err, JD_ERR_RULES_UNKNOWN, "",
                           "the log asks for newer rules; use a newer "
                           "release");
    }
    if (ctl->is_timed_out && ctl->reader.is_expired) {
        return JdError_Set(err, JD_ERR_LOG_EXPIRED, "",
                           "no checkpoint reaches the records that are left");
    }
    if (ctl->is_timed_out) {
        return JdError_Set(err, JD_ERR_UNREACHABLE, "",
                           "no answer of the log in %d s", ctl->timeout_s);
    }
    return JD_OK;
}

typedef struct Append {
    Ctl *ctl;
    JdStatus status;
    uint64_t offset;
} Append;

static void
on_appended(void *ctx, JdStatus status, uint64_t offset, uint64_t at)
{
    Append *ap = ctx;

    (void)at;
    ap->status = status;
    ap->offset = offset;
    JdLoop_Stop(&ap->ctl->loop);
}

/*
 * Appends one record and waits for the answer.  Returns JD_OK,
 * JD_ERR_REFUSED or JD_ERR_UNREACHABLE (not appended), or
 * JD_ERR_UNKNOWN_RESULT.
 */
JdStatus
CtlLog_Append(Ctl *ctl, JdStream stream, const char *text, uint64_t *offset)
{
    Append ap = {ctl, JD_ERR_UNKNOWN_RESULT, 0};

    JdLog_Append(&ctl->log, JdStream_Name(stream), text, on_appended, &ap);
    Ctl_RunFor(ctl, APPEND_TIME);
    *offset = ap.offset;
    return ap.status;
}
