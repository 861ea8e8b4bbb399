/* Responds to callers: relays the answer of a target, or refuses a request. */
#include <string.h>

#include "../peer/forward.h"

/* Adds a Retry-After header, in whole seconds where fractions are not allowed;
 * 0 adds none. */
static void
add_retry_after(const JdNode *nd, GString *head, unsigned ms)
{
    if (ms == 0) {
        return;
    }
    if (nd->dialect->has_fractional_retry_after) {
        g_string_append_printf(head, "retry-after: %u.%03u\r\n", ms / 1000,
                               ms % 1000);
    }
    else {
        g_string_append_printf(head, "retry-after: %u\r\n", (ms + 999) / 1000);
    }
}

/*
 * Tells a caller that its request was refused or abandoned, and why.
 * `retry_after_ms` is 0 when another request would not help.
 */
void
JdReply_Refuse(JdNode *nd, JdServerRequest *req, JdReason reason,
               unsigned retry_after_ms)
{
    const JdReasonInfo *info = JdReason_Info(reason);
    GString *head = g_string_new("content-type: application/json\r\n");
    char body[JD_TEXT_MAX];

    if (nd->dialect->reports_outcome) {
        /* This node has already retried as often as is useful; retries at
         * every hop of a call chain would multiply. */
        g_string_append_printf(
            head, "x-outcome: %s\r\nx-reason: %s\r\nx-retry: no\r\n",
            info->is_not_executed ? "not-run" : "unknown", info->name);
    }
    add_retry_after(nd, head, retry_after_ms);
    g_snprintf(body, sizeof(body),
               "{\"refused\": \"%s\", \"not_run\": %s, \"node\": \"%s\"}",
               info->name, info->is_not_executed ? "true" : "false",
               nd->settings.node);
    JdServer_Reply(req, info->http_status, head->str, body, strlen(body));
    g_string_free(head, TRUE);
}

/* Relays a target's answer; `body` is its body, or NULL where the message has
 * a small one.  `version` is the configuration version by which the request
 * was routed. */
void
JdReply_Answer(JdNode *nd, JdServerRequest *req, uint64_t version,
               const Jd__Response *msg, JdBody *body)
{
    GString *head;

    if (body == NULL && !JdServer_HasRoom(&nd->caller_server, msg->body.len)) {
        nd->counters.value[JD_C_REFUSED_NO_MEMORY]++;
        JdLimits_LogShortage(nd, "answer");
        JdReply_Refuse(nd, req, JD_REASON_BROKEN, 0);
        return;
    }
    head = g_string_new(NULL);
    for (size_t i = 0; i < msg->n_header; i++) {
        const Jd__Header *h = msg->header[i];

        g_string_append_printf(head, "%s: %.*s\r\n", h->name,
                               (int)h->value.len, (const char *)h->value.data);
    }
    if (nd->dialect->reports_outcome) {
        g_string_append_printf(head,
                               "x-outcome: ran\r\n"
                               "x-config-version: %" G_GUINT64_FORMAT "\r\n",
                               version);
    }
    if (body != NULL) {
        JdServer_ReplyBody(req, (int)msg->status, head->str, body);
    }
    else {
        JdServer_Reply(req, (int)msg->status, head->str, msg->body.data,
                       msg->body.len);
    }
    g_string_free(head, TRUE);
}
