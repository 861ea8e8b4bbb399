/* Insides of libjacinthdyke, shared by its files only. */
#ifndef LIBJD_H
#define LIBJD_H

#include "jacinthdyke.h"

/* 64-bit FNV-1a hash, for rendezvous order and table buckets. */
uint64_t _Jd_Hash(const void *data, size_t len, uint64_t seed);
uint64_t _Jd_HashText(const char *text, uint64_t seed);

/* Copies a name, cutting it at the size of the destination. */
void _Jd_CopyText(char *dst, size_t size, const char *src);

/* Longest path prefix of a route, in bytes. */
#define _JD_ROUTE_NAME_LIMIT 200

/* digest.c */
void _JdDigest_Add(JdDigest *dig, JdTable table, const char *name,
                   json_t *val);
void _JdDigest_Remove(JdDigest *dig, JdTable table, const char *name,
                      json_t *val);

/* choice.c */
JdTargetStats *_JdBalancer_TargetStats(const JdBalancer *ch, JdMember *mb);
bool _JdBalancer_IsEjected(const JdBalancer *ch, const JdTargetStats *ts);

#endif
