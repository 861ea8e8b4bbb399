/* Calls on their way, their tries, and the connections that carry them. */
#ifndef JD_PEER_FORWARD_H
#define JD_PEER_FORWARD_H

#include "../node/node.h"

/* Nodes that one request is passed to at the most. */
#define JD_TRIES_MAX 4

/* A connection to another node that carries requests. */
typedef struct JdLane {
    char address[JD_ADDRESS_MAX]; /* as members announce it */
    JdConn *conn;
    TAILQ_HEAD(LaneTries, JdTry) tries;
    unsigned outstanding;
    uint64_t used;
    uint64_t pinged;
} JdLane;

/* One try of a call at the node of a target. */
typedef struct JdTry {
    TAILQ_ENTRY(JdTry) lane_link;
    struct JdCall *call;
    uint64_t id; /* on the wire; an answer to another try has another */
    bool is_active;
    uint64_t sent_at;
    JdTier tier;
    JdLane *lane; /* NULL: the target beside this node */
} JdTry;

/* A request of a caller, from its arrival to its answer. */
struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    JdNode *node;
    JdServerRequest *req; /* NULL: the caller left */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned */
    uint64_t started;
    uint64_t deadline;
    JdTry tries[JD_TRIES_MAX];
    char target[JD_TRIES_MAX][JD_NAME_MAX]; /* node of each try */
    unsigned try_count;
    unsigned active;      /* tries that may still be answered */
    unsigned sends;       /* targets that may have got it, so far as known */
    unsigned full;        /* targets that had no room */
    bool has_run;         /* a target may have run it */
    JdReason reason;      /* why the last try failed */
    unsigned retry_after; /* ms, the least that a refusal told, 0: none */
    JdTimer timer;
    JdTimer patience; /* starts a second try of idempotent work */
};

/* How a try ended without an answer. */
typedef struct JdFailure {
    JdReason reason;
    bool was_sent; /* the target may have got the request */
    JdLoadReport report;
    unsigned retry_after; /* ms until the target would take it, 0: unknown */
} JdFailure;

/* lane.c */
void JdLane_Init(JdNode *nd);
JdLane *JdLane_Get(JdNode *nd, const JdMember *mb, bool needs_proof);
void JdLane_Enter(JdLane *lane, JdTry *tr);
void JdLane_Leave(JdTry *tr);
void JdLane_Tend(JdNode *nd);

/* forward.c */
void JdForward_Begin(JdCall *call);
void JdForward_TryFailed(JdTry *tr, const JdFailure *why);
void JdForward_CallerLeft(JdCall *call);

/* ../caller/reply.c: answers to callers */
void JdReply_Refuse(JdNode *nd, JdServerRequest *req, JdReason reason,
                    unsigned retry_after);
void JdReply_Answer(JdNode *nd, JdServerRequest *req, uint64_t version,
                    const Jd__Response *msg);

#endif
