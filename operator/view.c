/* jacinthctl show, diff and history: views of a replay of the log. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/*
 * A replay of the log that captures up to two versions and, if `history` is
 * set, a list of all records.
 */
typedef struct Replay {
    Ctl *ctl;
    uint64_t wanted[2]; /* UINT64_MAX: none */
    JdConfig *found[2]; /* NULL: not seen */
    json_t *history;
} Replay;

/* Takes a reference to the current version of the store if it is wanted. */
static void
capture_versions(Replay *rp)
{
    JdConfig *cfg = rp->ctl->store.config;

    for (int i = 0; i < 2; i++) {
        if (rp->found[i] == NULL && cfg->version == rp->wanted[i]) {
            rp->found[i] = JdConfig_Ref(cfg);
        }
    }
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Replay *rp = ctx;

    capture_versions(rp);
    if (rp->history != NULL) {
        json_array_append_new(rp->history,
                              json_pack("{s:I, s:I, s:s, s:I, s:s, s:s, s:s}",
                                        "offset", (json_int_t)rec->offset,
                                        "at_us", (json_int_t)rec->logged_at,
                                        "result", JdStatus_Name(out->status),
                                        "version", (json_int_t)out->version,
                                        "author", out->author, "id", out->id,
                                        "path", out->err.path));
    }
}

static JdStatus
replay_log(Ctl *ctl, Replay *rp, JdError *err)
{
    JdStatus s = CtlLog_Open(ctl, err);

    rp->ctl = ctl;
    ctl->decided = on_decided;
    ctl->decided_ctx = rp;
    capture_versions(rp);
    if (s == JD_OK) {
        s = CtlLog_CatchUp(ctl, err);
    }
    capture_versions(rp);
    return s;
}

static bool
parse_version(const char *text, uint64_t *out, JdError *err)
{
    guint64 n;

    if (!g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &n, NULL)) {
        JdError_Set(err, JD_ERR_USAGE, "", "not a version number: %s", text);
        return false;
    }
    *out = n;
    return true;
}

static void
print_json(json_t *js)
{
    json_dumpf(js, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
    putchar('\n');
    json_decref(js);
}

/* Prints a configuration version, the newest by default. */
CtlExit
CtlView_Show(Ctl *ctl, int argc, char **args)
{
    Replay rp = {.wanted = {UINT64_MAX, UINT64_MAX}};
    JdError err = {0};
    JdConfig *cfg;

    if (argc == 1 && !parse_version(args[0], &rp.wanted[0], &err)) {
        return Ctl_Fail(ctl, &err);
    }
    if (replay_log(ctl, &rp, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    cfg = argc == 1 ? rp.found[0] : ctl->store.config;
    if (cfg == NULL) {
        JdError_Set(&err, JD_ERR_HISTORY_GAP, "",
                    "the log holds no such version");
        return Ctl_Fail(ctl, &err);
    }
    print_json(json_pack("{s:I, s:o}", "version", (json_int_t)cfg->version,
                         "doc", JdConfig_ToJson(cfg)));
    return CTL_EXIT_OK;
}

/*
 * Returns the fields of `to` that differ from those of `from`; fields that
 * `to` lacks are null.
 */
static json_t *
diff_entry(json_t *from, json_t *to)
{
    json_t *out = json_object();
    const char *key;
    json_t *v;

    json_object_foreach(from, key, v)
    {
        if (json_object_get(to, key) == NULL) {
            json_object_set_new(out, key, json_null());
        }
    }
    json_object_foreach(to, key, v)
    {
        if (!json_equal(v, json_object_get(from, key))) {
            json_object_set(out, key, v);
        }
    }
    return out;
}

/* Returns the merge patch that turns one table into another. */
static json_t *
diff_table(json_t *from, json_t *to)
{
    json_t *out = json_object();
    const char *name;
    json_t *v;

    json_object_foreach(from, name, v)
    {
        if (json_object_get(to, name) == NULL) {
            json_object_set_new(out, name, json_null());
        }
    }
    json_object_foreach(to, name, v)
    {
        json_t *old = json_object_get(from, name);

        if (!json_equal(v, old)) {
            json_object_set_new(out, name,
                                diff_entry(old == NULL ? NULL : old, v));
        }
    }
    return out;
}

/* Prints the patch that turns one version into another. */
CtlExit
CtlView_Diff(Ctl *ctl, int argc, char **args)
{
    Replay rp = {0};
    JdError err = {0};
    json_t *out = json_object();

    (void)argc;
    if (!parse_version(args[0], &rp.wanted[0], &err) ||
        !parse_version(args[1], &rp.wanted[1], &err) ||
        replay_log(ctl, &rp, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    if (rp.found[0] == NULL || rp.found[1] == NULL) {
        JdError_Set(&err, JD_ERR_HISTORY_GAP, "",
                    "the log holds no such version");
        return Ctl_Fail(ctl, &err);
    }
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        json_t *d = diff_table(rp.found[0]->table[t], rp.found[1]->table[t]);

        if (json_object_size(d) > 0) {
            json_object_set(out, JdTable_Name((JdTable)t), d);
        }
        json_decref(d);
    }
    print_json(out);
    return CTL_EXIT_OK;
}

static void
print_history(json_t *list)
{
    size_t i;
    json_t *js;

    json_array_foreach(list, i, js)
    {
        printf("%8lld  %-16s  version %-8lld  %-16s  %s  %s\n",
               (long long)json_integer_value(json_object_get(js, "offset")),
               json_string_value(json_object_get(js, "result")),
               (long long)json_integer_value(json_object_get(js, "version")),
               json_string_value(json_object_get(js, "author")),
               json_string_value(json_object_get(js, "id")),
               json_string_value(json_object_get(js, "path")));
    }
}

/*
 * Lists accepted and refused records of the config stream.  Records before the
 * checkpoint that the replay began with, if any, are not shown.
 */
CtlExit
CtlView_History(Ctl *ctl, int argc, char **args)
{
    Replay rp = {.wanted = {UINT64_MAX, UINT64_MAX}};
    JdError err = {0};

    (void)argc;
    (void)args;
    rp.history = json_array();
    if (replay_log(ctl, &rp, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    if (ctl->json) {
        print_json(rp.history);
    }
    else {
        print_history(rp.history);
        json_decref(rp.history);
    }
    return CTL_EXIT_OK;
}
