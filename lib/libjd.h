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

#endif
