/*
 * The store: the version in force, the steps that led to it, and the decision
 * on each record of the config stream.
 *
 * Every reader of the log replays its records in offset order through
 * JdStore_Replay, a pure function of the records, so all of them reach the
 * same versions.  Nodes that do not read the log get deltas instead; the
 * digest of the state shows that both ways end alike.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <zstd.h>

#include "libjd.h"

/* Bodies below this size are not worth compressing, in bytes. */
#define COMPRESS_LEAST 256
#define COMPRESS_LEVEL 3
/* Largest state or delta that is accepted, in bytes before compression. */
#define BODY_LIMIT (64U << 20)

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
drop_encoded(JdStore *st)
{
    g_free(st->delta_body);
    st->delta_body = NULL;
    st->delta_to = 0;
}

static void
drop_history(JdStore *st)
{
    while (st->history_count > 0) {
        json_decref(st->history[st->history_first].patch);
        st->history_first = (st->history_first + 1) % JD_HISTORY_MAX;
        st->history_count--;
    }
}

/* Releases all that a store holds. */
void
JdStore_Finish(JdStore *st)
{
    drop_history(st);
    drop_encoded(st);
    JdConfig_Unref(st->config);
    st->config = NULL;
}

static void
put_in_force(JdStore *st, JdConfig *cfg)
{
    JdConfig_Unref(st->config);
    st->config = cfg;
    drop_encoded(st);
    st->counters->value[JD_C_VERSIONS_APPLIED]++;
}

static void
add_step(JdStore *st, uint64_t from, json_t *patch)
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

/* Applies and validates one patch on top of the version in force. */
static JdStatus
try_patch(JdStore *st, json_t *patch, JdError *err)
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
    put_in_force(st, cfg);
    add_step(st, from, patch);
    return JD_OK;
}

static void
decide_patch(JdStore *st, json_t *rec, JdReplayResult *out)
{
    const json_t *base = json_object_get(rec, "base");
    json_t *patch = json_object_get(rec, "patch");
    uint64_t at = st->config->version;
    uint64_t b;

    _Jd_CopyText(out->id, sizeof(out->id),
                 json_string_value(json_object_get(rec, "id")));
    _Jd_CopyText(out->author, sizeof(out->author),
                 json_string_value(json_object_get(rec, "author")));
    if (!json_is_integer(base) || json_integer_value(base) < 0 ||
        patch == NULL || out->id[0] == '\0') {
        out->status = JdError_Set(&out->err, JD_ERR_BAD_RECORD, "",
                                  "patch record lacks base, id or patch");
        st->counters->value[JD_C_BAD_RECORD]++;
        return;
    }
    b = (uint64_t)json_integer_value(base);
    if (b != at) {
        st->counters->value[JD_C_PATCHES_REFUSED_BASE]++;
        out->version = b < at ? b + 1 : at;
        out->status = JdError_Set(
            &out->err, b < at ? JD_ERR_BASE_LOST : JD_ERR_BASE_AHEAD, "/base",
            "base %" G_GUINT64_FORMAT " %s version %" G_GUINT64_FORMAT, b,
            b < at ? "lost to" : "is ahead of", out->version);
        return;
    }
    out->status = try_patch(st, patch, &out->err);
    out->version = st->config->version;
    if (out->status != JD_OK) {
        st->counters->value[JD_C_PATCHES_REFUSED_INVALID]++;
    }
}

/* Raises the rules of validity.  They never go back. */
static void
decide_rules(JdStore *st, json_t *rec, JdReplayResult *out)
{
    json_int_t n = json_integer_value(json_object_get(rec, "number"));

    out->version = st->config->version;
    if (n <= (json_int_t)st->rules_version) {
        out->status = JdError_Set(&out->err, JD_ERR_OLDER_VERSION, "/number",
                                  "rules are already %u", st->rules_version);
        return;
    }
    if (n > JD_RULES_NEWEST) {
        st->is_halted = true;
        out->status =
            JdError_Set(&out->err, JD_ERR_RULES_UNKNOWN, "/number",
                        "this release knows rules up to %u", JD_RULES_NEWEST);
        return;
    }
    st->rules_version = (unsigned)n;
}

/*
 * Decides one record of the config stream and fills `out`.  Returns
 * JD_ERR_RULES when the store halts: a later release has to read on.
 * Every other outcome of a record is in `out` and returned as JD_OK.
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
        decide_patch(st, js, out);
    }
    else if (type != NULL && strcmp(type, "rules") == 0) {
        decide_rules(st, js, out);
    }
    else {
        st->counters->value[JD_C_BAD_RECORD]++;
        out->status = JdError_Set(&out->err, JD_ERR_BAD_RECORD, "/type",
                                  "unknown type of record");
    }
    json_decref(js);
    if (st->is_halted) {
        return JD_ERR_RULES_UNKNOWN;
    }
    st->next_offset = offset + 1;
    return JD_OK;
}

/*
 * Puts a whole document in force as a version of its author's numbering, all
 * of it or nothing.  Fails with JD_ERR_OLDER or a fault of the document; the
 * version in force stays as it was.
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
        return JdError_Set(err, JD_ERR_OLDER_VERSION, "",
                           "version %" G_GUINT64_FORMAT, version);
    }
    s = JdConfig_CheckPatch(doc, err);
    if (s != JD_OK) {
        return s;
    }
    patch = JdPatch_Diff(st->config, doc);
    s = JdConfig_ApplyPatch(st->config, patch, version, &cfg, err);
    if (s == JD_OK) {
        s = JdConfig_Validate(cfg, st->rules_version, err);
        if (s == JD_OK) {
            put_in_force(st, cfg);
            add_step(st, from, patch);
        }
        else {
            JdConfig_Unref(cfg);
        }
    }
    json_decref(patch);
    return s;
}

/* Finds the step that starts at a version; returns -1 when there is none. */
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

/* Returns the patches from a step on as an array, composed where possible. */
static json_t *
compose_steps(const JdStore *st, unsigned first)
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

static void
encode_body(JdStore *st, json_t *val)
{
    char *text = json_dumps(val, JSON_COMPACT);
    size_t n = strlen(text);
    size_t bound = ZSTD_compressBound(n);
    size_t z = 0;

    drop_encoded(st);
    st->delta_raw_len = 0;
    if (n >= COMPRESS_LEAST) {
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
 * Makes the delta from a version to the one in force, or a whole state when
 * `from` is 0 or the history does not reach back to it.  The body belongs to
 * the store and is shared by all calls with the same `from` until the next
 * version.  Fails with JD_ERR_OLDER when there is nothing newer.
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
                       : compose_steps(st, (unsigned)step);
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
    if (dlt->raw_len > BODY_LIMIT) {
        return JdError_Set(err, JD_ERR_RANGE, "", "delta of %zu bytes",
                           dlt->raw_len);
    }
    text = g_malloc(dlt->raw_len);
    n = ZSTD_decompress(text, dlt->raw_len, dlt->body, dlt->body_len);
    if (ZSTD_isError(n) || n != dlt->raw_len) {
        s = JdError_Set(err, JD_ERR_SYNTAX, "", "delta is not whole");
    }
    else {
        s = JdJson_Parse(text, n, out, err);
    }
    g_free(text);
    return s;
}

/* Applies a list of patches to `old`, with `to` as the version of the last. */
static JdStatus
apply_list(JdConfig *old, json_t *list, uint64_t to, JdConfig **out,
           JdError *err)
{
    JdConfig *cfg = JdConfig_Ref(old);
    JdStatus s = JD_OK;
    json_t *patch;
    size_t i;

    if (!json_is_array(list)) {
        s = JdError_Set(err, JD_ERR_TYPE, "", "delta is not a list");
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

/* Checks a state that came from another node before it is put in force. */
static JdStatus
check_state(const JdConfig *cfg, const JdDelta *dlt, JdError *err)
{
    if (cfg->version != dlt->to ||
        !JdDigest_Equal(&cfg->digest, &dlt->digest)) {
        return JdError_Set(err, JD_ERR_DIGEST_MISMATCH, "",
                           "state at version %" G_GUINT64_FORMAT
                           " has another digest",
                           dlt->to);
    }
    return JdConfig_Validate(cfg, dlt->rules_version, err);
}

static void
remember_delta(JdStore *st, const JdDelta *dlt, json_t *body)
{
    json_t *patch;
    size_t i;

    if (dlt->from == 0) {
        drop_history(st);
        return;
    }
    /* A list that could not be composed has no versions in between. */
    if (json_array_size(body) != 1) {
        drop_history(st);
        return;
    }
    json_array_foreach(body, i, patch)
    {
        add_step(st, dlt->from, patch);
    }
}

/*
 * Applies a delta from another node: all of it or nothing.  Fails with
 * JD_ERR_OLDER, JD_ERR_GAP (ask for a whole state), JD_ERR_DIGEST or a fault
 * of the document; the version in force stays as it was.
 */
JdStatus
JdStore_ApplyDelta(JdStore *st, const JdDelta *dlt, JdError *err)
{
    JdConfig *cfg = NULL;
    json_t *body = NULL;
    JdStatus s;

    if (dlt->to <= st->config->version) {
        st->counters->value[JD_C_OLDER_DROPPED]++;
        return JdError_Set(err, JD_ERR_OLDER_VERSION, "",
                           "version %" G_GUINT64_FORMAT, dlt->to);
    }
    if (dlt->from != 0 && dlt->from != st->config->version) {
        st->counters->value[JD_C_HISTORY_GAP]++;
        return JdError_Set(err, JD_ERR_HISTORY_GAP, "",
                           "delta from version %" G_GUINT64_FORMAT, dlt->from);
    }
    s = decode_body(dlt, &body, err);
    if (s != JD_OK) {
        return s;
    }
    s = dlt->from == 0 ? JdConfig_FromJson(body, dlt->to, &cfg, err)
                       : apply_list(st->config, body, dlt->to, &cfg, err);
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
        put_in_force(st, cfg);
        st->rules_version = dlt->rules_version;
        st->next_offset = dlt->next_offset;
        remember_delta(st, dlt, body);
    }
    json_decref(body);
    return s;
}

/* Returns a checkpoint record of the state, which the caller frees. */
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
 * Puts the state of a checkpoint in force, if it is newer.  Fails with
 * JD_ERR_RECORD, JD_ERR_RULES, JD_ERR_OLDER, JD_ERR_DIGEST or a fault of the
 * document.
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
        return JdError_Set(err, JD_ERR_BAD_RECORD, "", "not a checkpoint");
    }
    dlt.to = (uint64_t)version;
    dlt.rules_version = (unsigned)rules;
    if (dlt.to == st->config->version &&
        JdDigest_Equal(&dlt.digest, &st->config->digest)) {
        /* The same state, but it may have been seen further on. */
        if ((uint64_t)next > st->next_offset) {
            st->next_offset = (uint64_t)next;
        }
        json_decref(js);
        return JD_OK;
    }
    if (dlt.to <= st->config->version) {
        json_decref(js);
        return JdError_Set(err, JD_ERR_OLDER_VERSION, "/version", "not newer");
    }
    s = JdConfig_FromJson(doc, dlt.to, &cfg, err);
    if (s == JD_OK) {
        s = check_state(cfg, &dlt, err);
        if (s != JD_OK) {
            JdConfig_Unref(cfg);
        }
    }
    if (s == JD_OK) {
        put_in_force(st, cfg);
        drop_history(st);
        st->rules_version = dlt.rules_version;
        st->next_offset = (uint64_t)next;
    }
    json_decref(js);
    return s;
}

/* Returns a patch record for the config stream, which the caller frees. */
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
