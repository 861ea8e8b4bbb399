/* Callers: the HTTP server that takes their requests. */
#include "../node/node.h"

static void
on_request(void *ctx, h2o_req_t *req)
{
    JdIntake_Start(ctx, req);
}

/* Takes requests of callers. */
JdStatus
JdFront_Init(JdNode *nd, JdError *err)
{
    return JdHttpd_Init(&nd->caller, &nd->loop, nd->settings.caller_address,
                        nd->settings.body_most, on_request, nd, err);
}
