/* Client of the platform's append-only log, over HTTP. */
#ifndef JD_PLATFORM_LOG_H
#define JD_PLATFORM_LOG_H

#include "../base/base.h"

typedef void (*JdLogReadDone)(void *ctx, uint64_t token,
                              const JdLogAnswer *ans);
/*
 * `status` is JD_OK, JD_ERR_REFUSED or JD_ERR_UNREACHABLE when the record was
 * certainly not appended, or JD_ERR_UNKNOWN_RESULT.
 */
typedef void (*JdLogAppendDone)(void *ctx, JdStatus status, uint64_t offset,
                                uint64_t at);

typedef struct JdLog {
    JdHttpc http;
    JdLoop *loop;
    JdCounters *counters;
    uint64_t timeout; /* us, on top of a read's wait */
} JdLog;

JdStatus JdLog_Init(JdLog *lg, JdLoop *lp, const char *address,
                    JdCounters *ctr, JdError *err);
void JdLog_Finish(JdLog *lg);
void JdLog_Read(JdLog *lg, const char *stream, uint64_t from, unsigned most,
                uint64_t wait, uint64_t token, JdLogReadDone done, void *ctx);
void JdLog_ReadTail(JdLog *lg, const char *stream, unsigned most,
                    uint64_t token, JdLogReadDone done, void *ctx);
void JdLog_Append(JdLog *lg, const char *stream, const char *text,
                  JdLogAppendDone done, void *ctx);

#endif
