/* Calls on their way, and the connections that carry them. */
#ifndef JD_PEER_FORWARD_H
#define JD_PEER_FORWARD_H

#include "../node/node.h"

/* A connection to another node that carries requests. */
typedef struct JdLane {
    char address[JD_ADDRESS_MAX]; /* as members announce it */
    JdConn *conn;
    TAILQ_HEAD(LaneCalls, JdCall) calls;
    unsigned outstanding;
    uint64_t used;
    uint64_t pinged;
} JdLane;

struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    TAILQ_ENTRY(JdCall) lane_link;
    JdNode *node;
    uint64_t id;
    h2o_req_t *req;       /* NULL: the caller left */
    struct JdCall **gone; /* cleared when the call ends first */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned */
    uint64_t deadline;
    uint64_t sent_at;
    unsigned tries;
    char target[JD_NAME_MAX];
    JdTier tier;
    JdLane *lane; /* NULL: the target beside this node */
    JdTimer timer;
    JdTimer patience; /* ends a try of idempotent work */
};

/* lane.c */
void JdLane_Init(JdNode *nd);
JdLane *JdLane_Get(JdNode *nd, const JdMember *mb, bool needs_proof);
void JdLane_Enter(JdLane *lane, JdCall *call);
void JdLane_Leave(JdCall *call);
void JdLane_Tend(JdNode *nd);

/* forward.c */
void JdForward_TryAgain(JdCall *call, JdReason reason, unsigned load);
void JdForward_Begin(JdCall *call, uint64_t timeout);
void JdForward_OnRequestGone(void *data);
void JdForward_ReplyRefusal(JdNode *nd, h2o_req_t *req, JdReason reason);

#endif
