/* HTTP client of the platform's append-only log. */
#ifndef JD_PLATFORM_LOG_H
#define JD_PLATFORM_LOG_H

#include "../base/base.h"

/* Called with the result of a read; `ans` is valid during the call only. */
typedef void (*JdLogReadDone)(void *ctx, uint64_t token,
                              const JdLogAnswer *ans);
/*
 * Called with the result of an append.  `status` is JD_OK; JD_ERR_REFUSED or
 * JD_ERR_UNREACHABLE when the record was certainly not appended; or
 * JD_ERR_UNKNOWN_RESULT when it may have been.  `offset` and `at`, the time of
 * the record by the log's clock in us, are valid with JD_OK only.
 */
typedef void (*JdLogAppendDone)(void *ctx, JdStatus status, uint64_t offset,
                                uint64_t at);

typedef struct JdLog {
    JdHttpc http;
    JdLoop *loop;
    JdCounters *counters;
    uint64_t timeout; /* of a request, us; a read adds its long-poll wait */
} JdLog;

JdStatus JdLog_Init(JdLog *lg, JdLoop *lp, const char *address,
                    JdCounters *ctr, JdError *err);
void JdLog_Finish(JdLog *lg);
void JdLog_Read(JdLog *lg, const char *stream, uint64_t from, unsigned max,
                uint64_t wait, uint64_t token, JdLogReadDone done, void *ctx);
void JdLog_ReadTail(JdLog *lg, const char *stream, unsigned max,
                    uint64_t token, JdLogReadDone done, void *ctx);
void JdLog_Append(JdLog *lg, const char *stream, const char *text,
                  JdLogAppendDone done, void *ctx);

#endif
