/* Calls on their way, their tries, and the connections that carry them. */
#ifndef JD_PEER_FORWARD_H
#define JD_PEER_FORWARD_H

#include "../node/node.h"

/* Nodes that one request is passed to at the most. */
#define JD_ATTEMPTS_MAX 4

/* A connection to another node that carries requests. */
typedef struct JdRequestConn {
    char address[JD_ADDRESS_MAX]; /* as members announce it */
    JdConn *conn;
    TAILQ_HEAD(LaneTries, JdAttempt) attempts;
    unsigned outstanding;
    uint64_t last_used_at;
    uint64_t last_pinged_at;
} JdRequestConn;

/* One try of a call at the node of a target. */
typedef struct JdAttempt {
    TAILQ_ENTRY(JdAttempt) conn_link;
    struct JdCall *call;
    uint64_t id; /* on the wire; an answer to another try has another */
    bool is_active;
    uint64_t sent_at;
    JdTier tier;
    JdRequestConn *request_conn; /* NULL: the target beside this node */
} JdAttempt;

/* A request of a caller, from its arrival to its answer. */
struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    JdNode *node;
    JdServerRequest *req; /* NULL: the caller left */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned */
    uint64_t started_at;
    uint64_t deadline;
    JdAttempt attempts[JD_ATTEMPTS_MAX];
    char target_ids[JD_ATTEMPTS_MAX][JD_NAME_MAX]; /* node of each try */
    unsigned attempt_count;
    unsigned active_count; /* tries that may still be answered */
    unsigned sent_count;   /* targets that may have got it, so far as known */
    unsigned full_count;   /* targets that had no room */
    bool may_have_run;     /* a target may have run it */
    JdReason last_reason;  /* why the last try failed */
    unsigned retry_after_ms; /* ms, the least that a refusal told, 0: none */
    JdTimer deadline_timer;
    JdTimer hedge_timer; /* starts a second try of idempotent work */
};

/* How a try ended without an answer. */
typedef struct JdAttemptFailure {
    JdReason reason;
    bool was_sent; /* the target may have got the request */
    JdLoadReport report;
    unsigned
        retry_after_ms; /* ms until the target would take it, 0: unknown */
} JdAttemptFailure;

/* lane.c */
void JdRequestConn_Init(JdNode *nd);
JdRequestConn *JdRequestConn_Get(JdNode *nd, const JdMember *mb,
                                 bool needs_proof);
void JdRequestConn_AddAttempt(JdRequestConn *lane, JdAttempt *tr);
void JdRequestConn_RemoveAttempt(JdAttempt *tr);
void JdRequestConn_CheckAll(JdNode *nd);

/* forward.c */
void JdForward_Begin(JdCall *call);
void JdForward_AttemptFailed(JdAttempt *tr, const JdAttemptFailure *why);
void JdForward_CallerDisconnected(JdCall *call);

/* ../caller/reply.c: answers to callers */
void JdReply_Refuse(JdNode *nd, JdServerRequest *req, JdReason reason,
                    unsigned retry_after);
void JdReply_Answer(JdNode *nd, JdServerRequest *req, uint64_t version,
                    const Jd__Response *msg);

#endif
