/*
 * Source of a node that uses the log: connects the reader of the config stream
 * and the tree to the log, and writes checkpoints.
 */
#include <stdlib.h>
#include <string.h>

#include "../node/node.h"

/* Newest records of the directory stream that a node reads. */
#define MAX_DIRECTORY_RECORDS 128

static void
on_answer(void *ctx, uint64_t token, const JdLogAnswer *ans)
{
    JdNode *nd = ctx;
    bool was_expired = nd->reader.is_expired;

    JdReader_HandleAnswer(&nd->reader, token, ans);
    if (ans->status != JD_ERR_UNREACHABLE) {
        JdTree_LogAnswered(&nd->tree, nd->reader.is_caught_up);
    }
    if (nd->reader.is_expired && !was_expired) {
        JD_LOG(JD_EVENT_LOG_EXPIRED, JD_NUMBER("next", nd->store.next_offset));
    }
    if (nd->store.is_halted) {
        JD_LOG(JD_EVENT_HALTED, JD_NUMBER("rules", nd->store.rules_version),
               JD_NUMBER("known", JD_RULES_NEWEST));
    }
}

static void
on_read(void *ctx, JdStream stream, uint64_t from, unsigned max, uint64_t wait,
        uint64_t token)
{
    JdNode *nd = ctx;

    JdLog_Read(&nd->log, JdStream_Name(stream), from, max, wait, token,
               on_answer, nd);
}

static void
on_replayed(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    JdNode *nd = ctx;

    (void)rec;
    if (out->status == JD_OK) {
        JdTree_VersionApplied(&nd->tree);
    }
}

static void
on_caught_up(void *ctx)
{
    JdNode *nd = ctx;

    JdTree_LogAnswered(&nd->tree, true);
    if (nd->settings.baseline_poll_ms != 0) {
        JdReader_Stop(&nd->reader);
    }
}

static const JdReaderOps reader_ops = {on_read, on_replayed, on_caught_up};

/* Starts or stops this node's reader, as the tree decides. */
static void
read_log(void *ctx, bool on)
{
    JdNode *nd = ctx;

    if (nd->settings.baseline_poll_ms != 0) {
        return;
    }
    JD_LOG(JD_EVENT_LEAD, JD_NUMBER("reading", on),
           JD_NUMBER("version", nd->store.config->version));
    if (on) {
        JdReader_Start(&nd->reader);
    }
    else {
        JdReader_Stop(&nd->reader);
    }
}

static void
on_directory(void *ctx, uint64_t token, const JdLogAnswer *ans)
{
    JdNode *nd = ctx;

    (void)token;
    JdTree_DirectoryRead(&nd->tree, ans);
}

/* Reads the newest records of the directory stream for the tree. */
static void
read_directory(void *ctx)
{
    JdNode *nd = ctx;

    nd->counters.value[JD_C_LOG_READS]++;
    JdLog_ReadTail(&nd->log, JdStream_Name(JD_STREAM_DIRECTORY),
                   MAX_DIRECTORY_RECORDS, 0, on_directory, nd);
}

static void
on_head_registered(void *ctx, JdStatus status, uint64_t offset, uint64_t at)
{
    JdNode *nd = ctx;
    bool was_head = nd->tree.head_rank != 0;

    (void)at;
    JdTree_HeadRegistered(&nd->tree, status, 0, offset);
    if (!was_head && nd->tree.head_rank != 0) {
        JD_LOG(JD_EVENT_HEAD, JD_NUMBER("rank", nd->tree.head_rank));
    }
}

/* Appends this node to the directory stream as a domain head. */
static void
register_head(void *ctx)
{
    JdNode *nd = ctx;
    char *text = JdTree_EncodeDirectoryRecord(&nd->tree);

    JdLog_Append(&nd->log, JdStream_Name(JD_STREAM_DIRECTORY), text,
                 on_head_registered, nd);
    free(text);
}

static void
on_checkpoint(void *ctx, JdStatus status, uint64_t offset, uint64_t at)
{
    JdNode *nd = ctx;

    (void)offset;
    (void)at;
    nd->is_checkpointing = false;
    if (status == JD_OK) {
        nd->counters.value[JD_C_CHECKPOINTS]++;
    }
    else {
        /* Due again at the next call of maybe_checkpoint(), or after the
         * interval while the version is below checkpoint_versions. */
        nd->checkpoint_version = 0;
    }
}

/*
 * Writes a checkpoint if this node is the root of a tree, has caught up with
 * the log, and enough versions or time have passed since it last began to
 * write one.  Two roots may both write a checkpoint of the same version; their
 * contents are equal, so either can be used.
 */
static void
maybe_checkpoint(JdNode *nd)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t version = nd->store.config->version;
    bool is_due =
        version >= nd->checkpoint_version + nd->settings.checkpoint_versions ||
        now - nd->checkpoint_at >
            nd->settings.checkpoint_interval_s * JD_US_PER_S;
    char *text;

    if (!nd->tree.is_root || !nd->reader.is_caught_up || !is_due ||
        nd->is_checkpointing || version == 0) {
        return;
    }
    nd->is_checkpointing = true;
    nd->checkpoint_version = version;
    nd->checkpoint_at = now;
    text = JdStore_MakeCheckpoint(&nd->store);
    JdLog_Append(&nd->log, JdStream_Name(JD_STREAM_CHECKPOINTS), text,
                 on_checkpoint, nd);
    free(text);
}

/*
 * Baseline for measurements: this node polls the log at an interval instead of
 * getting versions through the tree.
 */
static void
on_poll(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->poll_timer,
                nd->settings.baseline_poll_ms * JD_US_PER_MS);
    JdReader_Start(&nd->reader);
}

/* Initializes the log client and the reader; starts polling if configured. */
static JdStatus
init(JdNode *nd, JdError *err)
{
    char address[JD_ADDRESS_MAX];
    JdStatus s;

    JdAddress_Translate(nd->settings.translation_rules,
                        nd->settings.log_address, address, sizeof(address));
    s = JdLog_Init(&nd->log, &nd->loop, address, &nd->counters, err);
    if (s != JD_OK) {
        return s;
    }
    JdReader_Init(&nd->reader, &nd->store, &nd->loop.clock, &reader_ops, nd);
    JdTimer_Init(&nd->poll_timer, on_poll, nd);
    nd->checkpoint_at = JdClock_Now(&nd->loop.clock);
    if (nd->settings.baseline_poll_ms != 0) {
        JdTimer_Arm(&nd->loop.clock, &nd->poll_timer, 0);
    }
    return JD_OK;
}

const JdConfigSource JdConfigSource_Log = {
    .init = init,
    .read_directory = read_directory,
    .register_head = register_head,
    .read_log = read_log,
    .status_changed = maybe_checkpoint,
};
