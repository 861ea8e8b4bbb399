/* Callers: the HTTP server that takes their requests. */
#include "../peer/forward.h"

static void
on_request(void *ctx, JdServerRequest *req)
{
    JdIntake_Start(ctx, req);
}

static void
on_gone(void *ctx, JdServerRequest *req)
{
    if (!JdWaiting_CallerLeft(ctx, req)) {
        JdForward_CallerLeft(req->user_data);
    }
}

static const JdServerOps ops = {on_request, on_gone};

/* Takes requests of callers. */
JdStatus
JdFront_Init(JdNode *nd, JdError *err)
{
    TAILQ_INIT(&nd->waiting);
    nd->started_at = JdClock_Now(&nd->loop.clock);
    return JdServer_Init(&nd->caller, &nd->loop, nd->settings.caller_address,
                         nd->settings.body_most, &ops, nd, err);
}
