/* The fake log: streams in memory, delays, outages, lost answers, expiry. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define TAIL_MOST 128

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

void
SimLog_Expire(JdStream stream, unsigned keep)
{
    while (sim.log_records[stream]->len > keep) {
        g_free(g_ptr_array_remove_index(sim.log_records[stream], 0));
        sim.first_offset[stream]++;
    }
}

static uint64_t
log_delay(const SimNode *nd)
{
    uint64_t base = nd->domain >= 2 ? 40 : 2;

    return base * JD_US_PER_MS + JdRandom_Below(&sim.random, JD_US_PER_MS);
}

static SimLogRequest *
new_call(SimNode *nd, JdStream stream)
{
    SimLogRequest *c = g_new0(SimLogRequest, 1);

    c->node = nd;
    c->incarnation = nd->incarnation;
    c->stream = stream;
    c->arrives_at = sim.now + log_delay(nd);
    c->poll_deadline = c->arrives_at;
    TAILQ_INSERT_TAIL(&sim.log_requests, c, link);
    return c;
}

static void
on_read(void *ctx, JdStream stream, uint64_t from, unsigned most,
        uint64_t wait, uint64_t token)
{
    SimLogRequest *c = new_call(ctx, stream);

    c->start_offset = from;
    c->max_records = most;
    c->token = token;
    c->poll_deadline = c->arrives_at + wait;
}

void
SimLog_ReadDirectory(void *ctx)
{
    SimLogRequest *c = new_call(ctx, JD_STREAM_DIRECTORY);

    c->is_directory = true;
    c->max_records = TAIL_MOST;
}

void
SimLog_RegisterHead(void *ctx)
{
    SimNode *nd = ctx;
    SimLogRequest *c = new_call(nd, JD_STREAM_DIRECTORY);

    c->record_text = JdTree_EncodeDirectoryRecord(&nd->tree);
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
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
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

const JdReaderOps sim_reader_ops = {on_read, on_decided, on_caught_up};

static void
give(SimLogRequest *c, JdStatus status)
{
    SimNode *nd = c->node;
    JdRecord rec[600];
    JdLogAnswer ans = {.status = status,
                       .first_offset = sim.first_offset[c->stream],
                       .next_offset = next_offset(c->stream),
                       .record = rec};
    uint64_t from = c->start_offset;

    if (c->is_directory) {
        from = ans.next_offset > ans.first_offset + c->max_records
                   ? ans.next_offset - c->max_records
                   : ans.first_offset;
    }
    else if (status == JD_OK && from < ans.first_offset) {
        ans.status = JD_ERR_LOG_EXPIRED;
    }
    for (uint64_t o = from;
         ans.status == JD_OK && o < ans.next_offset &&
         ans.record_count < c->max_records && ans.record_count < 600;
         o++) {
        const char *text = g_ptr_array_index(sim.log_records[c->stream],
                                             o - ans.first_offset);

        rec[ans.record_count++] = (JdRecord){o, sim.now, text, strlen(text)};
    }
    if (c->is_directory) {
        JdTree_DirectoryRead(&nd->tree, &ans);
        return;
    }
    JdReader_HandleAnswer(&nd->reader, c->token, &ans);
    if (ans.status != JD_ERR_UNREACHABLE) {
        JdTree_LogAnswered(&nd->tree, nd->reader.is_caught_up);
    }
}

static void
do_append(SimLogRequest *c)
{
    uint64_t offset = next_offset(c->stream);

    if (sim.is_log_down) {
        JdTree_HeadRegistered(&c->node->tree, JD_ERR_REFUSED, 0);
        return;
    }
    SimLog_Append(c->stream, c->record_text);
    if (sim.drops_log_responses) {
        JdTree_HeadRegistered(&c->node->tree, JD_ERR_UNKNOWN_RESULT, 0);
        return;
    }
    JdTree_HeadRegistered(&c->node->tree, JD_OK, offset);
}

static bool
is_ready(const SimLogRequest *c)
{
    if (c->node->is_frozen || sim.now < c->arrives_at) {
        return false;
    }
    return c->record_text != NULL || c->is_directory || sim.is_log_down ||
           sim.now >= c->poll_deadline ||
           c->start_offset < next_offset(c->stream);
}

/* Whether the node can reach the log, which is in the first domain. */
static bool
is_cut_off(const SimNode *nd)
{
    return sim.is_partitioned[nd->domain][0];
}

static void
finish_call(SimLogRequest *c)
{
    TAILQ_REMOVE(&sim.log_requests, c, link);
    if (c->node->is_alive && c->node->incarnation == c->incarnation) {
        if (c->record_text != NULL && !is_cut_off(c->node)) {
            do_append(c);
        }
        else if (c->record_text != NULL) {
            JdTree_HeadRegistered(&c->node->tree, JD_ERR_UNREACHABLE, 0);
        }
        else {
            give(c, sim.is_log_down || is_cut_off(c->node) ? JD_ERR_UNREACHABLE
                                                           : JD_OK);
        }
    }
    free(c->record_text);
    g_free(c);
}

/* Answers the calls whose time has come. */
void
SimLog_Step(void)
{
    bool is_found = true;
    SimLogRequest *c;

    while (is_found) {
        is_found = false;
        TAILQ_FOREACH(c, &sim.log_requests, link)
        {
            if (is_ready(c)) {
                finish_call(c);
                is_found = true;
                break;
            }
        }
    }
}
