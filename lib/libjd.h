/* Declarations internal to libjacinthdyke. */
#ifndef LIBJD_H
#define LIBJD_H

#include "jacinthdyke.h"

/* 64-bit FNV-1a hash with a final mixing step, for rendezvous hashing and
 * table buckets. */
uint64_t _Jd_Hash(const void *data, size_t len, uint64_t seed);
uint64_t _Jd_HashText(const char *text, uint64_t seed);

/* Copies a string, truncated to the size of the destination; NULL is copied as
 * the empty string. */
void _Jd_CopyText(char *dst, size_t size, const char *src);

/* Maximum length of a route name (host and path prefix), in bytes. */
#define _JD_ROUTE_NAME_LIMIT 200

/* digest.c */
void _JdDigest_Add(JdDigest *dig, JdTable table, const char *name,
                   json_t *val);
void _JdDigest_Remove(JdDigest *dig, JdTable table, const char *name,
                      json_t *val);

/* crash.c */
bool _JdCrashTable_ClearAll(JdCrashTable *ct, const JdFingerprint *fp);

/* admit_time.c */
uint64_t _JdAdmission_ExpectedTime(const JdAdmission *ad, const JdWork *work);
void _JdAdmission_RecordStart(JdAdmission *ad, const JdWork *work);
uint64_t _JdAdmission_EstimateWait(JdAdmission *ad, uint64_t ahead,
                                   unsigned rank);
uint64_t _JdAdmission_TimeMargin(const JdAdmission *ad, const JdWork *work);
bool _JdAdmission_FinishesBy(const JdAdmission *ad, const JdWork *work,
                             uint64_t wait, uint64_t by);

/* admit_queue.c */
bool _JdAdmission_Precedes(const JdWork *a, const JdWork *b);
uint64_t _JdAdmission_QueuedBefore(const JdAdmission *ad, const JdWork *work);
void _JdAdmission_Enqueue(JdAdmission *ad, JdWork *work);
void _JdAdmission_Dequeue(JdAdmission *ad, JdWork *work);
void _JdAdmission_DemoteLate(JdAdmission *ad);
JdWork *_JdAdmission_FindInfeasible(JdAdmission *ad);
bool _JdAdmission_IsTypicalOfRank(const JdAdmission *ad, const JdWork *work);

/* Maximum number of targets of a tier that are considered for one request; of
 * more, a random sample is. */
#define _JD_CANDIDATES_MAX 256

/* Members of an endpoint set that may be picked, by tier. */
typedef struct _JdCandidates {
    JdMember *list[JD_TIER_MAX][_JD_CANDIDATES_MAX];
    unsigned count[JD_TIER_MAX];
    unsigned full[JD_TIER_MAX]; /* candidates at full load */
    unsigned seen[JD_TIER_MAX]; /* members that may be picked */
} _JdCandidates;

/* Health that a target needs to be picked.  The filters are tried in this
 * order until a target passes. */
typedef enum _JdHealthFilter {
    _JD_FILTER_HEALTHY, /* ready, not ejected, stalled or rate limited */
    _JD_FILTER_READY,
    _JD_FILTER_READY_OR_LOST, /* perhaps only this node lost contact */
    _JD_FILTER_MAX
} _JdHealthFilter;

/* candidates.c */
JdTargetStats *_JdBalancer_TargetStats(const JdBalancer *lb, JdMember *mb);
bool _JdBalancer_IsEjected(const JdBalancer *lb, const JdTargetStats *ts);
unsigned _JdBalancer_Weight(const JdBalancer *lb, const JdTargetStats *ts);
JdTier _JdBalancer_TierOf(const JdBalancer *lb, const JdMember *mb);
bool _JdBalancer_Passes(const JdBalancer *lb, JdMember *mb,
                        _JdHealthFilter filter);
bool _JdBalancer_IsExcluded(const JdExcludedTargets *excluded,
                            const JdMember *mb);
void _JdBalancer_Collect(const JdBalancer *lb, const JdMemberSet *set,
                         const JdExcludedTargets *excluded,
                         _JdHealthFilter filter, _JdCandidates *out);

/* work.c */
void _JdTargetView_Add(JdTargetView *tv, const JdWorkReport *rep,
                       double usual_time, uint64_t now);

/* placing.c */
JdPlacingSet *_JdPlacing_Get(JdPlacing *pl, const char *endpoint_set);
double _JdPlacingSet_RouteTime(const JdPlacingSet *ps, const char *route);
bool _JdPlacingSet_IsSmall(const JdPlacingSet *ps, const char *route);
void _JdPlacing_Record(JdPlacing *pl, const char *endpoint_set,
                       JdTargetView *tv, JdTier tier, const JdWorkReport *rep,
                       uint64_t took, uint64_t now);

/* account/: parts of the quotas */
bool _JdQuota_IsLent(JdQuota *qt, unsigned shard, uint64_t now);
double _JdQuota_StartTokens(const JdAccount *account);
double _JdQuota_OwnPart(const JdQuota *qt);
void _JdQuota_SendToAllocator(JdQuota *qt, const JdQuotaShard *sh,
                              Jd__Frame *frame);
void _JdQuota_HandleReportAnswer(JdQuota *qt, const Jd__QuotaGrant *msg);
void _JdQuota_AskForWaiting(JdQuota *qt, unsigned shard);
JdQuotaRecord *_JdQuota_GetRecord(JdQuota *qt, const char *name);
void _JdQuota_DropIdle(JdQuota *qt);
bool _JdQuota_IsScarce(const JdQuota *qt, const JdQuotaRecord *rec);
void _JdQuotaAllocator_Init(JdQuotaAllocator *al);
void _JdQuotaAllocator_Finish(JdQuotaAllocator *al);
void _JdQuotaAllocator_Tick(JdQuota *qt, unsigned shard, bool is_turn);

#endif
