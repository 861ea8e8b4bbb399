/* Headers of requests to the local target and of its responses. */
#include <string.h>

#include "../node/node.h"

/* Returns whether a header of the target's response is passed on. */
bool
JdTargetHeaders_IsRelayed(const JdHttpHeader *h)
{
    static const char *const omitted[] = {
        "connection", "content-length", "transfer-encoding",
        "keep-alive", "server",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(omitted); i++) {
        if (strlen(omitted[i]) == h->name_len &&
            g_ascii_strncasecmp(omitted[i], h->name, h->name_len) == 0) {
            return false;
        }
    }
    return true;
}

static void
append_header(GString *out, const JdDialect *dl, JdHeaderField field,
              const char *value)
{
    if (dl->header[field] != NULL && value[0] != '\0') {
        g_string_append_printf(out, "%s: %s\r\n", dl->header[field], value);
    }
}

/* Returns the headers of a request with this much time left, as lines; to be
 * freed by the caller. */
char *
JdTargetHeaders_Format(const JdNode *nd, const Jd__Request *msg,
                       uint64_t time_left)
{
    GString *out = g_string_new(NULL);
    char ms[24];

    for (size_t i = 0; i < msg->n_header; i++) {
        const Jd__Header *h = msg->header[i];

        g_string_append_printf(out, "%s: %.*s\r\n", h->name, (int)h->value.len,
                               (const char *)h->value.data);
    }
    g_snprintf(ms, sizeof(ms), "%" G_GUINT64_FORMAT, time_left / JD_US_PER_MS);
    append_header(out, nd->dialect, JD_FIELD_REQUEST_ID, msg->request_id);
    append_header(out, nd->dialect, JD_FIELD_TIMEOUT_MS, ms);
    append_header(out, nd->dialect, JD_FIELD_CALLER_SERVICE,
                  msg->caller_service);
    append_header(out, nd->dialect, JD_FIELD_TARGET_ID, nd->target_process.id);
    append_header(out, nd->dialect, JD_FIELD_ACCOUNT, msg->account);
    return g_string_free(out, FALSE);
}
