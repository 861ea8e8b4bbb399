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

/* choice.c */
JdTargetStats *_JdBalancer_TargetStats(const JdBalancer *lb, JdMember *mb);
bool _JdBalancer_IsEjected(const JdBalancer *lb, const JdTargetStats *ts);

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
