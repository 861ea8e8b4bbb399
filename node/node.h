/* The node: one small process beside each target, in all its roles. */
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

#define JD_TRANSLATION_RULES_MAX 512

#define JD_PLATFORM_BOUNDS_MAX 1024

/* How a node reaches the platform that an adapter speaks to. */
typedef struct JdPlatformSettings {
    char store_address[JD_ADDRESS_MAX]; /* empty: no platform */
    char ready_address[JD_ADDRESS_MAX];
    char control_address[JD_ADDRESS_MAX];
    char bounds[JD_PLATFORM_BOUNDS_MAX]; /* in the platform's words */
} JdPlatformSettings;

/* Checked settings of a node. */
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
    char translation_rules[JD_TRANSLATION_RULES_MAX];
    JdPreset preset;
    uint64_t slots;
    uint64_t max_connections;
    uint64_t max_queued;
    uint64_t health_interval_ms;
    uint64_t linger_ms;
    uint64_t drain_deadline_ms;
    uint64_t checkpoint_versions;
    uint64_t checkpoint_interval_s;
    uint64_t max_body_bytes;
    uint64_t link_kbps; /* 0: not known */
    uint64_t baseline_poll_ms;
    uint64_t claim_hold_s;
    uint64_t log_retention_s;
    uint64_t claim_append_interval_ms;
    JdPlatformSettings platform;
} JdSettings;

unsigned JdSettings_Load(const char *file, JdSettings *out, JdError *errs,
                         unsigned errs_most);
void JdAddress_Translate(const char *rules, const char *address, char *out,
                         size_t size);

/* One version and the wall-clock time at which it came into force here. */
typedef struct JdAppliedVersion {
    uint64_t version;
    uint64_t applied_at;
} JdAppliedVersion;

#define JD_APPLIED_MAX 4096

/* The settings file as it was read last. */
typedef struct JdReload {
    const char *path;
    struct timespec mtime;
    ino_t inode;
    off_t size;
    JdTimer timer;
} JdReload;

typedef struct JdCall JdCall;
typedef struct JdWorkItem JdWorkItem;
typedef struct JdWaitingRequest JdWaitingRequest;

typedef struct JdNode {
    JdLoop loop;
    JdSettings settings;
    const JdDialect *dialect;
    const JdConfigSource *config_source;
    void *adapter; /* state of an adapter, or NULL */
    JdCounters counters;
    JdLatencies latencies;
    JdStore store;
    JdTree tree;
    JdReader reader;
    JdLog log;
    JdConnSet conns;
    JdServer caller_server;
    JdHttpd admin_server;
    JdAppliedVersion applied[JD_APPLIED_MAX];
    unsigned applied_count; /* counts on past the size of the ring */

    /* log/follow.c */
    uint64_t checkpoint_version;
    uint64_t checkpoint_at;
    bool is_checkpointing;
    JdTimer poll_timer;

    /* targets/worker.c */
    bool has_target;
    bool target_sends_heartbeats; /* the target announces itself; it is not
                                     probed */
    JdTarget target_process; /* what the target says of itself, if it does */
    JdHttpc target_client;
    JdAdmission admit;
    GHashTable *route_estimates; /* JdEstimate by route */
    TAILQ_HEAD(JdWorkItemHead, JdWorkItem) work_items;
    JdClaims claims;
    char claim_stream[JD_PATH_MAX];
    JdTimer probe_timer;
    bool is_probe_pending;

    /* caller/waiting.c */
    uint64_t started_at; /* of this process, on the loop's clock */
    TAILQ_HEAD(JdWaitingRequestHead, JdWaitingRequest) waiting;
    unsigned waiting_count;

    /* peer/forward.c */
    JdBalancer balancer;
    GHashTable *retry_budgets;
    GHashTable *request_conns; /* by address */
    TAILQ_HEAD(JdCallHead, JdCall) calls;
    unsigned call_count;
    uint64_t last_attempt_id;
    JdTimer conn_check_timer;

    /* node/reload.c */
    JdReload reload;

    /* node/drain.c */
    bool is_draining;
    JdTimer drain_timer;
    uint64_t drain_deadline;
    uint64_t linger_until;
} JdNode;

/* log/follow.c: versions from the log of patches */
extern const JdConfigSource JdConfigSource_Log;

/* peer/link.c: the tree's connections */
JdStatus JdTreeLink_Init(JdNode *nd, JdError *err);

/* caller/intake.c: requests of callers */
void JdIntake_OnRequest(JdNode *nd, JdServerRequest *req);
bool JdIntake_Process(JdNode *nd, JdServerRequest *req, uint64_t arrived);

/* caller/waiting.c: requests that wait for this node to be ready */
void JdWaitingRequest_Add(JdNode *nd, JdServerRequest *req, uint64_t arrived);
bool JdWaitingRequest_CallerDisconnected(JdNode *nd,
                                         const JdServerRequest *req);

/* peer/forward.c: requests to the target's node, and their answers */
void JdForward_Init(JdNode *nd);
void JdForward_OnResponse(JdNode *nd, const Jd__Response *msg);

/* targets/worker.c: work for the target beside this node */
JdStatus JdWorker_Init(JdNode *nd, JdError *err);
void JdWorker_Submit(JdNode *nd, Jd__Request *msg, JdConn *origin);
void JdWorker_Cancel(JdNode *nd, uint64_t id, const JdConn *origin);
void JdWorker_OnConnClosed(JdNode *nd, const JdConn *origin);
unsigned JdWorker_RetryPercent(const JdNode *nd);

/* targets/presence.c: whether the target beside this node takes work */
void JdTargetHealth_Init(JdNode *nd);
void JdTargetHealth_SetTarget(JdNode *nd, const JdSettings *s);
void JdTargetHealth_OnNodeReady(JdNode *nd);
void JdTargetHealth_OnHeartbeat(JdNode *nd, const JdHeartbeat *hb);
void JdTargetHealth_OnDeregister(JdNode *nd, const char *id, uint64_t started);

/* targets/once.c: claims of the target's service on the log */
void JdTargetClaims_Init(JdNode *nd, const JdClaimsOps *decided);

/* caller/front.c: callers */
JdStatus JdCallerServer_Init(JdNode *nd, JdError *err);

/* operator/admin.c: counters and state over HTTP */
JdStatus JdAdmin_Init(JdNode *nd, JdError *err);
void JdAdmin_ReplyMetrics(JdNode *nd, h2o_req_t *req);

/* node/reload.c: changed settings */
void JdReload_Init(JdNode *nd, const char *file);
void JdReload_OnSignal(JdNode *nd);

/* node/drain.c: planned stops */
void JdDrain_OnSignal(void *ctx, int signal);

#endif
