/* Views of the log: a version, the difference of two, the history. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Keeps configurations while the log is replayed. */
typedef struct Keep {
    Ctl *ctl;
    uint64_t want[2];
    JdConfig *got[2];
    json_t *history;
} Keep;

static void
keep_wanted(Keep *k)
{
    JdConfig *cfg = k->ctl->store.config;

    for (int i = 0; i < 2; i++) {
        if (k->got[i] == NULL && cfg->version == k->want[i]) {
            k->got[i] = JdConfig_Ref(cfg);
        }
    }
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Keep *k = ctx;

    keep_wanted(k);
    if (k->history != NULL) {
        json_array_append_new(k->history,
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
replay(Ctl *ctl, Keep *k, JdError *err)
{
    JdStatus s = CtlLog_Open(ctl, err);

    k->ctl = ctl;
    ctl->decided = on_decided;
    ctl->decided_ctx = k;
    keep_wanted(k);
    if (s == JD_OK) {
        s = CtlLog_CatchUp(ctl, err);
    }
    keep_wanted(k);
    return s;
}

static bool
read_version(const char *text, uint64_t *out, JdError *err)
{
    guint64 n;

    if (!g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &n, NULL)) {
        JdError_Set(err, JD_ERR_USAGE, "", "no version: %s", text);
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

/* Prints a version, the newest by default. */
CtlExit
CtlView_Show(Ctl *ctl, int argc, char **args)
{
    Keep k = {.want = {UINT64_MAX, UINT64_MAX}};
    JdError err = {0};
    JdConfig *cfg;

    if (argc == 1 && !read_version(args[0], &k.want[0], &err)) {
        return Ctl_Fail(ctl, &err);
    }
    if (replay(ctl, &k, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    cfg = argc == 1 ? k.got[0] : ctl->store.config;
    if (cfg == NULL) {
        JdError_Set(&err, JD_ERR_HISTORY_GAP, "",
                    "the log holds no such version");
        return Ctl_Fail(ctl, &err);
    }
    print_json(json_pack("{s:I, s:o}", "version", (json_int_t)cfg->version,
                         "doc", JdConfig_ToJson(cfg)));
    return CTL_EXIT_OK;
}

/* Adds the fields of an entry that `to` sets and those that it lacks. */
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

/* Returns the merge patch that leads from one table to another. */
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

/* Prints the patch that leads from one version to another. */
CtlExit
CtlView_Diff(Ctl *ctl, int argc, char **args)
{
    Keep k = {0};
    JdError err = {0};
    json_t *out = json_object();

    (void)argc;
    if (!read_version(args[0], &k.want[0], &err) ||
        !read_version(args[1], &k.want[1], &err) ||
        replay(ctl, &k, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    if (k.got[0] == NULL || k.got[1] == NULL) {
        JdError_Set(&err, JD_ERR_HISTORY_GAP, "",
                    "the log holds no such version");
        return Ctl_Fail(ctl, &err);
    }
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        json_t *d = diff_table(k.got[0]->table[t], k.got[1]->table[t]);

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

/* Lists the decided records since the newest checkpoint that was needed. */
CtlExit
CtlView_History(Ctl *ctl, int argc, char **args)
{
    Keep k = {.want = {UINT64_MAX, UINT64_MAX}};
    JdError err = {0};

    (void)argc;
    (void)args;
    k.history = json_array();
    if (replay(ctl, &k, &err) != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    if (ctl->json) {
        print_json(k.history);
    }
    else {
        print_history(k.history);
        json_decref(k.history);
    }
    return CTL_EXIT_OK;
}
