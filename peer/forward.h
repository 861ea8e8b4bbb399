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

/* Nodes that one request is passed to at the most. */
#define JD_TRIES_MAX 4

struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    TAILQ_ENTRY(JdCall) lane_link;
    JdNode *node;
    uint64_t id;
    JdServerRequest *req; /* NULL: the caller left */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned */
    uint64_t started;
    uint64_t deadline;
    uint64_t sent_at;
    unsigned tries;           /* nodes that it was passed to */
    unsigned sends;           /* targets that may have got it */
    bool has_run;             /* a target may have run it */
    JdReason reason;          /* why the last try failed */
    unsigned retry_after;     /* ms, the least that a refusal told, 0: none */
    char target[JD_NAME_MAX]; /* node of the present try */
    char avoid[JD_TRIES_MAX][JD_NAME_MAX]; /* nodes of earlier tries */
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
/* How a try ended without an answer. */
typedef struct JdFailure {
    JdReason reason;
    bool was_sent;        /* the target may have got the request */
    unsigned load;        /* of the target, in percent of its slots */
    unsigned retry_after; /* ms until the target would take it, 0: unknown */
} JdFailure;

void JdForward_TryAgain(JdCall *call, const JdFailure *why);
void JdForward_Begin(JdCall *call, uint64_t timeout);
void JdForward_CallerLeft(JdCall *call);
void JdForward_ReplyRefusal(JdNode *nd, JdServerRequest *req, JdReason reason,
                            unsigned retry_after);

#endif
