/* Messages with the request of a caller, whose body is shared. */
#include "../node/node.h"

/* Makes a message point to a body, which must live as long as it does. */
void
JdRequest_SetBody(Jd__Request *msg, const JdBody *body)
{
    msg->body.data = body->data;
    msg->body.len = body->len;
}

/* Copies a message, but for its body. */
Jd__Request *
JdRequest_Copy(const Jd__Request *msg, const JdBody *body)
{
    Jd__Request head = *msg;
    Jd__Request *copy;
    uint8_t *buf;
    size_t n;

    head.body.data = NULL;
    head.body.len = 0;
    n = jd__request__get_packed_size(&head);
    buf = g_malloc(n);
    jd__request__pack(&head, buf);
    copy = jd__request__unpack(NULL, n, buf);
    g_free(buf);
    JdRequest_SetBody(copy, body);
    return copy;
}

/* Frees a message and releases its body. */
void
JdRequest_Free(Jd__Request *msg, JdBody *body)
{
    msg->body.data = NULL;
    msg->body.len = 0;
    jd__request__free_unpacked(msg, NULL);
    JdBody_Unref(body);
}
