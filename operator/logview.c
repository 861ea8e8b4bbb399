/*
 * Access of jacinthctl to the log: replays the config stream into a local
 * store, and appends records.  Also its event loop and exit codes.
 */
#include "ctl.h"

/* Longest wait for the answer to an append, in us. */
#define APPEND_TIMEOUT (3 * JD_US_PER_S)

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
on_timeout(void *ctx)
{
    Ctl *ctl = ctx;

    ctl->is_timed_out = true;
    JdLoop_Stop(&ctl->loop);
}

/*
 * Runs the loop until JdLoop_Stop is called, or for at most `us`.  Sets
 * `is_timed_out` in the latter case.
 */
void
Ctl_RunFor(Ctl *ctl, uint64_t us)
{
    ctl->loop.is_stopping = false;
    ctl->is_timed_out = false;
    JdTimer_Arm(&ctl->loop.clock, &ctl->timer, us);
    JdLoop_Run(&ctl->loop);
    JdTimer_Cancel(&ctl->loop.clock, &ctl->timer);
}

/* Initializes the event loop, its timer and an empty store. */
void
Ctl_Init(Ctl *ctl)
{
    JdLoop_Init(&ctl->loop);
    JdTimer_Init(&ctl->timer, on_timeout, ctl);
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
on_replayed(void *ctx, const JdRecord *rec, const JdReplayResult *out)
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

static const JdReaderOps reader_ops = {on_read, on_replayed, on_caught_up};

/*
 * Initializes the log client and the reader for the address in --log.  Fails
 * with JD_ERR_USAGE; does not connect yet.
 */
JdStatus
CtlLog_Open(Ctl *ctl, JdError *err)
{
    if (ctl->log_address == NULL) {
        return JdError_Set(err, JD_ERR_USAGE, "", "--log is required");
    }
    if (JdLog_Init(&ctl->log, &ctl->loop, ctl->log_address, &ctl->counters,
                   err) != JD_OK) {
        return JdError_Set(err, JD_ERR_USAGE, "", "--log must be IP:PORT");
    }
    JdReader_Init(&ctl->reader, &ctl->store, &ctl->loop.clock, &reader_ops,
                  ctl);
    ctl->has_log = true;
    return JD_OK;
}

/*
 * Replays the config stream up to its current end.  Fails with
 * JD_ERR_RULES_UNKNOWN, JD_ERR_LOG_EXPIRED or JD_ERR_UNREACHABLE; the last two
 * after --timeout.
 */
JdStatus
CtlLog_CatchUp(Ctl *ctl, JdError *err)
{
    JdReader_Start(&ctl->reader);
    Ctl_RunFor(ctl, (uint64_t)ctl->timeout_s * JD_US_PER_S);
    JdReader_Stop(&ctl->reader);
    if (ctl->store.is_halted) {
        return JdError_Set(err, JD_ERR_RULES_UNKNOWN, "",
                           "the log requires newer validation rules; "
                           "upgrade jacinthctl");
    }
    if (ctl->is_timed_out && ctl->reader.is_expired) {
        return JdError_Set(err, JD_ERR_LOG_EXPIRED, "",
                           "the log expired and no checkpoint covers the gap");
    }
    if (ctl->is_timed_out) {
        return JdError_Set(err, JD_ERR_UNREACHABLE, "",
                           "the log did not answer within %d s",
                           ctl->timeout_s);
    }
    return JD_OK;
}

/* An append whose answer is awaited. */
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
 * Appends one record and waits for the answer.  Returns JD_OK; JD_ERR_REFUSED
 * or JD_ERR_UNREACHABLE when the record was not appended; or
 * JD_ERR_UNKNOWN_RESULT when it may have been.  `offset` is valid with JD_OK.
 */
JdStatus
CtlLog_Append(Ctl *ctl, JdStream stream, const char *text, uint64_t *offset)
{
    Append ap = {ctl, JD_ERR_UNKNOWN_RESULT, 0};

    JdLog_Append(&ctl->log, JdStream_Name(stream), text, on_appended, &ap);
    Ctl_RunFor(ctl, APPEND_TIMEOUT);
    *offset = ap.offset;
    return ap.status;
}
