/*
 * Versioned configuration store: the current version, a bounded history of
 * the patches that led to it, and the replay of the config stream.
 *
 * Every node that reads the log passes the records in offset order to
 * JdStore_Replay.  Its result depends on the records only, so all readers
 * compute the same versions.  Nodes that do not read the log receive deltas
 * instead; the digest shows that they reached the same state.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <zstd.h>

#include "libjd.h"

/* Delta bodies smaller than this, in bytes, are sent uncompressed. */
#define COMPRESS_MIN_SIZE 256
#define COMPRESS_LEVEL 3
/* Maximum uncompressed size of an accepted delta or snapshot, in bytes. */
#define BODY_MAX_SIZE (64U << 20)

/* Initializes an empty store at version 0. */
void
JdStore_Init(JdStore *st, JdCounters *ctr)
{
    memset(st, 0, sizeof(*st));
    st->config = JdConfig_New();
    st->rules_version = 1;
    st->counters = ctr;
}

static void
free_delta_body(JdStore *st)
{
    g_free(st->delta_body);
    st->delta_body = NULL;
    st->delta_to = 0;
}

static void
clear_history(JdStore *st)
{
    while (st->history_count > 0) {
        json_decref(st->history[st->history_first].patch);
        st->history_first = (st->history_first + 1) % JD_HISTORY_MAX;
        st->history_count--;
    }
}

/* Releases the memory held by a store. */
void
JdStore_Finish(JdStore *st)
{
    clear_history(st);
    free_delta_body(st);
    JdConfig_Unref(st->config);
    st->config = NULL;
}

/* Replaces the current version; takes over the caller's reference. */
static void
set_current(JdStore *st, JdConfig *cfg)
{
    JdConfig_Unref(st->config);
    st->config = cfg;
    free_delta_body(st);
    st->counters->value[JD_C_VERSIONS_APPLIED]++;
}

/*
 * Appends the patch from version `from` to the current one to the history.
 * When the history is full, the oldest step is dropped.
 */
static void
append_history(JdStore *st, uint64_t from, json_t *patch)
{
    JdHistoryStep *sp;

    if (st->history_count == JD_HISTORY_MAX) {
        json_decref(st->history[st->history_first].patch);
        st->history_first = (st->history_first + 1) % JD_HISTORY_MAX;
        st->history_count--;
    }
    sp =
        &st->history[(st->history_first + st->history_count) % JD_HISTORY_MAX];
    sp->from = from;
    sp->to = st->config->version;
    sp->digest = st->config->digest;
    sp->patch = json_incref(patch);
    st->history_count++;
}

/* Applies a patch to the current version and validates the result. */
static JdStatus
apply_patch(JdStore *st, json_t *patch, JdError *err)
{
    uint64_t from = st->config->version;
    JdConfig *cfg;
    JdStatus s = JdConfig_ApplyPatch(st->config, patch, from + 1, &cfg, err);

    if (s != JD_OK) {
        return s;
    }
    s = JdConfig_Validate(cfg, st->rules_version, err);
    if (s != JD_OK) {
        JdConfig_Unref(cfg);
        return s;
    }
    set_current(st, cfg);
    append_history(st, from, patch);
    return JD_OK;
}

/* Applies a patch record if its base is the current version. */
static void
replay_patch(JdStore *st, json_t *rec, JdReplayResult *out)
{
    const json_t *base_field = json_object_get(rec, "base");
    json_t *patch = json_object_get(rec, "patch");
    uint64_t current = st->config->version;
    uint64_t base;

    _Jd_CopyText(out->id, sizeof(out->id),
                 json_string_value(json_object_get(rec, "id")));
    _Jd_CopyText(out->author, sizeof(out->author),
                 json_string_value(json_object_get(rec, "author")));
    if (!json_is_integer(base_field) || json_integer_value(base_field) < 0 ||
        patch == NULL || out->id[0] == '\0') {
        out->status =
            JdError_Set(&out->err, JD_ERR_BAD_RECORD, "",
                        "patch record without a valid base, id or patch");
        st->counters->value[JD_C_BAD_RECORD]++;
        return;
    }
    base = (uint64_t)json_integer_value(base_field);
    if (base != current) {
        st->counters->value[JD_C_PATCHES_REFUSED_BASE]++;
        out->version = base < current ? base + 1 : current;
        out->status = JdError_Set(
            &out->err, base < current ? JD_ERR_BASE_LOST : JD_ERR_BASE_AHEAD,
            "/base",
            "base %" G_GUINT64_FORMAT " %s version %" G_GUINT64_FORMAT, base,
            base < current ? "lost to" : "is ahead of", out->version);
        return;
    }
    out->status = apply_patch(st, patch, &out->err);
    out->version = st->config->version;
    if (out->status != JD_OK) {
        st->counters->value[JD_C_PATCHES_REFUSED_INVALID]++;
    }
}

/*
 * Raises the version of the validation rules, which never decreases.  The
 * store halts if this release does not implement the requested version.
 */
static void
replay_rules(JdStore *st, json_t *rec, JdReplayResult *out)
{
    json_int_t n = json_integer_value(json_object_get(rec, "number"));

    out->version = st->config->version;
    if (n <= (json_int_t)st->rules_version) {
        out->status = JdError_Set(&out->err, JD_ERR_OLDER_VERSION, "/number",
                                  "validation rules are already at version %u",
                                  st->rules_version);
        return;
    }
    if (n > JD_RULES_NEWEST) {
        st->is_halted = true;
        out->status =
            JdError_Set(&out->err, JD_ERR_RULES_UNKNOWN, "/number",
                        "this release supports validation rules up to %u",
                        JD_RULES_NEWEST);
        return;
    }
    st->rules_version = (unsigned)n;
}

/*
 * Processes one record of the config stream and stores the result in `out`.
 * Returns JD_ERR_RULES_UNKNOWN if the store is halted, since only a later
 * release can process the records that follow.  Otherwise returns JD_OK, even
 * when the record was rejected; `out->status` tells why.
 */
JdStatus
JdStore_Replay(JdStore *st, uint64_t offset, const char *rec, size_t len,
               JdReplayResult *out)
{
    const char *type;
    json_t *js;

    memset(out, 0, sizeof(*out));
    if (st->is_halted) {
        return out->status = JD_ERR_RULES_UNKNOWN;
    }
    if (JdJson_Parse(rec, len, &js, &out->err) != JD_OK) {
        st->counters->value[JD_C_BAD_RECORD]++;
        out->status = JD_ERR_BAD_RECORD;
        st->next_offset = offset + 1;
        return JD_OK;
    }
    type = json_string_value(json_object_get(js, "type"));
    if (type != NULL && strcmp(type, "patch") == 0) {
        replay_patch(st, js, out);
    }
    else if (type != NULL && strcmp(type, "rules") == 0) {
        replay_rules(st, js, out);
    }
    else {
        st->counters->value[JD_C_BAD_RECORD]++;
        out->status = JdError_Set(&out->err, JD_ERR_BAD_RECORD, "/type",
                                  "unknown record type");
    }
    json_decref(js);
    if (st->is_halted) {
        return JD_ERR_RULES_UNKNOWN;
    }
    st->next_offset = offset + 1;
    return JD_OK;
}

/*
 * Replaces the current version with a complete document.  The author of the
 * document numbers the versions, so numbers may be skipped.  On failure,
 * JD_ERR_OLDER_VERSION or an error in the document, the current version is
 * unchanged.
 */
JdStatus
JdStore_Install(JdStore *st, const json_t *doc, uint64_t version, JdError *err)
{
    uint64_t from = st->config->version;
    JdConfig *cfg;
    json_t *patch;
    JdStatus s;

    if (version <= from) {
        st->counters->value[JD_C_OLDER_DROPPED]++;
        return JdError_Set(
            err, JD_ERR_OLDER_VERSION, "",
            "current version is not older than %" G_GUINT64_FORMAT, version);
    }
    s = JdConfig_CheckPatch(doc, err);
    if (s != JD_OK) {
        return s;
    }
    patch = JdPatch_Diff(st->config, doc);
    s = JdConfig_ApplyPatch(st->config, patch, version, &cfg, err);
    if (s == JD_OK) {
        unsigned needed = JdConfig_RulesNeeded(cfg);
        unsigned rules =
            needed > st->rules_version ? needed : st->rules_version;

        s = JdConfig_Validate(cfg, rules, err);
        if (s == JD_OK) {
            st->rules_version = rules;
            set_current(st, cfg);
            append_history(st, from, patch);
        }
        else {
            JdConfig_Unref(cfg);
        }
    }
    json_decref(patch);
    return s;
}

/* Returns the index of the history step that starts at a version, or -1. */
static int
find_step(const JdStore *st, uint64_t from)
{
    for (unsigned i = 0; i < st->history_count; i++) {
        const JdHistoryStep *sp =
            &st->history[(st->history_first + i) % JD_HISTORY_MAX];

        if (sp->from == from) {
            return (int)i;
        }
    }
    return -1;
}

/*
 * Returns the patches from history step `first` on as an array.  Adjacent
 * patches are composed into one where possible.
 */
static json_t *
compose_history(const JdStore *st, unsigned first)
{
    json_t *list = json_array();
    json_t *last = NULL;

    for (unsigned i = first; i < st->history_count; i++) {
        json_t *p =
            st->history[(st->history_first + i) % JD_HISTORY_MAX].patch;
        json_t *both;

        if (last != NULL && JdPatch_Compose(last, p, &both)) {
            json_array_set_new(list, json_array_size(list) - 1, both);
            last = both;
        }
        else {
            json_array_append(list, p);
            last = p;
        }
    }
    return list;
}

/*
 * Serializes a delta body into the store's cache, compressed if that makes it
 * smaller.
 */
static void
encode_body(JdStore *st, json_t *val)
{
    char *text = json_dumps(val, JSON_COMPACT);
    size_t n = strlen(text);
    size_t bound = ZSTD_compressBound(n);
    size_t z = 0;

    free_delta_body(st);
    st->delta_raw_len = 0;
    if (n >= COMPRESS_MIN_SIZE) {
        st->delta_body = g_malloc(bound);
        z = ZSTD_compress(st->delta_body, bound, text, n, COMPRESS_LEVEL);
    }
    if (z == 0 || ZSTD_isError(z) || z >= n) {
        g_free(st->delta_body);
        st->delta_body = g_memdup2(text, n);
        st->delta_body_len = n;
    }
    else {
        st->delta_body_len = z;
        st->delta_raw_len = n;
    }
    free(text);
}

/*
 * Creates the delta from version `from` to the current one, or a full snapshot
 * if `from` is 0 or the history has no step that starts there.  The body
 * belongs to the store and is valid until the next version or the next call
 * with another `from`; calls with the same `from` share it.  Fails with
 * JD_ERR_OLDER_VERSION if no version after `from` exists.
 */
JdStatus
JdStore_MakeDelta(JdStore *st, uint64_t from, JdDelta *out)
{
    int step = from == 0 ? -1 : find_step(st, from);
    json_t *val;

    if (st->config->version == 0 || from >= st->config->version) {
        return JD_ERR_OLDER_VERSION;
    }
    if (step < 0) {
        from = 0;
    }
    if (st->delta_body == NULL || st->delta_from != from ||
        st->delta_to != st->config->version) {
        val = step < 0 ? JdConfig_ToJson(st->config)
                       : compose_history(st, (unsigned)step);
        encode_body(st, val);
        json_decref(val);
        st->delta_from = from;
        st->delta_to = st->config->version;
    }
    out->from = from;
    out->to = st->config->version;
    out->next_offset = st->next_offset;
    out->rules_version = st->rules_version;
    out->digest = st->config->digest;
    out->body = st->delta_body;
    out->body_len = st->delta_body_len;
    out->raw_len = st->delta_raw_len;
    return JD_OK;
}

static JdStatus
decode_body(const JdDelta *dlt, json_t **out, JdError *err)
{
    JdStatus s;
    size_t n;
    char *text;

    if (dlt->raw_len == 0) {
        return JdJson_Parse((const char *)dlt->body, dlt->body_len, out, err);
    }
    if (dlt->raw_len > BODY_MAX_SIZE) {
        return JdError_Set(err, JD_ERR_RANGE, "",
                           "delta of %zu bytes is too large", dlt->raw_len);
    }
    text = g_malloc(dlt->raw_len);
    n = ZSTD_decompress(text, dlt->raw_len, dlt->body, dlt->body_len);
    if (ZSTD_isError(n) || n != dlt->raw_len) {
        s = JdError_Set(err, JD_ERR_SYNTAX, "",
                        "delta is truncated or corrupt");
    }
    else {
        s = JdJson_Parse(text, n, out, err);
    }
    g_free(text);
    return s;
}

/* Applies an array of patches to `old`; the result has version `to`. */
static JdStatus
apply_patches(JdConfig *old, json_t *list, uint64_t to, JdConfig **out,
              JdError *err)
{
    JdConfig *cfg = JdConfig_Ref(old);
    JdStatus s = JD_OK;
    json_t *patch;
    size_t i;

    if (!json_is_array(list)) {
        s = JdError_Set(err, JD_ERR_TYPE, "", "delta is not an array");
    }
    json_array_foreach(list, i, patch)
    {
        JdConfig *next;

        s = JdConfig_ApplyPatch(cfg, patch, to, &next, err);
        if (s != JD_OK) {
            break;
        }
        JdConfig_Unref(cfg);
        cfg = next;
    }
    if (s != JD_OK) {
        JdConfig_Unref(cfg);
        return s;
    }
    *out = cfg;
    return JD_OK;
}

/* Checks version, digest and validity of a state from elsewhere. */
static JdStatus
check_state(const JdConfig *cfg, const JdDelta *dlt, JdError *err)
{
    if (cfg->version != dlt->to ||
        !JdDigest_Equal(&cfg->digest, &dlt->digest)) {
        return JdError_Set(err, JD_ERR_DIGEST_MISMATCH, "",
                           "state at version %" G_GUINT64_FORMAT
                           " does not match its digest",
                           dlt->to);
    }
    return JdConfig_Validate(cfg, dlt->rules_version, err);
}

static void
record_delta(JdStore *st, const JdDelta *dlt, json_t *body)
{
    json_t *patch;
    size_t i;

    if (dlt->from == 0) {
        clear_history(st);
        return;
    }
    /* The versions between patches that could not be composed into one are
     * not known, so none of them can become a history step. */
    if (json_array_size(body) != 1) {
        clear_history(st);
        return;
    }
    json_array_foreach(body, i, patch)
    {
        append_history(st, dlt->from, patch);
    }
}

/*
 * Applies a delta from another node.  Fails with JD_ERR_OLDER_VERSION,
 * JD_ERR_HISTORY_GAP (the caller should request a full snapshot),
 * JD_ERR_DIGEST_MISMATCH or an error in the document; the current version is
 * then unchanged.
 */
JdStatus
JdStore_ApplyDelta(JdStore *st, const JdDelta *dlt, JdError *err)
{
    JdConfig *cfg = NULL;
    json_t *body = NULL;
    JdStatus s;

    if (dlt->to <= st->config->version) {
        st->counters->value[JD_C_OLDER_DROPPED]++;
        return JdError_Set(
            err, JD_ERR_OLDER_VERSION, "",
            "current version is not older than %" G_GUINT64_FORMAT, dlt->to);
    }
    if (dlt->from != 0 && dlt->from != st->config->version) {
        st->counters->value[JD_C_HISTORY_GAP]++;
        return JdError_Set(
            err, JD_ERR_HISTORY_GAP, "",
            "delta starts at another version: %" G_GUINT64_FORMAT, dlt->from);
    }
    s = decode_body(dlt, &body, err);
    if (s != JD_OK) {
        return s;
    }
    s = dlt->from == 0 ? JdConfig_FromJson(body, dlt->to, &cfg, err)
                       : apply_patches(st->config, body, dlt->to, &cfg, err);
    if (s == JD_OK) {
        s = check_state(cfg, dlt, err);
        if (s != JD_OK) {
            JdConfig_Unref(cfg);
        }
    }
    if (s == JD_ERR_DIGEST_MISMATCH) {
        st->counters->value[JD_C_DIGEST_MISMATCH]++;
    }
    if (s == JD_OK) {
        set_current(st, cfg);
        st->rules_version = dlt->rules_version;
        st->next_offset = dlt->next_offset;
        record_delta(st, dlt, body);
    }
    json_decref(body);
    return s;
}

/* Returns a checkpoint record of the current state; the caller frees it. */
char *
JdStore_MakeCheckpoint(const JdStore *st)
{
    json_t *doc = JdConfig_ToJson(st->config);
    char hex[JD_DIGEST_HEX_SIZE];
    char *text;
    json_t *js;

    JdDigest_ToHex(&st->config->digest, hex);
    js = json_pack("{s:s, s:I, s:I, s:i, s:s, s:o}", "type", "checkpoint",
                   "version", (json_int_t)st->config->version, "next",
                   (json_int_t)st->next_offset, "rules",
                   (int)st->rules_version, "digest", hex, "doc", doc);
    text = json_dumps(js, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(js);
    return text;
}

/*
 * Replaces the current state with that of a checkpoint record if it is newer.
 * Fails with JD_ERR_BAD_RECORD, JD_ERR_RULES_UNKNOWN, JD_ERR_OLDER_VERSION,
 * JD_ERR_DIGEST_MISMATCH or an error in the document; the store is then
 * unchanged.
 */
JdStatus
JdStore_Restore(JdStore *st, const char *rec, size_t len, JdError *err)
{
    json_int_t version, next;
    JdDelta dlt = {0};
    JdConfig *cfg;
    const char *hex;
    json_t *js, *doc;
    JdStatus s;
    int rules;

    s = JdJson_Parse(rec, len, &js, err);
    if (s != JD_OK) {
        return s;
    }
    if (json_unpack(js, "{s:I, s:I, s:i, s:s, s:o}", "version", &version,
                    "next", &next, "rules", &rules, "digest", &hex, "doc",
                    &doc) != 0 ||
        !JdDigest_FromHex(&dlt.digest, hex)) {
        json_decref(js);
        return JdError_Set(err, JD_ERR_BAD_RECORD, "",
                           "not a valid checkpoint record");
    }
    dlt.to = (uint64_t)version;
    dlt.rules_version = (unsigned)rules;
    if (dlt.to == st->config->version &&
        JdDigest_Equal(&dlt.digest, &st->config->digest)) {
        /* The checkpoint may have been written after later records that did
         * not change the state; these need not be read again. */
        if ((uint64_t)next > st->next_offset) {
            st->next_offset = (uint64_t)next;
        }
        json_decref(js);
        return JD_OK;
    }
    if (dlt.to <= st->config->version) {
        json_decref(js);
        return JdError_Set(err, JD_ERR_OLDER_VERSION, "/version",
                           "checkpoint is not newer than the current version");
    }
    s = JdConfig_FromJson(doc, dlt.to, &cfg, err);
    if (s == JD_OK) {
        s = check_state(cfg, &dlt, err);
        if (s != JD_OK) {
            JdConfig_Unref(cfg);
        }
    }
    if (s == JD_OK) {
        set_current(st, cfg);
        clear_history(st);
        st->rules_version = dlt.rules_version;
        st->next_offset = (uint64_t)next;
    }
    json_decref(js);
    return s;
}

/* Returns a patch record for the config stream; the caller frees it. */
char *
JdRecord_MakePatch(uint64_t base, const char *id, const char *author,
                   json_t *patch)
{
    json_t *js = json_pack("{s:s, s:I, s:s, s:s, s:O}", "type", "patch",
                           "base", (json_int_t)base, "id", id, "author",
                           author, "patch", patch);
    char *text = json_dumps(js, JSON_COMPACT);

    json_decref(js);
    return text;
}
