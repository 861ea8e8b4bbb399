/* Requests under which targets crashed, recognized by their content. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Adds one part of a request with its length, so that no two lists of parts
 * look the same. */
static void
add_part(GChecksum *sum, const void *data, size_t len)
{
    uint64_t n = len;

    g_checksum_update(sum, (const guchar *)&n, sizeof(n));
    if (len > 0) {
        g_checksum_update(sum, data, (gssize)len);
    }
}

static void
add_text(GChecksum *sum, const char *text)
{
    add_part(sum, text, strlen(text));
}

/* Computes the fingerprint of a request: of its method, host, path, body and
 * calling service. */
void
JdFingerprint_OfRequest(JdFingerprint *fp, const Jd__Request *msg)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[32];
    gsize n = sizeof(digest);

    add_text(sum, msg->method);
    add_text(sum, msg->host);
    add_text(sum, msg->path);
    add_text(sum, msg->caller_service);
    add_part(sum, msg->body.data, msg->body.len);
    g_checksum_get_digest(sum, digest, &n);
    memcpy(fp->word, digest, sizeof(fp->word));
    g_checksum_free(sum);
}

/* Formats a fingerprint as 32 hexadecimal digits. */
void
JdFingerprint_Format(const JdFingerprint *fp,
                     char out[JD_FINGERPRINT_TEXT_MAX])
{
    snprintf(out, JD_FINGERPRINT_TEXT_MAX, "%016" PRIx64 "%016" PRIx64,
             fp->word[0], fp->word[1]);
}
