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

static const JdServerOps server_ops = {on_request, on_caller_disconnected};

/* Starts the server on the address for callers. */
JdStatus
JdCallerServer_Init(JdNode *nd, JdError *err)
{
    TAILQ_INIT(&nd->waiting);
    nd->started_at = JdClock_Now(&nd->loop.clock);
    return JdServer_Init(&nd->caller_server, &nd->loop,
                         nd->settings.caller_address,
                         nd->settings.max_body_bytes, &server_ops, nd, err);
}
