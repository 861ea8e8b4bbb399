/* Requests at the local target; shared by worker.c and suspect.c. */
#ifndef JD_TARGETS_WORK_ITEM_H
#define JD_TARGETS_WORK_ITEM_H

#include "../node/node.h"

/* One request at the target's node, from admission to its response. */
struct JdWorkItem {
    TAILQ_ENTRY(JdWorkItem) link;
    JdWork work; /* admission's view of this request */
    JdNode *node;
    Jd__Request *msg; /* points to `body` */
    JdBody *body;
    JdConn *origin; /* NULL: the caller is connected to this node */
    JdHttpCall *call;
    JdLinkClaim link_claim; /* room that is kept for its response */
    JdClaim claim;   /* of the idempotency key, if the route requires one */
    JdReason reason; /* of a refusal that is sent later */
    JdTimer timer;   /* on_not_sent or on_grace_over */
    JdLazyFingerprint fingerprint;
    uint64_t submitted_at;
    uint64_t target_started; /* process that it was sent to, 0: unknown */
    bool was_sent;           /* the target may have received it */
    bool is_orphan;          /* nobody waits for the response any more */
    /* Broken off; the response waits until it is known whether the target has
     * crashed. */
    bool is_checking;
};

/* worker.c */
void JdWorkItem_Free(JdWorkItem *it);

/* room.c */
JdReason JdTargetRoom_Reserve(JdWorkItem *it);
void JdTargetRoom_Release(JdWorkItem *it);
bool JdTargetRoom_Respond(JdWorkItem *it, const Jd__Response *msg,
                          JdBody *body);

/* suspect.c */
void JdWorkItem_RecordEnd(JdWorkItem *it, const JdHttpResponse *ans);
JdReason JdWorkItem_CheckCrashes(JdWorkItem *it);

#endif
