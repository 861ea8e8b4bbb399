/* Calls, which are requests of callers, their attempts at targets, and the
 * connections that carry the attempts. */
#ifndef JD_PEER_FORWARD_H
#define JD_PEER_FORWARD_H

#include "../node/node.h"

/* Largest number of attempts of one call, each at another node. */
#define JD_ATTEMPTS_MAX 4

/* A connection to another node that carries requests. */
typedef struct JdRequestConn {
    char address[JD_ADDRESS_MAX]; /* as the member announces it */
    char member[JD_NAME_MAX];
    JdConn *conn;
    TAILQ_HEAD(RequestConnAttempts, JdAttempt) attempts; /* unanswered */
    /* Of those, the last ones are not sent: the connection is not open, or
     * the other side takes no bytes. */
    unsigned unsent;
    unsigned outstanding;  /* number of unanswered attempts */
    uint64_t opened_at;    /* time of dialing */
    uint64_t last_used_at; /* time of the last request, or of dialing */
    uint64_t last_pinged_at;
    /* The other node does not answer: the connection waits for the answers to
     * what was sent, and carries nothing else. */
    bool is_silent;
    /* Was dialed after such a silence: carries nothing until the other node
     * has answered a ping, as its kernel accepts connections without it. */
    bool is_probe;
    /* The other node is about to end: the connection is closed when all that
     * was sent on it is answered. */
    bool is_finishing;
} JdRequestConn;

/* A large response of which not all parts have arrived. */
typedef struct JdPartial {
    Jd__Response *head; /* NULL: nothing has arrived */
    JdBody *body;
    uint64_t total; /* length of the whole body */
} JdPartial;

/* One attempt to have a call answered by a target. */
typedef struct JdAttempt {
    TAILQ_ENTRY(JdAttempt) conn_link;
    struct JdCall *call;
    uint64_t id;    /* on the wire; unique among the attempts of this node */
    bool is_active; /* under way: may still be answered */
    bool is_sent;   /* false: waits for its connection */
    bool is_retry;  /* an earlier attempt may have reached a target */
    unsigned rate_limit; /* known limit of the target, see Jd__Request */
    uint64_t sent_at;
    uint64_t target_started; /* process that it is sent to, 0: unknown */
    uint64_t incarnation;    /* of the node that it is sent to */
    JdTier tier;
    JdPartial partial;
    bool is_old_version; /* of the target, where a roll-out is under way */
    JdRequestConn *request_conn; /* NULL: at the local target, or over */
} JdAttempt;

/* A request of a caller, from its arrival to its answer. */
struct JdCall {
    TAILQ_ENTRY(JdCall) link;
    JdNode *node;
    JdServerRequest *req; /* NULL: the caller closed its connection */
    JdConfig *config;
    JdRoute route;
    Jd__Request *msg; /* owned; points to `body` */
    JdBody *body;     /* shared with the attempts that are being sent */
    JdLazyFingerprint fingerprint;
    uint64_t arrived_at;
    uint64_t deadline;
    /* All attempts, in the order in which they began. */
    JdAttempt attempts[JD_ATTEMPTS_MAX];
    char target_ids[JD_ATTEMPTS_MAX][JD_NAME_MAX]; /* node of each attempt */
    unsigned attempt_count;
    unsigned active_count; /* attempts under way */
    /* Failed attempts that may have reached their target. */
    unsigned failed_sent_count;
    /* Failed attempts whose target lacked the capacity. */
    unsigned full_count;
    bool has_token;           /* of its client account, for its run */
    JdRequestVersion version; /* of targets that it may be sent to */
    bool may_have_run;        /* a target may have run the request */
    JdReason last_reason;     /* why the last attempt failed */
    unsigned retry_after_ms;  /* shortest of all failures, 0: none */
    JdTimer deadline_timer;
    JdTimer hedge_timer; /* starts another attempt beside the one under way */
    JdTimer retry_timer; /* starts a retry after a broken connection */
};

/* Why an attempt ended without an answer. */
typedef struct JdAttemptFailure {
    JdReason reason;
    bool was_sent; /* the target may have got the request */
    JdLoadReport report;
    /* Time after which the target may accept the request, 0: unknown. */
    unsigned retry_after_ms;
} JdAttemptFailure;

/* request_conn.c */
void JdRequestConn_Init(JdNode *nd);
JdRequestConn *JdRequestConn_Get(JdNode *nd, const JdMember *mb,
                                 bool needs_fresh);
void JdRequestConn_AddAttempt(JdRequestConn *rconn, JdAttempt *att);
void JdRequestConn_RemoveAttempt(JdAttempt *att);
void JdRequestConn_CheckAll(JdNode *nd);

/* forward.c */
void JdForward_Begin(JdCall *call);
const char *JdForward_TargetId(const JdAttempt *att);
void JdForward_SendAttempt(JdAttempt *att);
void JdForward_SendCancel(JdAttempt *att);
void JdForward_AttemptAnswered(JdAttempt *att, const Jd__Response *msg,
                               JdBody *body);
void JdForward_AttemptFailed(JdAttempt *att, const JdAttemptFailure *failure);
void JdForward_CallerDisconnected(JdCall *call);
void JdForward_Hedge(JdCall *call);

/* answer.c */
void JdAnswer_OnChunk(JdNode *nd, Jd__Chunk *chunk);

/* partial.c */
bool JdPartial_Add(JdPartial *pt, JdMemory *mm, Jd__Chunk *chunk);
bool JdPartial_IsWhole(const JdPartial *pt);
Jd__Response *JdPartial_Take(JdPartial *pt, JdBody **body);
void JdPartial_Clear(JdPartial *pt);

/* retry.c */
bool JdRetry_HasAttemptsLeft(const JdCall *call);
bool JdRetry_CrashesTargets(JdCall *call);
bool JdRetry_MayCrashTargets(JdCall *call);
bool JdRetry_Take(JdCall *call, JdReason reason, bool was_sent);
void JdRetry_RecordCall(JdNode *nd, const JdRoute *route);

/* pick.c */
void JdPick_Init(JdNode *nd);
bool JdPick_ExpectsChunks(const JdCall *call);
bool JdPick_HasReadyTarget(JdNode *nd, const JdRoute *route);
JdMember *JdPick_Target(JdCall *call, JdTier *tier);
uint64_t JdPick_HedgeDelay(const JdCall *call);

/* capacity.c */
void JdCapacity_Init(JdNode *nd);
JdMember *JdCapacity_PickTarget(JdCall *call, const JdVersionFilter *versions,
                                JdTier *tier);
bool JdCapacity_HasTimeFor(const JdCall *call, const JdMember *mb);
void JdCapacity_Promise(JdCall *call);

/* lost.c */
bool JdLostAttempt_IsFinal(const JdAttempt *att);
void JdLostAttempt_Add(const JdAttempt *att);

/* ../caller/reply.c: answers to callers */
void JdReply_Refuse(JdNode *nd, JdServerRequest *req, JdReason reason,
                    unsigned retry_after_ms);
void JdReply_Answer(JdNode *nd, JdServerRequest *req, uint64_t version,
                    const Jd__Response *msg, JdBody *body);

#endif
