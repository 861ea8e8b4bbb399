/*
 * What the local target says of itself in its answers: the rate of requests
 * that it takes from all nodes together, and that it is leaving.
 */
#include <string.h>

#include "../node/node.h"

/* Misdirected Request: another process than the expected one answers. */
#define STATUS_MISDIRECTED 421
#define HTTP_ERROR_MIN 400

static const JdHttpHeader *
find_notice(const JdNode *nd, const JdHttpResponse *ans, JdNotice notice)
{
    for (int i = 0; i < JD_NOTICE_NAMES_MAX; i++) {
        const char *name = nd->dialect->notice[notice][i];
        const JdHttpHeader *h =
            name == NULL ? NULL : JdHttpResponse_FindHeader(ans, name);

        if (h != NULL) {
            return h;
        }
    }
    return NULL;
}

/* Reads the rate limit that an answer names, 0 for none.  Returns false if the
 * answer does not tell: the limit cannot be read, or an error names none,
 * which the target may make before it knows of its limit. */
static bool
read_rate_limit(JdNode *nd, const JdHttpResponse *ans, unsigned *rate)
{
    const JdHttpHeader *h = find_notice(nd, ans, JD_NOTICE_RATE_LIMIT);

    *rate = 0;
    if (h == NULL) {
        return ans->status < HTTP_ERROR_MIN;
    }
    if (JdRateLimit_Parse(h->value, h->value_len, rate) != JD_OK) {
        nd->counters.value[JD_C_RATE_LIMITS_BAD]++;
        return false;
    }
    return true;
}

/* Returns whether the target says in an answer that it leaves. */
bool
JdTargetNotice_SaysLeaving(const JdNode *nd, const JdHttpResponse *ans)
{
    const JdHttpHeader *h = find_notice(nd, ans, JD_NOTICE_LEAVING);

    return h != NULL && h->value_len == 1 && h->value[0] == '1';
}

static void
log_notice(const JdNode *nd, const char *outcome)
{
    const JdTarget *tg = &nd->target_process;

    JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", outcome),
           JD_TEXT("target", tg->id), JD_NUMBER("started", tg->started),
           JD_NUMBER("per_1000_s", tg->rate_limit),
           JD_NUMBER("sent_limited", nd->counters.value[JD_C_SENT_LIMITED]),
           JD_NUMBER("running", nd->admit.running),
           JD_NUMBER("queued", nd->admit.queued));
}

/* A request is sent to the target. */
void
JdTargetNotice_OnSend(JdNode *nd)
{
    nd->counters.value[JD_C_SENT_LIMITED] += nd->target_process.rate_limit > 0;
    nd->counters.value[JD_C_SENT_LEAVING] += nd->target_process.is_draining;
}

/* A request arrives whose sender may know the target's rate limit. */
void
JdTargetNotice_OnRequest(JdNode *nd, const Jd__Request *msg)
{
    JdTarget *tg = &nd->target_process;

    if (JdTarget_AdoptRateLimit(tg, msg->target_started, msg->rate_limit)) {
        JdAdmission_SetRateLimit(&nd->admit, tg->rate_limit);
        log_notice(nd, "rate-limit-adopted");
    }
}

/* The end of a request at the target that was sent at the time `sent_at`.
 * `started` names the process that it was sent to; an answer of an earlier
 * process, or of another one at the same address, says nothing of the present
 * one. */
void
JdTargetNotice_OnResponse(JdNode *nd, uint64_t started, uint64_t sent_at,
                          const JdHttpResponse *ans)
{
    JdTarget *tg = &nd->target_process;
    unsigned rate;

    if (ans->result != JD_HTTP_COMPLETED ||
        ans->status == STATUS_MISDIRECTED || started != tg->started) {
        return;
    }
    if (read_rate_limit(nd, ans, &rate) &&
        JdTarget_SetRateLimit(tg, rate, sent_at)) {
        JdAdmission_SetRateLimit(&nd->admit, rate);
        nd->counters.value[JD_C_RATE_LIMITS_NAMED]++;
        log_notice(nd, "rate-limit");
    }
    if (JdTargetNotice_SaysLeaving(nd, ans) && JdTarget_SetLeaving(tg)) {
        log_notice(nd, "leaving");
        JdTargetHealth_OnLeaving(nd);
    }
}
