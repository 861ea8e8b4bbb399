/* Scripted runs of the reader: the script gives the log's answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

#define RECORDS_MOST 64

static JdReader reader;
static JdStore store;
static bool is_ready;
static JdRecord records[JD_STREAM_MAX][RECORDS_MOST];
static uint64_t first[JD_STREAM_MAX], next[JD_STREAM_MAX];
static JdStream stream;
static uint64_t from, token;
static unsigned most;
static bool is_waiting;

static void
on_read(void *ctx, JdStream s, uint64_t f, unsigned m, uint64_t wait,
        uint64_t t)
{
    (void)ctx;
    printf("read %s from %llu%s\n", JdStream_Name(s), (unsigned long long)f,
           wait > 0 ? " and wait" : "");
    stream = s;
    from = f;
    most = m;
    token = t;
    is_waiting = true;
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    (void)ctx;
    printf("record %llu: %s, version %llu\n", (unsigned long long)rec->offset,
           JdStatus_Name(out->status), (unsigned long long)out->version);
}

static void
on_caught_up(void *ctx)
{
    (void)ctx;
    puts("caught up");
}

static const JdReaderOps ops = {on_read, on_decided, on_caught_up};

static void
append(JdStream s, char *text)
{
    records[s][next[s]] =
        (JdRecord){next[s], JdClock_Now(&script_clock), text, strlen(text)};
    next[s]++;
}

static void
answer(JdStatus status)
{
    JdLogAnswer ans = {.status = status,
                       .first_offset = first[stream],
                       .next_offset = next[stream]};

    if (!is_waiting) {
        return;
    }
    is_waiting = false;
    if (status == JD_OK && from < first[stream]) {
        ans.status = JD_ERR_LOG_EXPIRED;
    }
    else if (status == JD_OK && from < next[stream]) {
        ans.record = &records[stream][from];
        ans.record_count = next[stream] - from;
        ans.record_count = ans.record_count < most ? ans.record_count : most;
    }
    JdReader_HandleAnswer(&reader, token, &ans);
}

void
ScriptReader_Run(const Line *ln)
{
    const char *cmd = ln->word[1];

    if (!is_ready) {
        JdStore_Init(&store, &script_counters);
        JdReader_Init(&reader, &store, &script_clock, &ops, NULL);
        is_ready = true;
    }
    if (strcmp(cmd, "append") == 0) {
        append(JD_STREAM_CONFIG, strdup(ln->rest));
    }
    else if (strcmp(cmd, "checkpoint") == 0) {
        append(JD_STREAM_CHECKPOINTS, JdStore_MakeCheckpoint(&store));
    }
    else if (strcmp(cmd, "expire") == 0) {
        first[JD_STREAM_CONFIG] = strtoull(ln->word[2], NULL, 10);
    }
    else if (strcmp(cmd, "start") == 0) {
        JdReader_Start(&reader);
    }
    else if (strcmp(cmd, "stop") == 0) {
        JdReader_Stop(&reader);
    }
    else if (strcmp(cmd, "new") == 0) {
        /* A new process with nothing but the log. */
        JdReader_Finish(&reader);
        JdStore_Finish(&store);
        is_ready = false;
    }
    else if (strcmp(cmd, "down") == 0) {
        answer(JD_ERR_UNREACHABLE);
    }
    else if (strcmp(cmd, "state") == 0) {
        printf("version %llu next %llu%s%s\n",
               (unsigned long long)store.config->version,
               (unsigned long long)store.next_offset,
               reader.is_expired ? " expired" : "",
               store.is_halted ? " halted" : "");
    }
    else {
        answer(JD_OK);
    }
}
