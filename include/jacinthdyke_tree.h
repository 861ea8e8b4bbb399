/*
 * Member table and distribution tree.  Include jacinthdyke.h instead of this
 * file.
 */
#ifndef JACINTHDYKE_TREE_H
#define JACINTHDYKE_TREE_H

/* ---- member.c: table of nodes and their targets ------------------------ */

typedef enum JdMemberState {
    JD_MEMBER_STARTING, /* has not applied a configuration yet */
    JD_MEMBER_READY,    /* accepts work for its target */
    JD_MEMBER_DRAINING, /* leaving: accepts no new work */
    JD_MEMBER_DOWN,     /* the node is up, its target is not */
    JD_MEMBER_LEFT,     /* announced its departure; final per incarnation */
    JD_MEMBER_LOST,     /* timed out: crashed, hung or partitioned */
    JD_MEMBER_STATE_MAX
} JdMemberState;

const char *JdMemberState_Name(JdMemberState state);

/*
 * Buckets of the member table.  Two nodes that connect compare the digests of
 * their buckets and exchange only the members of those that differ.
 */
#define JD_MEMBER_BUCKETS 64

/* A node and the target beside it, as last announced. */
typedef struct JdMember {
    TAILQ_ENTRY(JdMember) link;         /* all members */
    TAILQ_ENTRY(JdMember) set_link;     /* members of one endpoint set */
    TAILQ_ENTRY(JdMember) pending_link; /* changes not forwarded yet */
    TAILQ_ENTRY(JdMember) suspect_link;
    struct JdMemberSet *set;
    char id[JD_NAME_MAX];
    uint64_t incarnation; /* rises with each start of the node's process */
    uint64_t seq;         /* rises with each announcement in a process */
    JdMemberState state;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char peer_address[JD_ADDRESS_MAX];  /* address for other nodes */
    char admin_address[JD_ADDRESS_MAX]; /* address for operators */
    char parent_id[JD_NAME_MAX];        /* parent in the tree, empty: none */
    uint64_t head_rank;                 /* 0: not a domain head */
    char service[JD_NAME_MAX];
    char endpoint_set[JD_NAME_MAX];
    unsigned slots;
    uint64_t target_started;      /* ms since 1970, 0: unknown */
    uint64_t last_target_started; /* the same, while that is unknown */
    /* Start of the newest process of the target that said that it leaves, 0:
       none did. It outlives restarts of the node. */
    uint64_t target_left;
    char version[JD_NAME_MAX]; /* of the target's software, empty: unknown */
    /* Times at which that version, and any of its service, were first seen. */
    uint64_t version_seen_at;
    uint64_t service_seen_at;
    uint64_t changed_at;     /* time of the last change */
    bool is_pending;         /* on the list of changes to forward */
    uint64_t source_link;    /* link that the last change came over, 0: none */
    bool is_suspect;         /* may be lost; on the list of suspects */
    bool is_orphan;          /* suspect only because its parent was lost */
    uint64_t suspect_at;     /* time at which a suspect is marked lost */
    uint64_t next_invite_at; /* next invitation, while lost or departed */
    void *user; /* for the embedding program; freed with the member */
} JdMember;

TAILQ_HEAD(JdMemberList, JdMember);

/* Members that serve one endpoint set. */
typedef struct JdMemberSet {
    struct JdMemberList members;
    unsigned count;
    unsigned cursor;
} JdMemberSet;

/* The member table. */
typedef struct JdMembers {
    struct JdMemberList all;
    struct JdMemberList pending; /* changes not forwarded yet */
    struct JdMemberList suspects;
    const char *self_id; /* member that is never suspected, or NULL */
    void *by_id;         /* GHashTable: id to JdMember */
    void *by_set;        /* GHashTable: endpoint set to JdMemberSet */
    /* GHashTable: service, or service and version, to the time (uint64_t) at
       which it was first seen */
    void *versions;
    uint64_t bucket_digest[JD_MEMBER_BUCKETS];
    unsigned count;
    unsigned count_by_state[JD_MEMBER_STATE_MAX];
    JdClock *clock;
    JdCounters *counters;
    /* Called when a member's state changed; may be NULL. */
    void (*state_changed)(void *ctx, const JdMember *mb, JdMemberState old);
    /* As in JdTreeOps; may be NULL. */
    void (*target_replaced)(void *ctx, const JdMember *mb, uint64_t started);
    void *ctx;
} JdMembers;

void JdMembers_Init(JdMembers *ms, JdClock *clk, JdCounters *ctr);
void JdMembers_Finish(JdMembers *ms);
JdMember *JdMembers_Find(const JdMembers *ms, const char *id);
JdMemberSet *JdMembers_FindSet(const JdMembers *ms, const char *endpoint_set);
JdMember *JdMembers_Update(JdMembers *ms, const Jd__Member *msg,
                           uint64_t source_link);
void JdMembers_Suspect(JdMembers *ms, JdMember *mb, uint64_t grace);
unsigned JdMembers_Expire(JdMembers *ms, uint64_t grace);
void JdMembers_Encode(const JdMember *mb, Jd__Member *msg);
size_t JdMembers_BucketOf(const char *id);
void JdMembers_ClearPending(JdMembers *ms, JdMember *mb);
bool JdMember_HasTargetLeft(const JdMember *mb);
void JdMember_SetTargetLeft(JdMember *mb, uint64_t started);
void JdMembers_Prune(JdMembers *ms, uint64_t age);

/* ---- tree.c: distribution tree ----------------------------------------- */

#define JD_CANDIDATES_MAX 64
#define JD_TREE_PATH_MAX 16 /* depth of the tree */
#define JD_LAGGARDS_MAX 8   /* nodes named in a JdTreeReport */

/* Timing and size parameters; intervals and timeouts are in us. */
typedef struct JdTreeTuning {
    /* Once a node has this many children, only heads may join it. */
    unsigned fan_out;
    unsigned heads_per_domain;   /* heads wanted in each failure domain */
    uint64_t heartbeat_interval; /* between heartbeats on a link */
    uint64_t link_timeout;       /* a link without frames for longer is dead */
    uint64_t join_timeout;       /* from dialing to the answer to the join */
    uint64_t push_interval; /* minimum between pushes of a root, 0: none */
    uint64_t update_delay;  /* wait that batches member updates */
    /* A head reads the log itself if the last answer of the log that its
       parent reports is older. */
    uint64_t max_source_age;
    uint64_t reparent_interval; /* between searches for a better parent */
    uint64_t promotion_delay;   /* maximum random wait before promotion */
} JdTreeTuning;

typedef enum JdPreset {
    JD_PRESET_CONVERGENCE,   /* least time until a version is applied */
    JD_PRESET_CONTROL_BYTES, /* least control traffic */
    JD_PRESET_MAX
} JdPreset;

const char *JdPreset_Name(JdPreset preset);
const JdTreeTuning *JdPreset_Tuning(JdPreset preset);

/* The local node, and the target beside it. */
typedef struct JdTreeIdentity {
    char id[JD_NAME_MAX];
    uint64_t incarnation;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char peer_address[JD_ADDRESS_MAX];
    char admin_address[JD_ADDRESS_MAX];
    char log_region[JD_NAME_MAX]; /* empty: unknown */
    char service[JD_NAME_MAX];
    char endpoint_set[JD_NAME_MAX];
    unsigned slots;
    uint64_t target_started; /* ms since 1970, 0: unknown */
    uint64_t target_left; /* process of the target that left, as in JdMember */
    char version[JD_NAME_MAX]; /* of the target's software, empty: unknown */
    unsigned link_kbps;        /* bandwidth of the node's link, 0: unknown */
} JdTreeIdentity;

/*
 * Callbacks into the embedding program.  A peer is one of its connections,
 * identified by its pointer.
 */
typedef struct JdTreeOps {
    /* Starts a connection; JdTree_Connected or JdTree_Closed follows. */
    void *(*dial)(void *ctx, const char *address);
    void (*send)(void *ctx, void *peer, Jd__Frame *frame);
    /* Closes a connection; no JdTree_Closed follows. */
    void (*close)(void *ctx, void *peer);
    /* Returns the number of bytes queued for a peer. */
    size_t (*backlog)(void *ctx, void *peer);
    /* Reads the directory stream; JdTree_DirectoryRead follows. */
    void (*read_directory)(void *ctx);
    /* Appends this node's record to the directory stream;
       JdTree_HeadRegistered follows. */
    void (*register_head)(void *ctx);
    /* Removes a head from the directory; may be NULL. */
    void (*deregister_head)(void *ctx, const char *id);
    /* Starts or stops reading the config stream. */
    void (*read_log)(void *ctx, bool on);
    /* A version was applied, or readiness changed. */
    void (*status_changed)(void *ctx);
    /* The parent changed; `id` is NULL for none.  May be NULL. */
    void (*parent_changed)(void *ctx, const char *id);
    /* A member's state changed; may be NULL. */
    void (*member_changed)(void *ctx, const JdMember *mb, JdMemberState old);
    /* Another process has taken the place of a member's target that started at
       `started` and did not say that it leaves; may be NULL. */
    void (*target_replaced)(void *ctx, const JdMember *mb, uint64_t started);
    /* Another node told which process of this node's target has left, or that
       it knows of none from before the start of this node; may be NULL. */
    void (*target_left_learned)(void *ctx);
    /* The source was restored from an older copy: an answer or the parent
       named a higher epoch; may be NULL. */
    void (*epoch_changed)(void *ctx);
    /* Records of crashes changed; may be NULL. */
    void (*crashes_changed)(void *ctx);
    /* A roll-out was added or has changed its step; may be NULL. */
    void (*rollout_changed)(void *ctx, JdRollout *ro);
    /* Returns the number of this node's requests that are under way at targets
       of old versions; NULL: none are. */
    unsigned (*count_old_running)(void *ctx, const JdRollout *ro);
} JdTreeOps;

typedef enum JdLinkState {
    JD_LINK_NONE,
    JD_LINK_DIALING,  /* waits for the connection */
    JD_LINK_JOINING,  /* waits for the answer to a join */
    JD_LINK_ATTACHED, /* joined */
    JD_LINK_STATE_MAX
} JdLinkState;

/* A link to the parent, or to a candidate while joining it. */
typedef struct JdUplink {
    JdLinkState state;
    void *peer;
    uint64_t link_id; /* unique in the process */
    char id[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    bool is_ready;            /* the parent announced that it is ready */
    uint64_t version;         /* highest version that the parent announced */
    uint64_t heard_at;        /* time of the last frame */
    uint64_t source_heard_at; /* local time of the log's last answer, computed
                                 from the age that the parent reports */
    uint64_t behind_since;    /* time since which the parent has been ahead */
} JdUplink;

/* A link to a child. */
typedef struct JdChild {
    TAILQ_ENTRY(JdChild) link;
    void *peer;
    uint64_t link_id; /* unique in the process */
    char id[JD_NAME_MAX];
    bool is_head;
    unsigned link_kbps;     /* 0: unknown */
    uint64_t sent_version;  /* version that the child has or was sent */
    uint64_t heard_at;      /* time of the last frame */
    unsigned subtree_count; /* nodes in its subtree, itself included */
    uint64_t min_version;   /* lowest version in its subtree */
    char laggard[JD_LAGGARDS_MAX][JD_NAME_MAX];
    unsigned laggard_count;
} JdChild;

/* A connection over which a node that may have restarted is invited. */
typedef struct JdInvite {
    void *peer; /* NULL: free */
    uint64_t dialed_at;
} JdInvite;

#define JD_INVITES_MAX 8 /* under way at a time */

/* A node that may become the parent. */
typedef struct JdCandidate {
    char id[JD_NAME_MAX];
    char address[JD_ADDRESS_MAX];
    bool is_remote_domain; /* a head of another failure domain */
} JdCandidate;

/* A record of the directory stream: a node that is or was a head. */
typedef struct JdDirectoryEntry {
    char id[JD_NAME_MAX];
    uint64_t incarnation;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char address[JD_ADDRESS_MAX];
    uint64_t rank;
} JdDirectoryEntry;

#define JD_DIRECTORY_MAX 128

/* The part of the distribution tree that one node runs. */
typedef struct JdTree {
    JdTreeIdentity self;
    JdTreeTuning tuning;
    JdStore *store;
    JdMembers members;
    JdCrashTable crashes;
    JdRollouts rollouts;
    JdRolloutReports reports;
    JdClock *clock;
    JdRandom random;
    JdCounters *counters;
    const JdTreeOps *ops;
    void *ctx;
    JdMemberState state; /* announced for this node and its target */
    uint64_t seq;
    uint64_t head_rank;
    /* Highest epoch of the source that this node knows.  It rises when the
       source is restored from an older copy, which lacks newer records. */
    uint64_t source_epoch;
    uint64_t registering_epoch; /* source_epoch when the append was sent */
    uint64_t registered_epoch;  /* epoch that has this node's record */
    /* The directory lists an earlier process of this node as a head. */
    bool was_head;
    bool is_registering; /* an append to the directory is in flight */
    bool is_reparenting; /* the search is only for a better parent */
    bool is_root;        /* has no parent and reads the log */
    bool is_reading_log;
    bool is_ready;
    bool is_leaving;
    bool is_promotion_pending; /* the directory is read before registering */
    bool is_directory_read;    /* has been read once, or the read failed */
    /* Rank of the newest head of the domain when the search began. */
    uint64_t search_domain_rank;
    /* Rank of the newest head of the domain when none accepted this node.  A
       newer head cancels the promotion of this node. */
    uint64_t failed_domain_rank;
    uint64_t register_sent_at; /* time of the last directory append */
    JdDirectoryEntry directory[JD_DIRECTORY_MAX];
    unsigned directory_len;
    uint64_t log_answered_at; /* time of the log's last answer to this node */
    uint64_t promote_sent_at; /* time of the last Promote to a child */
    uint64_t root_since;      /* time at which this node became a root */
    JdUplink parent;
    JdUplink join_attempt; /* link to the candidate being joined */
    JdTimer join_timer;
    JdInvite invite[JD_INVITES_MAX];
    JdCandidate candidate[JD_CANDIDATES_MAX];
    unsigned candidate_count;
    unsigned next_candidate;
    unsigned redirect_count;  /* redirects followed in this search */
    unsigned failed_searches; /* consecutive searches without success */
    char path[JD_TREE_PATH_MAX][JD_NAME_MAX]; /* ids from the root to the
                                                 parent */
    unsigned path_len;
    char root_admin[JD_ADDRESS_MAX];
    TAILQ_HEAD(JdChildHead, JdChild) children;
    unsigned child_count;
    uint64_t last_link_id; /* last link_id assigned */
    uint64_t pushed_at;    /* time of the last push */
    JdTimer heartbeat_timer;
    JdTimer search_timer;
    JdTimer push_timer;
    JdTimer update_timer;
    JdTimer promotion_timer;
    JdTimer crash_timer;       /* forwards changed records of crashes */
    JdTimer rollout_timer;     /* forwards changed roll-outs */
    JdTimer report_timer;      /* next reports on roll-outs */
    uint64_t next_reparent_at; /* next search for a better parent */
    uint64_t reparent_wait; /* doubles each search, up to reparent_interval */
    uint64_t next_pull_at;  /* earliest next pull, except from the parent */
} JdTree;

/* Summary of a subtree. */
typedef struct JdTreeReport {
    unsigned node_count;
    uint64_t min_version;                       /* lowest version held */
    char laggard[JD_LAGGARDS_MAX][JD_NAME_MAX]; /* nodes that are behind */
    unsigned laggard_count;
} JdTreeReport;

void JdTree_Init(JdTree *tr, const JdTreeIdentity *self,
                 const JdTreeTuning *tuning, JdStore *st, JdClock *clk,
                 JdCounters *ctr, const JdTreeOps *ops, void *ctx);
void JdTree_Finish(JdTree *tr);
void JdTree_Start(JdTree *tr);
void JdTree_Leave(JdTree *tr);
void JdTree_SetService(JdTree *tr, const char *service,
                       const char *endpoint_set);
void JdTree_SetTargetLeft(JdTree *tr, uint64_t started);
void JdTree_SetTarget(JdTree *tr, uint64_t started, unsigned slots,
                      JdMemberState state);
void JdTree_SetVersion(JdTree *tr, const char *version);
void JdTree_SetState(JdTree *tr, JdMemberState state);
JdRolloutReport *JdTree_OwnReport(JdTree *tr, const JdRollout *ro);
void JdTree_Connected(JdTree *tr, void *peer);
void JdTree_Closed(JdTree *tr, void *peer);
void JdTree_HandleFrame(JdTree *tr, void *peer, const Jd__Frame *frame);
void JdTree_DirectoryRead(JdTree *tr, const JdLogAnswer *ans);
void JdTree_HeadRegistered(JdTree *tr, JdStatus status, uint64_t epoch,
                           uint64_t offset);
void JdTree_SourceEpoch(JdTree *tr, uint64_t epoch);
void JdTree_LogAnswered(JdTree *tr, bool caught_up);
void JdTree_VersionApplied(JdTree *tr);
void JdTree_Report(const JdTree *tr, JdTreeReport *out);
uint64_t JdTree_SourceAge(const JdTree *tr);
char *JdTree_EncodeDirectoryRecord(const JdTree *tr);

#endif
