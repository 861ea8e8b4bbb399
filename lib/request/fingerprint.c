/* Fingerprints of requests, and the requests that a target has answered
 * lately.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time for which an answer shows that a request does not crash the target. */
#define ANSWER_RETENTION (10 * JD_US_PER_S)

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

/* Computes the fingerprint of a request. */
void
JdFingerprint_OfRequest(JdFingerprint *fp, const Jd__Request *msg)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[32];
    gsize n = sizeof(digest);

    add_text(sum, msg->method);
    add_text(sum, msg->host);
    add_text(sum, msg->path);
    add_part(sum, msg->body.data, msg->body.len);
    g_checksum_get_digest(sum, digest, &n);
    memcpy(fp->word, digest, sizeof(fp->word));
    fp->caller = _Jd_HashText(msg->caller_service, 0);
    g_checksum_free(sum);
}

/* Returns the fingerprint of a request, which must always be the same one. */
const JdFingerprint *
JdLazyFingerprint_Get(JdLazyFingerprint *lazy, const Jd__Request *msg)
{
    if (!lazy->is_known) {
        JdFingerprint_OfRequest(&lazy->fingerprint, msg);
        lazy->is_known = true;
    }
    return &lazy->fingerprint;
}

/* Returns whether two requests are copies of one another. */
bool
JdFingerprint_IsCopy(const JdFingerprint *a, const JdFingerprint *b)
{
    return a->caller == b->caller &&
           memcmp(a->word, b->word, sizeof(a->word)) == 0;
}

/* Formats the words of a fingerprint as 32 hexadecimal digits. */
void
JdFingerprint_Format(const JdFingerprint *fp,
                     char out[JD_FINGERPRINT_TEXT_MAX])
{
    snprintf(out, JD_FINGERPRINT_TEXT_MAX, "%016" PRIx64 "%016" PRIx64,
             fp->word[0], fp->word[1]);
}

/* Remembers that the target has answered a request. */
void
JdAnsweredRequests_Add(JdAnsweredRequests *ar, const JdFingerprint *fp,
                       uint64_t now)
{
    size_t i = fp->word[0] % JD_ANSWERED_MAX;

    ar->place[i].request = *fp;
    ar->place[i].at = now;
}

/* Returns whether the target has answered a request lately. */
bool
JdAnsweredRequests_Has(const JdAnsweredRequests *ar, const JdFingerprint *fp,
                       uint64_t now)
{
    size_t i = fp->word[0] % JD_ANSWERED_MAX;

    return ar->place[i].at != 0 && now - ar->place[i].at < ANSWER_RETENTION &&
           JdFingerprint_IsCopy(&ar->place[i].request, fp);
}
