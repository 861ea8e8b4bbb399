/*
 * The simulated log.  It keeps its streams in memory and simulates latency,
 * outages, lost answers to appends, and expiry of old records.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* A read of the directory returns at most this many of its newest records. */
#define DIRECTORY_READ_MAX 128

void
SimLog_Init(void)
{
    TAILQ_INIT(&sim.log_requests);
    for (int s = 0; s < JD_STREAM_MAX; s++) {
        sim.log_records[s] = g_ptr_array_new();
    }
}

static uint64_t
next_offset(JdStream s)
{
    return sim.first_offset[s] + sim.log_records[s]->len;
}

/*
 * Appends a record.  Config records are also replayed into the reference
 * store, whose digest of each version the nodes are checked against.
 */
void
SimLog_Append(JdStream stream, const char *text)
{
    JdReplayResult out;

    if (stream == JD_STREAM_CONFIG) {
        uint64_t before = sim.reference.config->version;

        JdStore_Replay(&sim.reference, next_offset(stream), text, strlen(text),
                       &out);
        if (sim.reference.config->version > before) {
            sim.expected_digest[sim.reference.config->version] =
                sim.reference.config->digest;
        }
    }
    g_ptr_array_add(sim.log_records[stream], g_strdup(text));
}

/* Drops the oldest records of a stream until `keep` are left. */
void
SimLog_Expire(JdStream stream, unsigned keep)
{
    while (sim.log_records[stream]->len > keep) {
        g_free(g_ptr_array_remove_index(sim.log_records[stream], 0));
        sim.first_offset[stream]++;
    }
}

/* The log is in the first region: 2 ms away there, 40 ms from the second. */
static uint64_t
log_latency(const SimNode *nd)
{
    uint64_t base = nd->domain >= 2 ? 40 : 2;

    return base * JD_US_PER_MS + JdRandom_Below(&sim.random, JD_US_PER_MS);
}

static SimLogRequest *
new_request(SimNode *nd, JdStream stream)
{
    SimLogRequest *req = g_new0(SimLogRequest, 1);

    req->node = nd;
    req->incarnation = nd->incarnation;
    req->stream = stream;
    req->arrives_at = sim.now + log_latency(nd);
    req->poll_deadline = req->arrives_at;
    TAILQ_INSERT_TAIL(&sim.log_requests, req, link);
    return req;
}

static void
on_read(void *ctx, JdStream stream, uint64_t from, unsigned max_records,
        uint64_t wait, uint64_t token)
{
    SimLogRequest *req = new_request(ctx, stream);

    req->start_offset = from;
    req->max_records = max_records;
    req->token = token;
    req->poll_deadline = req->arrives_at + wait;
}

void
SimLog_ReadDirectory(void *ctx)
{
    SimLogRequest *req = new_request(ctx, JD_STREAM_DIRECTORY);

    req->is_directory = true;
    req->max_records = DIRECTORY_READ_MAX;
}

void
SimLog_RegisterHead(void *ctx)
{
    SimNode *nd = ctx;
    SimLogRequest *req = new_request(nd, JD_STREAM_DIRECTORY);

    req->record_text = JdTree_EncodeDirectoryRecord(&nd->tree);
}

void
SimLog_SetReading(void *ctx, bool on)
{
    SimNode *nd = ctx;

    if (on) {
        JdReader_Start(&nd->reader);
    }
    else {
        JdReader_Stop(&nd->reader);
    }
}

static void
on_replayed(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    SimNode *nd = ctx;

    (void)rec;
    if (out->status == JD_OK) {
        JdTree_VersionApplied(&nd->tree);
    }
}

static void
on_caught_up(void *ctx)
{
    SimNode *nd = ctx;

    JdTree_LogAnswered(&nd->tree, true);
}

const JdReaderOps sim_reader_ops = {on_read, on_replayed, on_caught_up};

static void
answer_read(SimLogRequest *req, JdStatus status)
{
    SimNode *nd = req->node;
    JdRecord rec[600]; /* most records in one answer */
    JdLogAnswer ans = {.status = status,
                       .first_offset = sim.first_offset[req->stream],
                       .next_offset = next_offset(req->stream),
                       .record = rec};
    uint64_t from = req->start_offset;

    if (req->is_directory) {
        from = ans.next_offset > ans.first_offset + req->max_records
                   ? ans.next_offset - req->max_records
                   : ans.first_offset;
    }
    else if (status == JD_OK && from < ans.first_offset) {
        ans.status = JD_ERR_LOG_EXPIRED;
    }
    for (uint64_t o = from;
         ans.status == JD_OK && o < ans.next_offset &&
         ans.record_count < req->max_records && ans.record_count < 600;
         o++) {
        const char *text = g_ptr_array_index(sim.log_records[req->stream],
                                             o - ans.first_offset);

        rec[ans.record_count++] = (JdRecord){o, sim.now, text, strlen(text)};
    }
    if (req->is_directory) {
        JdTree_DirectoryRead(&nd->tree, &ans);
        return;
    }
    JdReader_HandleAnswer(&nd->reader, req->token, &ans);
    if (ans.status != JD_ERR_UNREACHABLE) {
        JdTree_LogAnswered(&nd->tree, nd->reader.is_caught_up);
    }
}

static void
answer_append(SimLogRequest *req)
{
    uint64_t offset = next_offset(req->stream);

    if (sim.is_log_down) {
        JdTree_HeadRegistered(&req->node->tree, JD_ERR_REFUSED, 0, 0);
        return;
    }
    SimLog_Append(req->stream, req->record_text);
    if (sim.drops_log_responses) {
        JdTree_HeadRegistered(&req->node->tree, JD_ERR_UNKNOWN_RESULT, 0, 0);
        return;
    }
    JdTree_HeadRegistered(&req->node->tree, JD_OK, 0, offset);
}

/*
 * Tells whether a request can be answered now.  A read past the end of its
 * stream waits for a record or for the end of its long poll.
 */
static bool
is_due(const SimLogRequest *req)
{
    if (req->node->is_frozen || sim.now < req->arrives_at) {
        return false;
    }
    return req->record_text != NULL || req->is_directory || sim.is_log_down ||
           sim.now >= req->poll_deadline ||
           req->start_offset < next_offset(req->stream);
}

/* Tells whether a partition separates the node from the log in domain 0. */
static bool
is_log_unreachable(const SimNode *nd)
{
    return sim.is_partitioned[nd->domain][0];
}

/* Answers a request unless the process that sent it has ended. */
static void
finish_request(SimLogRequest *req)
{
    TAILQ_REMOVE(&sim.log_requests, req, link);
    if (req->node->is_alive && req->node->incarnation == req->incarnation) {
        if (req->record_text != NULL && !is_log_unreachable(req->node)) {
            answer_append(req);
        }
        else if (req->record_text != NULL) {
            JdTree_HeadRegistered(&req->node->tree, JD_ERR_UNREACHABLE, 0, 0);
        }
        else {
            answer_read(req, sim.is_log_down || is_log_unreachable(req->node)
                                 ? JD_ERR_UNREACHABLE
                                 : JD_OK);
        }
    }
    free(req->record_text);
    g_free(req);
}

/* Answers the requests that are due. */
void
SimLog_Step(void)
{
    bool has_finished = true;
    SimLogRequest *req;

    /* Answers add and remove requests: search from the start after each. */
    while (has_finished) {
        has_finished = false;
        TAILQ_FOREACH(req, &sim.log_requests, link)
        {
            if (is_due(req)) {
                finish_request(req);
                has_finished = true;
                break;
            }
        }
    }
}
