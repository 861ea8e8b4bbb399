/*
 * State of a node.  One node runs beside each target: it proxies requests to
 * and from that target and takes part in the tree that distributes the
 * configuration.
 */
#ifndef JD_NODE_H
#define JD_NODE_H

#include <sys/types.h>
#include <time.h>

#include <glib.h>

#include "../base/base.h"
#include "../peer/conn.h"
#include "dialect.h"
#include "source.h"
#include "../log/log.h"

/* Sizes of text settings, including the NUL. */
#define JD_TRANSLATION_RULES_MAX 512
#define JD_PLATFORM_BOUNDS_MAX 1024

/* Settings of the adapter that connects the node to the users' platform. */
typedef struct JdPlatformSettings {
    char store_address[JD_ADDRESS_MAX]; /* empty: no adapter is used */
    char ready_address[JD_ADDRESS_MAX];
    char control_address[JD_ADDRESS_MAX];
    /* "name=value,..." as the platform gives it */
    char bounds[JD_PLATFORM_BOUNDS_MAX];
} JdPlatformSettings;

/* Settings of a node after validation. */
typedef struct JdSettings {
    char node[JD_NAME_MAX];
    char region[JD_NAME_MAX];
    char failure_domain[JD_NAME_MAX];
    char peer_address[JD_ADDRESS_MAX];
    char caller_address[JD_ADDRESS_MAX];
    char admin_address[JD_ADDRESS_MAX];
    char log_address[JD_ADDRESS_MAX];
    char log_region[JD_NAME_MAX];
    char target_address[JD_ADDRESS_MAX];
    char service[JD_NAME_MAX];
    char endpoint_set[JD_NAME_MAX];
    /* Address translation between regions, see JdAddress_Translate. */
    char translation_rules[JD_TRANSLATION_RULES_MAX];
    JdPreset preset;
    /* Requests in progress at the target; heartbeats change the number. */
    uint64_t slots;
    uint64_t max_connections; /* to the target */
    uint64_t max_queued;      /* requests that wait for a slot */
    uint64_t health_interval_ms;
    uint64_t linger_ms; /* first part of a drain, still accepts requests */
    uint64_t drain_deadline_ms;
    uint64_t checkpoint_versions;
    uint64_t checkpoint_interval_s;
    uint64_t max_body_bytes;
    uint64_t memory_mb;        /* of the process, in 10^6 bytes */
    uint64_t max_fds;          /* of the process, 0: what the kernel allows */
    uint64_t link_kbps;        /* bandwidth of the VM's link, 0: unknown */
    uint64_t baseline_poll_ms; /* each node polls the log, 0: use the tree */
    uint64_t claim_hold_s;     /* time for which a key stays claimed */
    uint64_t log_retention_s;  /* 0: unknown */
    uint64_t claim_append_interval_ms;
    /* Largest share of a service's requests for a version under test, in
     * 1/1000. */
    uint64_t exposed_permille;
    JdPlatformSettings platform;
} JdSettings;

unsigned JdSettings_Load(const char *file, JdSettings *out, JdError *errs,
                         unsigned max_errs);
void JdAddress_Translate(const char *rules, const char *address, char *out,
                         size_t size);

/* A configuration version and when this node applied it. */
typedef struct JdAppliedVersion {
    uint64_t version;
    uint64_t applied_at; /* wall clock, us */
} JdAppliedVersion;

/* Applied versions that are kept for /applied. */
#define JD_APPLIED_MAX 4096

/* The watched settings file and its stat data at the last check. */
typedef struct JdReload {
    const char *path;
    struct timespec mtime;
    ino_t inode;
    off_t size;
    JdTimer timer; /* next check for changes */
} JdReload;

/* A request that was sent to a target's process (JdCrash_ProcessId) whose node
 * then fell silent. */
typedef struct JdLostAttempt {
    bool is_used;
    JdFingerprint request;
    uint64_t process;
    uint64_t lost_at;
} JdLostAttempt;

/* Lost attempts that are remembered. */
#define JD_LOST_ATTEMPTS_MAX 128

/* Why a request gets no answer of the local target. */
typedef struct JdTargetRefusal {
    JdReason reason;
    bool was_sent; /* the target may have received it */
    /* Process of the target that crashed while it may have been running the
     * request, see JdCrash_ProcessId; 0: none. */
    uint64_t crashed_process;
} JdTargetRefusal;

typedef struct JdCall JdCall;
typedef struct JdWorkItem JdWorkItem;

/*
 * The local target, as other nodes' connections and this node's calls see it.
 * `origin` is the connection that a request came over, or NULL for a call of
 * this node.
 */
typedef struct JdLocalTargetOps {
    /* Takes ownership of a request, and of a reference to its body, which the
     * message points to.  JdResponseOps.respond follows, unless the
     * request is cancelled. */
    void (*submit)(void *ctx, Jd__Request *msg, JdBody *body, JdConn *origin);
    /* The response to the request with this id is no longer needed. */
    void (*cancel)(void *ctx, uint64_t id, const JdConn *origin);
    /* A connection closed; its requests are cancelled. */
    void (*conn_closed)(void *ctx, const JdConn *origin);
    /* This node became ready. */
    void (*node_ready)(void *ctx);
    /* Returns the percentage of retries among the requests that run. */
    unsigned (*retry_percent)(void *ctx);
} JdLocalTargetOps;

/* Until when a large response is of use, and its rank. */
typedef struct JdBulkTimes {
    uint64_t deadline;
    uint64_t soft_deadline;
    unsigned priority;
} JdBulkTimes;

/* Where the responses of the local target go. */
typedef struct JdResponseOps {
    /* Responds to a request that `origin` submitted; the message is valid
     * until this returns.  It points to `body`, if that is not NULL. */
    void (*respond)(void *ctx, JdConn *origin, Jd__Response *msg,
                    JdBody *body);
    /* The same for a large response to another node: it leaves in chunks as
     * the link has room. */
    void (*respond_large)(void *ctx, JdConn *origin, const Jd__Response *msg,
                          JdBody *body, const JdBulkTimes *times);
} JdResponseOps;

typedef struct JdWaitingRequest JdWaitingRequest;
typedef struct JdQuotaRequest JdQuotaRequest;

/* What the source of configuration holds of the departures of the target. */
typedef struct JdDeparture {
    bool is_read;
    bool is_known;     /* the same, or given up: the target may be used */
    bool is_busy;      /* a read or a write is under way */
    uint64_t stored;   /* process that left, by what the source holds, or 0 */
    uint64_t written;  /* process that is being written, 0: none is left */
    uint64_t ready_at; /* when this node first had a configuration, or 0 */
    JdTimer timer;     /* pause after a failure */
} JdDeparture;

/* What the source of configuration holds of the requests that crash targets.
 */
typedef struct JdCrashStore {
    bool is_reader;        /* this node reads the source */
    bool is_loaded;        /* it has read these records, too */
    uint64_t loaded_epoch; /* of the source, when it did */
    bool is_busy;          /* a read or a write is under way */
    bool is_following;     /* it waits for changes */
    /* The record that is being written; empty text: removed. */
    JdFingerprint written_request;
    char written[JD_CRASHES_TEXT_MAX];
    JdTimer timer; /* pause after a failure */
} JdCrashStore;

/* A request that the target's process that started at `process` did not
 * answer. */
typedef struct JdUnansweredRequest {
    bool is_used;
    JdFingerprint request;
    char request_id[JD_NAME_MAX];
    uint64_t process;
    uint64_t ended_at; /* time at which it broke, timed out or was cancelled */
} JdUnansweredRequest;

/* Unanswered requests that are remembered. */
#define JD_UNANSWERED_MAX 64

/* What is needed to tell which requests ran when the target crashed. */
typedef struct JdTargetCrashes {
    JdUnansweredRequest unanswered[JD_UNANSWERED_MAX]; /* ring */
    unsigned next_unanswered;
    uint64_t answered_at; /* time of the target's last answer */
    JdAnsweredRequests answered;
    uint64_t noticed_at; /* time of the last sign of a crash */
    uint64_t crashed_at; /* wall clock, us, of the last crash */
} JdTargetCrashes;

/* How a request ended at the local target, as roll-outs count it. */
typedef enum JdAnswerKind {
    JD_ANSWER_GOOD,
    JD_ANSWER_FAILED,
    JD_ANSWER_LATE,      /* none by the deadline */
    JD_ANSWER_CANCELLED, /* no longer needed while the target was at work */
    JD_ANSWER_KIND_MAX
} JdAnswerKind;

typedef struct JdNode {
    JdLoop loop;
    JdSettings settings;
    const JdDialect *dialect;
    const JdConfigSource *config_source;
    void *adapter; /* state of the platform adapter, or NULL */
    JdCounters counters;
    JdLatencies latencies;
    JdStore store;
    JdTree tree;
    JdReader reader;
    JdLog log;
    JdMemory memory;           /* room for what is held for others: limits.c */
    uint64_t memory_logged_at; /* last log line on a lack of room */
    size_t max_other_connections; /* of each listener that is not for callers
                                     or nodes */
    JdConnSet conns;              /* to and from other nodes */
    JdServer caller_server;
    JdHttpd admin_server;
    /* Ring buffer; applied_count counts all versions since the start. */
    JdAppliedVersion applied[JD_APPLIED_MAX];
    unsigned applied_count;

    /* Checkpoints and polling: log/follow.c */
    /* Version of the last checkpoint, 0: none was written or it failed. */
    uint64_t checkpoint_version;
    uint64_t checkpoint_at; /* last attempt to write one, or the start */
    bool is_checkpointing;
    JdTimer poll_timer; /* for baseline_poll_ms */

    /* The local target: targets/worker.c, claims.c and health.c */
    const JdLocalTargetOps *target_ops;
    void *target_ctx;
    const JdResponseOps *response_ops; /* peer/response.c */
    void *response_ctx;
    bool has_target;
    /* The target reports its state in heartbeats and is not probed. */
    bool target_sends_heartbeats;
    JdTarget target_process; /* process that sent the last heartbeat */
    JdDeparture departure;   /* targets/departure.c */
    JdHttpc target_client;
    JdTargetCrashes target_crashes; /* targets/crash.c */
    JdCrashStore crash_store;       /* crashes.c */
    uint64_t target_warm_at; /* time from which on it is as fast as it gets */
    JdDirector director;     /* rollouts.c */
    bool is_following_rollouts;
    JdAdmission admit;
    GHashTable *route_estimates; /* by route: targets/estimate.c */
    JdPace target_pace;
    TAILQ_HEAD(JdWorkItemHead, JdWorkItem) work_items;
    JdClaims claims;
    char claim_stream[JD_PATH_MAX]; /* log stream of the service's claims */
    /* Average sizes of large responses: targets/room.c */
    GHashTable *response_sizes; /* route name -> JdLinkSize */
    JdLinkSize response_size;   /* of all routes */
    JdTimer probe_timer;        /* next probe of a target without heartbeats */
    bool is_probe_pending;      /* the last probe has not ended */

    /* Requests that wait for this node to be ready: caller/front.c, intake.c
     * and waiting.c */
    uint64_t started_at; /* start of this process, on the loop's clock */
    TAILQ_HEAD(JdWaitingRequestHead, JdWaitingRequest) waiting;
    unsigned waiting_count;

    /* Quotas of client accounts, and the requests that wait for a token:
     * accounts.c and caller/quota.c */
    JdQuota quota;
    TAILQ_HEAD(JdQuotaRequestHead, JdQuotaRequest) quota_requests;
    unsigned quota_request_count;

    /* Calls, and the connections that carry them: peer/forward.c and
     * request_conn.c */
    JdBalancer balancer;
    JdPlacing placing;
    GHashTable *retry_budgets; /* service -> JdRetryBudget */
    GHashTable *promises;      /* service -> JdPromises */
    /* Address -> JdRequestConn that takes new attempts.  A connection that has
     * been replaced is only in `conns`. */
    GHashTable *request_conns;
    GHashTable *silent_nodes; /* addresses of nodes that do not answer */
    TAILQ_HEAD(JdCallHead, JdCall) calls;
    unsigned call_count;
    uint64_t last_attempt_id;
    /* The configuration asks for ranks and shares: JdConfig_AsksForShares */
    bool is_shortage_asked;
    JdLostAttempt lost_attempts[JD_LOST_ATTEMPTS_MAX]; /* ring: peer/lost.c */
    unsigned next_lost_attempt;
    JdTimer conn_check_timer; /* checks request connections */

    /* Large responses on the link of this VM: peer/bulk.c */
    JdPacer pacer;
    JdLinkQueue link_queue;
    JdLinkRoom link_room;
    JdTimer link_timer; /* next chunk */

    /* Reload of the settings: node/reload.c */
    JdReload reload;

    /* Graceful shutdown: node/drain.c */
    bool is_draining;
    bool has_drain_signal;   /* a signal began it, or came since */
    bool is_drain_announced; /* other nodes are told of the drain */
    uint64_t drain_began_at;
    const char *drain_outcome; /* why the node stops: for the log */
    JdTimer drain_timer;       /* next check of the drain, then the exit */
    uint64_t drain_deadline;   /* the node exits even with requests left */
    uint64_t announce_at;      /* time at which other nodes are told */
    /* No request that might outlast the drain is taken from here on. */
    uint64_t drain_strict_at;
    uint64_t linger_until; /* new requests are refused from here on */
} JdNode;

/* peer/request.c: messages with the request of a caller */
void JdRequest_SetBody(Jd__Request *msg, const JdBody *body);
Jd__Request *JdRequest_Copy(const Jd__Request *msg, const JdBody *body);
void JdRequest_Free(Jd__Request *msg, JdBody *body);

/* limits.c: memory and descriptors of this process */
void JdLimits_Init(JdNode *nd);
void JdLimits_Apply(JdNode *nd);
void JdLimits_ApplyToServer(JdNode *nd, JdHttpd *server);
void JdLimits_LogShortage(JdNode *nd, const char *outcome);

/* log/follow.c: configuration from the log of patches */
extern const JdConfigSource JdConfigSource_Log;

/* peer/link.c: connections of the distribution tree */
JdStatus JdTreeLink_Init(JdNode *nd, JdError *err);

/* caller/intake.c: requests from callers */
void JdIntake_OnRequest(JdNode *nd, JdServerRequest *req);
uint64_t JdIntake_TimeLimit(JdNode *nd, const JdServerRequest *req);
void JdIntake_Reject(JdNode *nd, JdServerRequest *req, JdReason reason);
bool JdIntake_Process(JdNode *nd, JdServerRequest *req, uint64_t arrived_at);
void JdIntake_Resume(JdNode *nd, JdServerRequest *req, uint64_t arrived_at,
                     bool has_token, unsigned retry_after_ms);

/* caller/quota.c: requests that wait for a token of their client account */
JdQuotaResult JdQuotaRequest_Take(JdNode *nd, JdServerRequest *req,
                                  const JdAccount *account,
                                  uint64_t arrived_at,
                                  unsigned *retry_after_ms);
bool JdQuotaRequest_CallerDisconnected(JdNode *nd, const JdServerRequest *req);

/* caller/waiting.c: requests that wait for this node to be ready */
void JdWaitingRequest_Add(JdNode *nd, JdServerRequest *req,
                          uint64_t arrived_at);
bool JdWaitingRequest_CallerDisconnected(JdNode *nd,
                                         const JdServerRequest *req);

/* peer/forward.c: requests to the nodes of targets */
void JdForward_Init(JdNode *nd);
unsigned JdForward_CountOldRunning(const JdNode *nd, const JdRollout *ro);

/* peer/answer.c: answers to the attempts of this node */
void JdAnswer_OnResponse(JdNode *nd, const Jd__Response *msg, JdBody *body);
void JdAnswer_OnDropped(JdNode *nd, uint64_t id);

/* peer/response.c: responses of the local target, on their way out */
void JdResponse_Init(JdNode *nd);

/* peer/bulk.c: large responses of the local target, on their way out */
void JdBulk_Init(JdNode *nd);
void JdBulk_Respond(JdNode *nd, JdConn *origin, const Jd__Response *msg,
                    JdBody *body, const JdBulkTimes *times);
void JdBulk_Cancel(JdNode *nd, uint64_t id, const JdConn *origin);
void JdBulk_ConnClosed(JdNode *nd, const JdConn *origin);

/* peer/lost.c: attempts that were lost with the node of their target */
void JdLostAttempt_OnTargetReplaced(JdNode *nd, const JdMember *mb,
                                    uint64_t started);

/* targets/worker.c: execution of requests on the local target */
JdStatus JdWorker_Init(JdNode *nd, JdError *err);
void JdWorker_StopSending(JdNode *nd);
void JdWorker_RecordUnanswered(JdNode *nd);
void JdWorker_OnTargetChecked(JdNode *nd, uint64_t crashed_process);

/* targets/headers.c: headers of requests to the local target */
bool JdTargetHeaders_IsRelayed(const JdHttpHeader *h);
char *JdTargetHeaders_Format(const JdNode *nd, const Jd__Request *msg,
                             uint64_t time_left);

/* targets/response.c: responses to the nodes that send requests to it */
unsigned JdTargetResponse_Priority(const Jd__Request *msg);
void JdTargetResponse_Refuse(JdNode *nd, const Jd__Request *request,
                             JdConn *origin, const JdTargetRefusal *refusal);
void JdTargetResponse_Relay(JdWorkItem *it, const JdHttpResponse *ans);

/* rollouts.c: roll-outs, and their states at the source */
void JdRolloutNode_Init(JdNode *nd);
void JdRolloutNode_OnChanged(JdNode *nd, JdRollout *ro);
bool JdRolloutNode_MayTest(const JdNode *nd);
void JdRolloutNode_CountAnswer(JdNode *nd, const Jd__Request *msg,
                               JdAnswerKind kind, uint64_t took);
void JdRolloutStore_OnOrder(JdNode *nd, const JdRolloutOrder *order);
void JdRolloutStore_OnRecord(JdNode *nd, const JdRolloutOrder *order,
                             JdRolloutStep step, uint64_t left);
void JdRolloutStore_OnReadEnd(JdNode *nd, JdStatus status);
void JdRolloutStore_OnFollowed(JdNode *nd, JdStatus status);
void JdRolloutStore_OnPut(JdNode *nd, JdStatus status);

/* targets/notice.c: what the local target says of itself in its answers */
void JdTargetNotice_OnRequest(JdNode *nd, const Jd__Request *msg);
void JdTargetNotice_OnSend(JdNode *nd);
bool JdTargetNotice_SaysLeaving(const JdNode *nd, const JdHttpResponse *ans);
void JdTargetNotice_OnResponse(JdNode *nd, uint64_t started, uint64_t sent_at,
                               const JdHttpResponse *ans);

/* targets/crash.c: crashes of the local target */
void JdTargetCrash_OnAnswer(JdNode *nd, const JdFingerprint *fp,
                            const JdHttpResponse *ans);
void JdTargetCrash_OnUnanswered(JdNode *nd, const Jd__Request *msg,
                                uint64_t started);
void JdTargetCrash_OnReplaced(JdNode *nd);
void JdTargetCrash_Check(JdNode *nd);

/* targets/estimate.c: average run times of its work */
void JdTargetEstimate_Init(JdNode *nd);
JdServiceTime *JdTargetEstimate_Get(JdNode *nd, const char *route);
void JdTargetEstimate_AddRun(JdNode *nd, const char *route, uint64_t took);
void JdTargetEstimate_Report(JdNode *nd, const char *route, uint64_t held,
                             Jd__Response *msg);

/* targets/room.c: room on the link for its responses */
void JdTargetRoom_Init(JdNode *nd);
uint32_t JdTargetRoom_RetryAfter(JdNode *nd, const Jd__Request *msg);
uint32_t JdTargetRoom_Wait(const JdNode *nd);

/* targets/health.c: health of the local target */
void JdDeparture_Init(JdNode *nd);
bool JdDeparture_IsKnown(const JdNode *nd);
bool JdDeparture_IsKept(const JdNode *nd);
void JdDeparture_OnChanged(JdNode *nd);
void JdDeparture_OnEpochChanged(JdNode *nd);
void JdDeparture_OnTold(JdNode *nd);
void JdDeparture_OnNodeReady(JdNode *nd);
void JdDeparture_OnRead(JdNode *nd, JdStatus status, uint64_t started);
void JdDeparture_OnPut(JdNode *nd, JdStatus status);
bool JdTargetHealth_IsUp(const JdNode *nd);
void JdTargetHealth_Init(JdNode *nd);
void JdTargetHealth_SetTarget(JdNode *nd, const JdSettings *s);
void JdTargetHealth_OnNodeReady(JdNode *nd);
void JdTargetHealth_OnHeartbeat(JdNode *nd, const JdHeartbeat *hb);
bool JdTargetHealth_IsLeaving(const JdNode *nd);
void JdTargetHealth_OnLeaving(JdNode *nd);
void JdTargetHealth_OnLeftLearned(JdNode *nd);
void JdTargetHealth_OnDeregister(JdNode *nd, const char *id, uint64_t started);

/* targets/claims.c: claims of idempotency keys on the service's log stream */
void JdTargetClaims_Init(JdNode *nd, const JdClaimsOps *outcome_ops);

/* caller/front.c: HTTP server for callers */
JdStatus JdCallerServer_Init(JdNode *nd, JdError *err);

/* operator/admin.c: HTTP server for metrics, status and commands */
JdStatus JdAdmin_Init(JdNode *nd, JdError *err);
void JdAdmin_ReplyMetrics(JdNode *nd, h2o_req_t *req);

/* operator/admin_accounts.c: what client accounts have used */
void JdAdmin_ReplyAccounts(JdNode *nd, h2o_req_t *req);

/* node/accounts.c: quotas of client accounts */
void JdAccounts_Init(JdNode *nd);
bool JdAccounts_OnFrame(JdNode *nd, JdConn *conn, const Jd__Frame *frame);
void JdAccounts_OnStatusChanged(JdNode *nd);

/* operator/placing.c: speeds, loads and shares of targets */
void JdAdmin_ReplyPlacing(JdNode *nd, h2o_req_t *req);

/* node/crashes.c: requests that crash targets, at the source */
void JdCrashStore_Init(JdNode *nd);
void JdCrashStore_SetReader(JdNode *nd, bool is_reader);
void JdCrashStore_OnChanged(JdNode *nd);
void JdCrashStore_OnReadBegin(JdNode *nd);
void JdCrashStore_OnRecord(JdNode *nd, const char *request, size_t request_len,
                           const char *crashes, size_t crashes_len);
void JdCrashStore_OnReadEnd(JdNode *nd, JdStatus status);
void JdCrashStore_OnFollowed(JdNode *nd, JdStatus status);
void JdCrashStore_OnPut(JdNode *nd, JdStatus status);

/* node/reload.c: reload of the settings file */
void JdReload_Init(JdNode *nd, const char *file);
void JdReload_OnSignal(JdNode *nd);

/* node/drain.c: graceful shutdown */
void JdDrain_OnSignal(void *ctx, int signal);

#endif
