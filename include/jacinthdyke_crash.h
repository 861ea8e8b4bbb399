/*
 * Requests under which targets crashed.  Include jacinthdyke.h instead of this
 * file.
 */
#ifndef JACINTHDYKE_CRASH_H
#define JACINTHDYKE_CRASH_H

/* ---- fingerprint.c, crash.c, crash_text.c: requests that crash targets -- */

/* Identifies a request by what a target gets of it, whoever takes it and
 * whatever its id is. */
typedef struct JdFingerprint {
    uint64_t word[2]; /* of method, host, path and body */
    uint64_t caller;  /* of the calling service */
} JdFingerprint;

/* The fingerprint of a request, computed when it is first needed. */
typedef struct JdLazyFingerprint {
    JdFingerprint fingerprint;
    bool is_known;
} JdLazyFingerprint;

/* Size of the words of a fingerprint as text, with the NUL. */
#define JD_FINGERPRINT_TEXT_MAX 33

/* Crashes under a caller's request after which it is refused. */
#define JD_CRASH_LIMIT 3
/* The same, once the request has reached JD_CRASH_LIMIT with all callers. */
#define JD_CRASH_LIMIT_SHARED 2
/* Crashes that are remembered of one request. */
#define JD_CRASHES_PER_REQUEST 12
/* Requests that are remembered. */
#define JD_CRASH_RECORDS_MAX 1024

/* Places for requests that were answered lately. */
#define JD_ANSWERED_MAX 256

/* A process of a target that crashed while it was running a request. */
typedef struct JdCrash {
    uint64_t
        process;     /* JdCrash_ProcessId; 0: none, only `is_cleared` counts */
    uint64_t caller; /* as in JdFingerprint */
    /* A target has answered this caller's request since, so that it is not the
     * cause. */
    bool is_cleared;
} JdCrash;

/* The crashes of one request.  The records of two nodes are merged by adding
 * the crashes that one of them lacks; a cleared crash remains cleared. */
typedef struct JdCrashRecord {
    TAILQ_ENTRY(JdCrashRecord) link;
    TAILQ_ENTRY(JdCrashRecord) pending_link; /* changes not forwarded yet */
    JdFingerprint request;
    JdCrash crash[JD_CRASHES_PER_REQUEST];
    unsigned crash_count;
    uint64_t used_at; /* time of the last change, or of the last refusal */
    bool is_pending;
    uint64_t source_link; /* link that the last change came over, 0: none */
    /* What the source of configuration is known to hold: this request, and
       these crashes of it. */
    bool is_listed;
    bool is_stored;
    bool is_expired; /* not used for long; removed once it is not listed */
} JdCrashRecord;

TAILQ_HEAD(JdCrashRecordList, JdCrashRecord);

/* The requests under which targets crashed, as far as this node knows. */
typedef struct JdCrashTable {
    struct JdCrashRecordList all;
    struct JdCrashRecordList pending;
    void *by_request; /* GHashTable: JdFingerprint to JdCrashRecord */
    unsigned count;
    JdClock *clock;
    /* Called when a record changed; may be NULL. */
    void (*changed)(void *ctx, JdCrashRecord *rec);
    void *ctx;
} JdCrashTable;

/* Requests that a target has answered lately.  Of two that share a place, the
 * later one is remembered. */
typedef struct JdAnsweredRequests {
    struct {
        JdFingerprint request;
        uint64_t at; /* 0: unused */
    } place[JD_ANSWERED_MAX];
} JdAnsweredRequests;

/* Size of a record's crashes as text, with the NUL. */
#define JD_CRASHES_TEXT_MAX (JD_CRASHES_PER_REQUEST * 33 + 1)

void JdAnsweredRequests_Add(JdAnsweredRequests *ar, const JdFingerprint *fp,
                            uint64_t now);
bool JdAnsweredRequests_Has(const JdAnsweredRequests *ar,
                            const JdFingerprint *fp, uint64_t now);
uint64_t JdCrash_ProcessId(const char *node, uint64_t started);
void JdCrashTable_Init(JdCrashTable *ct, JdClock *clk);
void JdCrashTable_Finish(JdCrashTable *ct);
JdCrashRecord *JdCrashTable_Find(const JdCrashTable *ct,
                                 const JdFingerprint *fp);
void JdCrashTable_Add(JdCrashTable *ct, const JdFingerprint *fp,
                      const JdCrash *crash, uint64_t source_link);
bool JdCrashTable_Blames(const JdCrashTable *ct, const JdFingerprint *fp,
                         uint64_t process);
void JdCrashTable_Record(JdCrashTable *ct, const JdFingerprint *fp,
                         uint64_t process);
void JdCrashTable_Clear(JdCrashTable *ct, const JdFingerprint *fp);
bool JdCrashTable_ClearText(JdCrashTable *ct, const char *request);
bool JdCrashTable_Suspects(const JdCrashTable *ct, JdLazyFingerprint *lazy,
                           const Jd__Request *msg);
bool JdCrashTable_Refuses(JdCrashTable *ct, JdLazyFingerprint *lazy,
                          const Jd__Request *msg);
bool JdCrashTable_IsSuspect(const JdCrashTable *ct, const JdFingerprint *fp);
bool JdCrashTable_IsRefused(JdCrashTable *ct, const JdFingerprint *fp);
void JdCrashTable_ClearPending(JdCrashTable *ct, JdCrashRecord *rec);
void JdCrashTable_Prune(JdCrashTable *ct);
unsigned JdCrashRecord_CountCrashes(const JdCrashRecord *rec);
bool JdCrashRecord_IsRefused(const JdCrashRecord *rec);
void JdCrashRecord_Format(const JdCrashRecord *rec,
                          char out[JD_CRASHES_TEXT_MAX]);
JdCrashRecord *JdCrashTable_Parse(JdCrashTable *ct, const char *request,
                                  size_t request_len, const char *crashes,
                                  size_t crashes_len);

void JdFingerprint_OfRequest(JdFingerprint *fp, const Jd__Request *msg);
const JdFingerprint *JdLazyFingerprint_Get(JdLazyFingerprint *lazy,
                                           const Jd__Request *msg);
bool JdFingerprint_IsCopy(const JdFingerprint *a, const JdFingerprint *b);
void JdFingerprint_Format(const JdFingerprint *fp,
                          char out[JD_FINGERPRINT_TEXT_MAX]);

#endif
