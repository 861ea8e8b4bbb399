/* Requests that wait for a token of their client account. */
#include "../peer/forward.h"

struct JdQuotaRequest {
    TAILQ_ENTRY(JdQuotaRequest) link;
    JdNode *node;
    JdServerRequest *req;
    uint64_t arrived_at;
    JdQuotaWait wait;
};

static void
free_request(JdQuotaRequest *qr)
{
    TAILQ_REMOVE(&qr->node->quota_requests, qr, link);
    qr->node->quota_request_count--;
    g_free(qr);
}

static void
on_done(void *ctx, JdQuotaResult result, uint64_t retry_after)
{
    JdQuotaRequest *qr = ctx;
    JdServerRequest *req = qr->req;
    uint64_t arrived_at = qr->arrived_at;
    JdNode *nd = qr->node;

    /* Freed first: the answer may close the connection. */
    free_request(qr);
    JdIntake_Resume(nd, req, arrived_at, result == JD_QUOTA_TAKEN,
                    (unsigned)(retry_after / JD_US_PER_MS));
}

/*
 * Takes a token for a request.  With JD_QUOTA_WAITING, JdIntake_Resume
 * follows, unless the caller disconnects.
 */
JdQuotaResult
JdQuotaRequest_Take(JdNode *nd, JdServerRequest *req, const JdAccount *account,
                    uint64_t arrived_at, unsigned *retry_after_ms)
{
    JdQuotaRequest *qr = g_new0(JdQuotaRequest, 1);
    uint64_t retry_after = 0;
    JdQuotaResult result;

    qr->node = nd;
    qr->req = req;
    qr->arrived_at = arrived_at;
    qr->wait.done = on_done;
    qr->wait.ctx = qr;
    TAILQ_INSERT_TAIL(&nd->quota_requests, qr, link);
    nd->quota_request_count++;
    result = JdQuota_Take(&nd->quota, account, &qr->wait, &retry_after);
    if (result != JD_QUOTA_WAITING) {
        free_request(qr);
    }
    *retry_after_ms = (unsigned)(retry_after / JD_US_PER_MS);
    return result;
}

/* Removes the waiting request of a caller that has disconnected.  Returns
 * false when the request is not waiting. */
bool
JdQuotaRequest_CallerDisconnected(JdNode *nd, const JdServerRequest *req)
{
    JdQuotaRequest *qr;

    TAILQ_FOREACH(qr, &nd->quota_requests, link)
    {
        if (qr->req == req) {
            nd->counters.value[JD_C_REFUSED_CANCELLED]++;
            JdQuota_Cancel(&nd->quota, &qr->wait);
            free_request(qr);
            return true;
        }
    }
    return false;
}
