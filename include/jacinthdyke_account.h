/*
 * Client accounts and their keys.  Include jacinthdyke.h instead of this file.
 */
#ifndef JACINTHDYKE_ACCOUNT_H
#define JACINTHDYKE_ACCOUNT_H

/* ---- lib/account/key.c: the account that a key belongs to -------------- */

/* Size of the SHA-256 digest of a key in hexadecimal, with its NUL. */
#define JD_KEY_DIGEST_SIZE 65

/* Characters of that digest that logs name. */
#define JD_KEY_DIGEST_LOGGED 8

/* A client account, as a configuration holds it. */
typedef struct JdAccount {
    const char *name;
    unsigned priority; /* takes precedence over that of routes */
    uint64_t rate;     /* requests per 1000 s over all nodes, 0: no limit */
    uint64_t burst;    /* requests beyond the rate that may come at once */
} JdAccount;

/* The accounts of a configuration by the digests of their keys.  Versions that
 * have the same accounts share it. */
typedef struct JdAccountIndex {
    unsigned ref_count;
    void *by_digest; /* GHashTable: digest to account name; NULL: not built */
} JdAccountIndex;

JdAccountIndex *JdAccountIndex_New(void);
JdAccountIndex *JdAccountIndex_Ref(JdAccountIndex *ix);
void JdAccountIndex_Unref(JdAccountIndex *ix);
void JdAccountKey_Digest(const char *key, size_t len,
                         char digest[JD_KEY_DIGEST_SIZE]);
JdStatus JdConfig_IndexAccounts(const JdConfig *cfg, JdError *err);
bool JdConfig_HasAccounts(const JdConfig *cfg);
bool JdConfig_HasRates(const JdConfig *cfg);
bool JdConfig_GetAccount(const JdConfig *cfg, const char *name,
                         JdAccount *out);
bool JdConfig_FindAccount(const JdConfig *cfg,
                          const char digest[JD_KEY_DIGEST_SIZE],
                          JdAccount *out);

/* ---- quotas ------------------------------------------------------------ */

struct JdMembers;
struct JdMember;

/* Accounts are spread over this many shards, each with an allocator. */
#define JD_QUOTA_SHARDS 4

/* Time for which a node lends its part of a shard to the allocator, from an
 * answer that it echoes in the next report: three reports. */
#define JD_QUOTA_LEASE (1500 * JD_US_PER_MS)

/* What happened to a shard or an account, for logs. */
typedef enum JdQuotaEvent {
    JD_QUOTA_ENROLLED,  /* this node lends its part to the allocator */
    JD_QUOTA_UNLENT,    /* this node uses its own part */
    JD_QUOTA_EXHAUSTED, /* at the allocator: an account has no tokens left */
    JD_QUOTA_HAS_ROOM,  /* it has again */
    JD_QUOTA_EVENT_MAX
} JdQuotaEvent;

typedef enum JdQuotaResult {
    JD_QUOTA_TAKEN,   /* the request may begin */
    JD_QUOTA_REFUSED, /* it is beyond the quota */
    JD_QUOTA_WAITING, /* JdQuotaWait.done follows, unless it is cancelled */
    JD_QUOTA_RESULT_MAX
} JdQuotaResult;

/* Callbacks into the embedding program.  A peer is a connection that a report
 * or an ask came over; NULL is this node itself. */
typedef struct JdQuotaOps {
    /* Returns a time in us that counts while the VM is suspended. */
    uint64_t (*read_clock)(void *ctx);
    /* Finds an account of the configuration in force. */
    bool (*get_account)(void *ctx, const char *name, JdAccount *out);
    void (*send_to_member)(void *ctx, const struct JdMember *mb,
                           Jd__Frame *frame);
    void (*send_to_peer)(void *ctx, void *peer, Jd__Frame *frame);
    /* `name` is that of an allocator or an account; may be NULL. */
    void (*changed)(void *ctx, JdQuotaEvent event, unsigned shard,
                    const char *name);
} JdQuotaOps;

struct JdQuota;
struct JdQuotaRecord;

/* A request that waits for a token. */
typedef struct JdQuotaWait {
    TAILQ_ENTRY(JdQuotaWait) link;     /* those of an account */
    TAILQ_ENTRY(JdQuotaWait) all_link; /* all of the node, by time */
    struct JdQuotaRecord *record;
    uint64_t until;
    /* `retry_after` is in us and only set for a refusal. */
    void (*done)(void *ctx, JdQuotaResult result, uint64_t retry_after);
    void *ctx;
} JdQuotaWait;

/* What a node knows of an account that it gets requests of. */
typedef struct JdQuotaRecord {
    TAILQ_ENTRY(JdQuotaRecord) link; /* all, the last used one first */
    char name[JD_NAME_MAX];
    unsigned shard;
    unsigned tokens;
    uint64_t tokens_end;  /* time from which they are not used any more */
    uint64_t fresh_until; /* the same for the last one that was not returned */
    uint64_t closed_until; /* the allocator has no token before */
    uint64_t spread;       /* time in us over which refused callers return */
    uint64_t scarce_round; /* of the shard when it was scarce */
    bool is_asking;
    uint64_t asked_at;
    unsigned prepaid;      /* used ahead of the allocator's answer */
    unsigned prepaid_told; /* those that the last ask named */
    unsigned returned;     /* not used, not told to the allocator yet */
    /* Requests in a second, on average, and when it was computed. */
    double demand;
    uint64_t demand_at;
    /* Tokens of this node's own part, and when they were computed. */
    double own;
    uint64_t own_at;
    uint64_t last_used_at;
    TAILQ_HEAD(JdQuotaWaitHead, JdQuotaWait) waits;
    unsigned wait_count;
    uint64_t granted_count;
    uint64_t used_count;
    uint64_t refused_count;
} JdQuotaRecord;

/* A node's part in one shard. */
typedef struct JdQuotaShard {
    char allocator[JD_NAME_MAX]; /* empty: none */
    uint64_t incarnation;        /* of the allocator */
    uint64_t contacted_at;       /* first report to it */
    uint64_t echo;               /* its clock in its last answer, 0: none */
    uint64_t heard_at;           /* time of that, 0: never */
    /* This node does not use its own part until this time. */
    uint64_t lent_until;
    bool is_lent;
    uint64_t unlent_at; /* end of the last time that it was lent */
    uint64_t ending_at; /* first report that ended it, 0: none */
    uint64_t round;     /* of the lists of scarce accounts */
    bool are_all_scarce;
} JdQuotaShard;

/* An account at the allocator of its shard. */
typedef struct JdQuotaBucket {
    TAILQ_ENTRY(JdQuotaBucket) link;
    char name[JD_NAME_MAX];
    double level;     /* tokens; negative after prepaid ones */
    double filled_to; /* lent time of the shard, s, up to which it is filled */
    double brought_to; /* the same for the parts that nodes brought */
    bool is_scarce;    /* nodes ask before they use tokens */
    bool is_exhausted; /* an ask was refused */
    uint64_t exhausted_at;
    /* Requests refused lately, a decaying count, and when it was computed. */
    double refused;
    uint64_t refused_at;
    uint64_t last_used_at;
} JdQuotaBucket;

/* A node that lends its part of a shard to this allocator. */
typedef struct JdQuotaEnrolment {
    TAILQ_ENTRY(JdQuotaEnrolment) link;
    char id[JD_NAME_MAX];
    void *peer;     /* NULL: this node itself, if `has_peer` */
    bool has_peer;  /* false: its connection has closed */
    double part;    /* of the rates, at most 1 */
    uint64_t until; /* end of the loan, by this node's clock */
} JdQuotaEnrolment;

/* A shard whose allocator this node is, in the view of some nodes. */
typedef struct JdQuotaAllocator {
    TAILQ_HEAD(JdQuotaEnrolmentHead, JdQuotaEnrolment) enrolments;
    void *by_id;      /* GHashTable: node id to JdQuotaEnrolment */
    void *by_account; /* GHashTable: account name to JdQuotaBucket */
    TAILQ_HEAD(JdQuotaBucketHead, JdQuotaBucket) buckets;
    double part_sum;
    double brought;       /* sum of the parts that nodes began to lend */
    double lent_time;     /* s: integral over time of the sum, at most 1 */
    uint64_t counted_to;  /* time up to which that is counted */
    uint64_t next_end;    /* end of the enrolment that ends first */
    bool is_list_changed; /* of scarce accounts, since it was sent */
} JdQuotaAllocator;

/* Quotas of client accounts, as one node keeps them. */
typedef struct JdQuota {
    const JdQuotaOps *ops;
    void *ctx;
    JdClock *clock;
    JdRandom *random;
    JdCounters *counters;
    struct JdMembers *members;
    const char *id; /* of this node */
    bool is_active; /* some account has a rate */
    JdQuotaShard shard[JD_QUOTA_SHARDS];
    JdQuotaAllocator allocator[JD_QUOTA_SHARDS];
    unsigned next_shard; /* to report next */
    void *by_name;       /* GHashTable: account name to JdQuotaRecord */
    TAILQ_HEAD(JdQuotaRecordHead, JdQuotaRecord) records;
    unsigned record_count;
    /* Sums of the records that were dropped. */
    uint64_t dropped_granted, dropped_used, dropped_refused;
    TAILQ_HEAD(JdQuotaAllWaitHead, JdQuotaWait) waits;
    JdTimer wait_timer;
    JdTimer report_timer;
} JdQuota;

/* lib/account/quota.c: requests and tokens */
void JdQuota_Init(JdQuota *qt, const JdQuotaOps *ops, void *ctx, JdClock *clk,
                  JdRandom *rnd, JdCounters *ctr, struct JdMembers *ms,
                  const char *id);
void JdQuota_Finish(JdQuota *qt);
JdQuotaResult JdQuota_Take(JdQuota *qt, const JdAccount *account,
                           JdQuotaWait *wait, uint64_t *retry_after);
void JdQuota_Cancel(JdQuota *qt, JdQuotaWait *wait);
void JdQuota_Return(JdQuota *qt, const char *account);
void JdQuota_HandleGrant(JdQuota *qt, const Jd__QuotaGrant *msg);

/* lib/account/shard.c: allocators, and the parts that are lent to them */
unsigned JdQuota_ShardOf(const char *account);
const struct JdMember *JdQuota_ChooseAllocator(const struct JdMembers *ms,
                                               unsigned shard);
void JdQuota_SetActive(JdQuota *qt, bool is_active);
void JdQuota_EndLoans(JdQuota *qt);

/* lib/account/allocator.c: grants */
void JdQuota_HandleReport(JdQuota *qt, void *peer, const Jd__QuotaReport *msg);
void JdQuota_HandleAsk(JdQuota *qt, void *peer, const Jd__QuotaAsk *msg);
void JdQuota_PeerClosed(JdQuota *qt, void *peer);

#endif
