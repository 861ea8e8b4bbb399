/*
 * Requests at the local target under which targets may crash: which of them
 * run beside one another, what their ends say, and the responses that wait
 * until it is known whether the target has crashed.
 */
#include "work_item.h"

/* Records what the end of a request says of the target's process. */
void
JdWorkItem_RecordEnd(JdWorkItem *it, const JdHttpResponse *ans)
{
    JdNode *nd = it->node;

    switch (ans->result) {
    case JD_HTTP_COMPLETED:
        JdTargetCrash_OnAnswer(
            nd, JdLazyFingerprint_Get(&it->fingerprint, it->msg), ans);
        break;
    case JD_HTTP_NOT_SENT:
        JdTargetCrash_Check(nd);
        break;
    case JD_HTTP_DISCONNECTED:
        JdTargetCrash_OnUnanswered(nd, it->msg, it->target_started);
        it->is_checking = true;
        JdTargetCrash_Check(nd);
        break;
    default:
        JdTargetCrash_OnUnanswered(nd, it->msg, it->target_started);
        break;
    }
}

/* Returns whether a target has crashed under the request. */
static bool
may_crash_target(JdWorkItem *it)
{
    return JdCrashTable_Suspects(&it->node->tree.crashes, &it->fingerprint,
                                 it->msg);
}

static bool
is_copy(const JdWorkItem *a, const JdWorkItem *b)
{
    return JdFingerprint_IsCopy(&a->fingerprint.fingerprint,
                                &b->fingerprint.fingerprint);
}

/* Returns another running request under which a target has crashed, or NULL; a
 * copy of this one if there is one. */
static const JdWorkItem *
find_other_suspect(const JdWorkItem *it)
{
    const JdWorkItem *found = NULL;
    JdWorkItem *other;

    TAILQ_FOREACH(other, &it->node->work_items, link)
    {
        if (other == it || other->call == NULL || !may_crash_target(other)) {
            continue;
        }
        if (is_copy(other, it)) {
            return other;
        }
        found = other;
    }
    return found;
}

/*
 * Decides whether a request may run, by the crashes that are known.  Requests
 * under which targets crashed do not run beside one another, as the next crash
 * would not tell which of them is the cause.
 */
JdReason
JdWorkItem_CheckCrashes(JdWorkItem *it)
{
    const JdWorkItem *other;

    if (!may_crash_target(it)) {
        return JD_REASON_NONE;
    }
    if (JdCrashTable_Refuses(&it->node->tree.crashes, &it->fingerprint,
                             it->msg)) {
        return JD_REASON_CRASHES;
    }
    other = find_other_suspect(it);
    if (other == NULL) {
        return JD_REASON_NONE;
    }
    return is_copy(other, it) ? JD_REASON_COPY_RUNS : JD_REASON_ISOLATED;
}

/* Returns a request whose response waits for the check of the target, or NULL.
 */
static JdWorkItem *
find_checking(const JdNode *nd)
{
    JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        if (it->is_checking) {
            return it;
        }
    }
    return NULL;
}

/* Returns the crash that the sender of a request is to record: 0 if the
 * request only ran beside the cause.  If senders recorded all that a crash
 * interrupted, work whose copies are answered would be refused after three
 * crashes. */
static uint64_t
crash_to_tell(JdWorkItem *it, uint64_t process)
{
    const JdFingerprint *fp = JdLazyFingerprint_Get(&it->fingerprint, it->msg);
    bool is_blamed = JdCrashTable_Blames(&it->node->tree.crashes, fp, process);

    return is_blamed ? process : 0;
}

/* It is known whether the target has crashed: 0, or the process that has.
 * Sends the responses that waited for it. */
void
JdWorker_OnTargetChecked(JdNode *nd, uint64_t crashed_process)
{
    JdWorkItem *it;

    while ((it = find_checking(nd)) != NULL) {
        JdTargetRefusal refusal = {JD_REASON_BROKEN, true,
                                   crash_to_tell(it, crashed_process)};

        it->is_checking = false;
        JdTargetResponse_Refuse(nd, it->msg, it->origin, &refusal);
        JdWorkItem_Free(it);
    }
}

/* Records the requests that the target is running as unanswered. */
void
JdWorker_RecordUnanswered(JdNode *nd)
{
    const JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        if (it->call != NULL) {
            JdTargetCrash_OnUnanswered(nd, it->msg, it->target_started);
        }
    }
}
