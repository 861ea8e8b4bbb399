/* Members and the tree.  Include jacinthdyke.h instead of this file. */
#ifndef JACINTHDYKE_TREE_H
#define JACINTHDYKE_TREE_H

/* ---- member.c: the table of nodes and their targets -------------------- */

typedef enum JdMemberState {
    JD_MEMBER_STARTING, /* has no configuration in force yet */
    JD_MEMBER_READY,    /* takes work for its target */
    JD_MEMBER_DRAINING, /* leaving: takes no new work */
    JD_MEMBER_DOWN,     /* the node lives, its target does not */
    JD_MEMBER_LEFT,     /* gone for good, by its own word */
    JD_MEMBER_LOST,     /* silent: dead, frozen or cut off */
    JD_MEMBER_STATE_MAX
} JdMemberState;

const char *JdMemberState_Name(JdMemberState state);

/* Buckets of the table whose digests two nodes compare when they meet. */
#define JD_MEMBER_BUCKETS 64

typedef struct JdMember {
    TAILQ_ENTRY(JdMember) link;         /* all members */
    TAILQ_ENTRY(JdMember) set_link;     /* members of one endpoint set */
    TAILQ_ENTRY(JdMember) pending_link; /* changes not passed on yet */
    TAILQ_ENTRY(JdMember) suspect_link;
    struct JdMemberSet *set;
    char id[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t seq;
    JdMemberState state;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char peer_address[JD_ADDRESS_MAX];
    char admin_address[JD_ADDRESS_MAX];
    char parent_id[JD_NAME_MAX];
    uint64_t head_rank;
    char service[JD_NAME_MAX];
    char endpoint_set[JD_NAME_MAX];
    unsigned slots;
    uint64_t target_started; /* ms since 1970, 0: unknown */
    uint64_t changed_at;     /* time of the last change */
    bool is_pending;
    uint64_t source_link; /* number of the link it came over, 0: none */
    bool is_suspect;
    bool is_orphan;      /* suspect only because its parent was lost */
    uint64_t suspect_at; /* time at which a suspect counts as lost */
    void *user;          /* state of the embedding program */
} JdMember;

TAILQ_HEAD(JdMemberList, JdMember);

/* The members that serve one endpoint set. */
typedef struct JdMemberSet {
    struct JdMemberList members;
    unsigned count;
    unsigned cursor;
} JdMemberSet;

typedef struct JdMembers {
    struct JdMemberList all;
    struct JdMemberList pending;
    struct JdMemberList suspects;
    const char *self_id; /* a member that is never suspected, or NULL */
    void *by_id;         /* hash tables of the implementation */
    void *by_set;
    uint64_t bucket_digest[JD_MEMBER_BUCKETS];
    unsigned count;
    unsigned count_by_state[JD_MEMBER_STATE_MAX];
    JdClock *clock;
    JdCounters *counters;
    /* Told of changed states; may be NULL. */
    void (*state_changed)(void *ctx, const JdMember *mb, JdMemberState old);
    void *ctx;
} JdMembers;

void JdMembers_Init(JdMembers *ms, JdClock *clk, JdCounters *ctr);
void JdMembers_Finish(JdMembers *ms);
JdMember *JdMembers_Find(const JdMembers *ms, const char *id);
JdMemberSet *JdMembers_FindSet(const JdMembers *ms, const char *endpoint_set);
JdMember *JdMembers_Update(JdMembers *ms, const Jd__Member *msg,
                           uint64_t source);
void JdMembers_Suspect(JdMembers *ms, JdMember *mb, uint64_t grace);
unsigned JdMembers_Expire(JdMembers *ms, uint64_t grace);
void JdMembers_Encode(const JdMember *mb, Jd__Member *msg);
size_t JdMembers_BucketOf(const char *id);
void JdMembers_ClearPending(JdMembers *ms, JdMember *mb);
void JdMembers_Prune(JdMembers *ms, uint64_t age);

/* ---- tree.c: distribution ---------------------------------------------- */

#define JD_CANDIDATES_MAX 64
#define JD_TREE_PATH_MAX 16
#define JD_LAGGARDS_MAX 8

/* Tuning, of which two presets exist. */
typedef struct JdTreeTuning {
    unsigned fan_out;          /* children beyond which only heads are taken */
    unsigned heads_per_domain; /* heads wanted in each failure domain */
    uint64_t heartbeat_interval; /* us between beats on a link */
    uint64_t link_timeout;  /* us without a word after which a link is dead */
    uint64_t join_timeout;  /* us for an answer to a join */
    uint64_t push_interval; /* us between two pushes of a leader, 0: none */
    uint64_t update_delay;  /* us for which member news are gathered */
    uint64_t
        max_source_age; /* us of source age after which heads probe the log */
    uint64_t reparent_interval; /* us between tries for a better parent */
    uint64_t promotion_delay; /* us, range of the random wait of a volunteer */
} JdTreeTuning;

typedef enum JdPreset {
    JD_PRESET_CONVERGENCE,   /* least time until a version is in force */
    JD_PRESET_CONTROL_BYTES, /* least control traffic */
    JD_PRESET_MAX
} JdPreset;

const char *JdPreset_Name(JdPreset preset);
const JdTreeTuning *JdPreset_Tuning(JdPreset preset);

typedef struct JdTreeIdentity {
    char id[JD_NAME_MAX];
    uint64_t incarnation;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char peer_address[JD_ADDRESS_MAX];
    char admin_address[JD_ADDRESS_MAX];
    char log_region[JD_NAME_MAX];
    char service[JD_NAME_MAX];
    char endpoint_set[JD_NAME_MAX];
    unsigned slots;
    uint64_t target_started; /* ms since 1970, 0: unknown */
    unsigned link_kbps;      /* width of the node's link, 0: not known */
} JdTreeIdentity;

/* A peer is a connection of the embedding program, named by its pointer. */
typedef struct JdTreeOps {
    /* Starts a connection; JdTree_Connected or JdTree_Closed follows. */
    void *(*dial)(void *ctx, const char *address);
    void (*send)(void *ctx, void *peer, Jd__Frame *frame);
    /* Drops a connection; no JdTree_Closed follows. */
    void (*close)(void *ctx, void *peer);
    /* Returns the bytes that wait to be sent to a peer. */
    size_t (*backlog)(void *ctx, void *peer);
    /* Reads the directory stream; JdTree_Directory follows. */
    void (*read_directory)(void *ctx);
    /* Appends this node to the directory; JdTree_Announced follows. */
    void (*register_head)(void *ctx);
    /* Takes a head that is gone out of the directory; may be NULL. */
    void (*deregister_head)(void *ctx, const char *id);
    /* Starts or stops reading the config stream. */
    void (*read_log)(void *ctx, bool on);
    /* A version came into force, or readiness changed. */
    void (*status_changed)(void *ctx);
    /* Another parent, or none where `id` is NULL; may be NULL. */
    void (*parent_changed)(void *ctx, const char *id);
    /* A member's state changed; may be NULL. */
    void (*member_changed)(void *ctx, const JdMember *mb, JdMemberState old);
} JdTreeOps;

typedef enum JdLinkState {
    JD_LINK_NONE,
    JD_LINK_DIALING,
    JD_LINK_JOINING,
    JD_LINK_ATTACHED,
    JD_LINK_STATE_MAX
} JdLinkState;

/* A link upwards. */
typedef struct JdUplink {
    JdLinkState state;
    void *peer;
    uint64_t link_id; /* of the link, unique in the process */
    char id[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    bool is_ready;
    uint64_t version;
    uint64_t heard_at;
    uint64_t
        source_heard_at;   /* own time at which the log last spoke, as told */
    uint64_t behind_since; /* since when the parent is known to be ahead */
} JdUplink;

/* A link downwards. */
typedef struct JdChild {
    TAILQ_ENTRY(JdChild) link;
    void *peer;
    uint64_t link_id; /* of the link, unique in the process */
    char id[JD_NAME_MAX];
    bool is_head;
    unsigned link_kbps; /* 0: not known */
    uint64_t sent_version;
    uint64_t heard_at;
    unsigned subtree_count;
    uint64_t min_version;
    char laggard[JD_LAGGARDS_MAX][JD_NAME_MAX];
    unsigned laggard_count;
} JdChild;

typedef struct JdCandidate {
    char id[JD_NAME_MAX];
    char address[JD_ADDRESS_MAX];
    bool is_remote_domain; /* a head of another failure domain */
} JdCandidate;

/* One record of the directory stream: a node that is or was a head. */
typedef struct JdDirectoryEntry {
    char id[JD_NAME_MAX];
    uint64_t incarnation;
    char region[JD_NAME_MAX];
    char domain[JD_NAME_MAX];
    char address[JD_ADDRESS_MAX];
    uint64_t rank;
} JdDirectoryEntry;

#define JD_DIRECTORY_MAX 128

typedef struct JdTree {
    JdTreeIdentity self;
    JdTreeTuning tuning;
    JdStore *store;
    JdMembers members;
    JdClock *clock;
    JdRandom random;
    JdCounters *counters;
    const JdTreeOps *ops;
    void *ctx;
    JdMemberState state; /* of the target beside this node */
    uint64_t seq;
    uint64_t head_rank;
    bool was_head; /* the directory names an earlier process as head */
    bool is_registering;
    bool is_reparenting; /* the trial is for a better parent only */
    bool is_root;        /* reads the log for want of a parent */
    bool is_reading_log;
    bool is_ready;
    bool is_leaving;
    bool is_promotion_pending; /* reads the directory in order to volunteer */
    bool is_directory_read;
    uint64_t search_domain_rank; /* newest head of the domain in this search */
    uint64_t
        failed_domain_rank; /* newest head of the domain that did not answer */
    uint64_t register_sent_at;
    JdDirectoryEntry directory[JD_DIRECTORY_MAX];
    unsigned directory_len;
    uint64_t log_answered_at; /* time of the log's last word to this node */
    uint64_t promote_sent_at;
    uint64_t root_since;
    JdUplink parent;
    JdUplink join_attempt; /* a candidate that may become the parent */
    JdTimer join_timer;
    JdCandidate candidate[JD_CANDIDATES_MAX];
    unsigned candidate_count;
    unsigned next_candidate;
    unsigned redirect_count;
    unsigned failed_searches; /* searches in vain, in a row */
    char path[JD_TREE_PATH_MAX][JD_NAME_MAX];
    unsigned path_len;
    char root_admin[JD_ADDRESS_MAX];
    TAILQ_HEAD(JdChildHead, JdChild) children;
    unsigned child_count;
    uint64_t last_link_id; /* numbered so far */
    uint64_t pushed_at;    /* time of the last push as a leader */
    JdTimer heartbeat_timer;
    JdTimer search_timer;
    JdTimer push_timer;
    JdTimer update_timer;
    JdTimer promotion_timer;
    uint64_t next_reparent_at;
    uint64_t reparent_wait;
    uint64_t next_pull_at;
} JdTree;

/* What a subtree reports of itself. */
typedef struct JdTreeReport {
    unsigned node_count;
    uint64_t min_version;
    char laggard[JD_LAGGARDS_MAX][JD_NAME_MAX];
    unsigned laggard_count;
} JdTreeReport;

void JdTree_Init(JdTree *tr, const JdTreeIdentity *self,
                 const JdTreeTuning *tune, JdStore *st, JdClock *clk,
                 JdCounters *ctr, const JdTreeOps *ops, void *ctx);
void JdTree_Finish(JdTree *tr);
void JdTree_Start(JdTree *tr);
void JdTree_Leave(JdTree *tr);
void JdTree_SetService(JdTree *tr, const char *service,
                       const char *endpoint_set);
void JdTree_SetTarget(JdTree *tr, uint64_t started, unsigned slots,
                      JdMemberState state);
void JdTree_SetState(JdTree *tr, JdMemberState state);
void JdTree_Connected(JdTree *tr, void *peer);
void JdTree_Closed(JdTree *tr, void *peer);
void JdTree_HandleFrame(JdTree *tr, void *peer, const Jd__Frame *frame);
void JdTree_DirectoryRead(JdTree *tr, const JdLogAnswer *ans);
void JdTree_HeadRegistered(JdTree *tr, JdStatus status, uint64_t offset);
void JdTree_LogAnswered(JdTree *tr, bool caught_up);
void JdTree_VersionApplied(JdTree *tr);
void JdTree_Report(const JdTree *tr, JdTreeReport *out);
uint64_t JdTree_SourceAge(const JdTree *tr);
char *JdTree_EncodeDirectoryRecord(const JdTree *tr);

#endif
