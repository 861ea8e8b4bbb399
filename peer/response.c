/* Sends the responses of the local target to the nodes that asked for them. */
#include "../node/node.h"

static void
on_response(void *ctx, JdConn *origin, Jd__Response *msg, JdBody *body)
{
    Jd__Frame frame = JD__FRAME__INIT;
    JdNode *nd = ctx;

    if (origin == NULL) {
        JdAnswer_OnResponse(nd, msg, body);
        return;
    }
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_RESPONSE;
    frame.response = msg;
    JdConn_SendBody(origin, &frame, body);
}

static void
on_large_response(void *ctx, JdConn *origin, const Jd__Response *msg,
                  JdBody *body, const JdBulkTimes *times)
{
    JdBulk_Respond(ctx, origin, msg, body, times);
}

static const JdResponseOps response_ops = {on_response, on_large_response};

/* Makes the local target's responses go to calls and to other nodes. */
void
JdResponse_Init(JdNode *nd)
{
    nd->response_ops = &response_ops;
    nd->response_ctx = nd;
    JdBulk_Init(nd);
}
