/* The HTTP server that accepts the requests of callers. */
#include "../peer/forward.h"

static void
on_request(void *ctx, JdServerRequest *req)
{
    JdIntake_OnRequest(ctx, req);
}

/* A caller disconnected before its answer: ends its request, which waits for
 * this node to be ready or for a token, or is a call. */
static void
on_caller_disconnected(void *ctx, JdServerRequest *req)
{
    if (!JdWaitingRequest_CallerDisconnected(ctx, req) &&
        !JdQuotaRequest_CallerDisconnected(ctx, req)) {
        JdForward_CallerDisconnected(req->user_data);
    }
}

/* Refuses a request that has not arrived as a whole. */
static void
reject(void *ctx, JdServerRequest *req, JdServerRejection why)
{
    JdNode *nd = ctx;

    switch (why) {
    case JD_SERVER_NO_ROOM:
        JdIntake_Reject(nd, req, JD_REASON_NO_MEMORY);
        break;
    case JD_SERVER_TOO_SLOW:
        JdIntake_Reject(nd, req, JD_REASON_NOT_RECEIVED);
        break;
    case JD_SERVER_TOO_LARGE:
        JdServer_Reply(req, 413, NULL, NULL, 0);
        break;
    default:
        JdServer_Reply(req, 400, NULL, NULL, 0);
        break;
    }
}

static uint64_t
time_limit(void *ctx, const JdServerRequest *req)
{
    return JdIntake_TimeLimit(ctx, req);
}

static void
on_shed(void *ctx, JdServerShed what)
{
    static const struct {
        JdCounter counter;
        const char *outcome;
    } table[JD_SERVER_SHED_MAX] = {
        [JD_SERVER_SHED_IDLE] = {JD_C_SHED_IDLE, "idle"},
        [JD_SERVER_SHED_UNFINISHED] = {JD_C_SHED_UNFINISHED, "unfinished"},
        [JD_SERVER_SHED_STALLED] = {JD_C_SHED_STALLED, "stalled"},
        [JD_SERVER_SHED_FOLLOWING] = {JD_C_SHED_FOLLOWING, "following"},
    };
    JdNode *nd = ctx;

    nd->counters.value[table[what].counter]++;
    JdLimits_LogShortage(nd, table[what].outcome);
}

static const JdServerOps server_ops = {.request = on_request,
                                       .disconnected = on_caller_disconnected,
                                       .reject = reject,
                                       .time_limit = time_limit,
                                       .shed = on_shed};

/* Starts the server on the address for callers. */
JdStatus
JdCallerServer_Init(JdNode *nd, JdError *err)
{
    JdStatus s;

    TAILQ_INIT(&nd->waiting);
    nd->started_at = JdClock_Now(&nd->loop.clock);
    s = JdServer_Init(&nd->caller_server, &nd->loop,
                      nd->settings.caller_address, nd->settings.max_body_bytes,
                      &server_ops, nd, err);
    JdServer_SetMemory(&nd->caller_server, &nd->memory);
    return s;
}
