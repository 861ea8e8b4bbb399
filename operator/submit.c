/*
 * Checking and submitting patches.
 *
 * What can be refused without the log is refused first.  A submission then
 * reads the log up to now, appends one record, and reads on until the record
 * with its id is decided.  An append whose answer was lost is settled by that
 * same reading, never by guessing.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Period in which the log is read again for a decision. */
#define READ_AGAIN (50 * JD_US_PER_MS)
/* Time after an unclear append in which its record may still show up. */
#define SETTLE_TIME (3 * JD_US_PER_S)

typedef struct Patch {
    json_t *file;
    json_t *patch; /* borrowed from `file` */
    uint64_t base;
    char id[JD_NAME_MAX];
    char author[JD_NAME_MAX];
    bool is_decided;
    JdReplayResult outcome;
    uint64_t at;
} Patch;

static JdStatus
load_file(const char *name, json_t **out, JdError *err)
{
    gchar *text;
    gsize len;
    JdStatus s;

    if (!g_file_get_contents(name, &text, &len, NULL)) {
        return JdError_Set(err, JD_ERR_USAGE, "", "cannot read %s", name);
    }
    s = JdJson_Parse(text, len, out, err);
    g_free(text);
    return s;
}

static JdStatus
check_keys(const json_t *file, JdError *err)
{
    static const char *const known[] = {"base", "id", "author", "patch"};
    char path[JD_PATH_MAX];
    const char *key;
    json_t *v;

    json_object_foreach((json_t *)file, key, v)
    {
        bool is_known = false;

        for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
            is_known = is_known || strcmp(key, known[i]) == 0;
        }
        if (!is_known) {
            snprintf(path, sizeof(path), "/%s", key);
            return JdError_Set(err, JD_ERR_UNKNOWN_FIELD, path,
                               "a patch file has no such field");
        }
    }
    return JD_OK;
}

static JdStatus
take_text(const json_t *file, const char *key, const char *option,
          const char *otherwise, char *out)
{
    const char *text = json_string_value(json_object_get(file, key));

    if (option != NULL) {
        text = option;
    }
    g_strlcpy(out, text == NULL ? otherwise : text, JD_NAME_MAX);
    return JD_OK;
}

static JdStatus
load_patch(const Ctl *ctl, const char *name, Patch *p, JdError *err)
{
    const json_t *base;
    gchar *uuid;
    JdStatus s = load_file(name, &p->file, err);

    if (s != JD_OK) {
        return s;
    }
    if (!json_is_object(p->file)) {
        return JdError_Set(err, JD_ERR_TYPE, "", "file is not an object");
    }
    s = check_keys(p->file, err);
    if (s != JD_OK) {
        return s;
    }
    p->patch = json_object_get(p->file, "patch");
    base = json_object_get(p->file, "base");
    if (p->patch == NULL) {
        return JdError_Set(err, JD_ERR_MISSING_FIELD, "/patch", "no patch");
    }
    if (ctl->base_version < 0 &&
        (!json_is_integer(base) || json_integer_value(base) < 0)) {
        return JdError_Set(err, JD_ERR_MISSING_FIELD, "/base",
                           "no base version; see --base");
    }
    p->base = ctl->base_version >= 0 ? (uint64_t)ctl->base_version
                                     : (uint64_t)json_integer_value(base);
    uuid = g_uuid_string_random();
    take_text(p->file, "id", ctl->patch_id, uuid, p->id);
    take_text(p->file, "author", ctl->author, "operator", p->author);
    g_free(uuid);
    return JdConfig_CheckPatch(p->patch, err);
}

/* Checks a patch file without the log. */
CtlExit
CtlSubmit_Check(Ctl *ctl, int argc, char **args)
{
    Patch p = {0};
    JdError err = {0};
    JdStatus s;

    (void)argc;
    s = load_patch(ctl, args[0], &p, &err);
    if (s == JD_OK && ctl->log_address != NULL) {
        /* With a log at hand the result is validated as well. */
        JdConfig *cfg = NULL;

        s = CtlLog_Open(ctl, &err);
        if (s == JD_OK) {
            s = CtlLog_CatchUp(ctl, &err);
        }
        if (s == JD_OK) {
            s = JdConfig_ApplyPatch(ctl->store.config, p.patch, p.base + 1,
                                    &cfg, &err);
        }
        if (s == JD_OK) {
            s = JdConfig_Validate(cfg, ctl->store.rules_version, &err);
        }
        JdConfig_Unref(cfg);
    }
    json_decref(p.file);
    if (s != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    Ctl_Print(ctl, json_pack("{s:b}", "valid", 1), "valid");
    return CTL_EXIT_OK;
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Patch *p = ctx;

    if (!p->is_decided && strcmp(out->id, p->id) == 0) {
        p->is_decided = true;
        p->outcome = *out;
        p->at = rec->logged_at;
    }
}

/* Refuses what everyone who reads the log will refuse as well. */
static JdStatus
refuse_early(const Ctl *ctl, const Patch *p, JdError *err)
{
    uint64_t at = ctl->store.config->version;
    JdConfig *cfg;
    JdStatus s;

    if (p->base < at) {
        return JdError_Set(err, JD_ERR_BASE_LOST, "/base",
                           "base %" G_GUINT64_FORMAT
                           " lost to version %" G_GUINT64_FORMAT
                           "; version %" G_GUINT64_FORMAT " is the newest",
                           p->base, p->base + 1, at);
    }
    if (p->base > at) {
        return JdError_Set(err, JD_ERR_BASE_AHEAD, "/base",
                           "version %" G_GUINT64_FORMAT " is the newest", at);
    }
    s = JdConfig_ApplyPatch(ctl->store.config, p->patch, at + 1, &cfg, err);
    if (s == JD_OK) {
        s = JdConfig_Validate(cfg, ctl->store.rules_version, err);
        JdConfig_Unref(cfg);
    }
    return s;
}

/* Reads on until the record is decided or the time is over. */
static JdStatus
settle(Ctl *ctl, Patch *p, uint64_t time, JdError *err)
{
    uint64_t end = JdClock_Now(&ctl->loop.clock) + time;
    JdStatus s = JD_OK;

    while (!p->is_decided) {
        s = CtlLog_CatchUp(ctl, err);
        if (p->is_decided || JdClock_Now(&ctl->loop.clock) >= end) {
            break;
        }
        Ctl_RunFor(ctl, READ_AGAIN);
    }
    return p->is_decided ? JD_OK : s;
}

static JdStatus
append(Ctl *ctl, Patch *p, JdError *err)
{
    char *text = JdRecord_MakePatch(p->base, p->id, p->author, p->patch);
    uint64_t offset;
    JdStatus s = CtlLog_Append(ctl, JD_STREAM_CONFIG, text, &offset);

    free(text);
    if (s == JD_ERR_REFUSED || s == JD_ERR_UNREACHABLE) {
        return JdError_Set(err, s, "",
                           "the log took no record; nothing was submitted");
    }
    if (settle(ctl, p,
               s == JD_OK ? (uint64_t)ctl->timeout_s * JD_US_PER_S
                          : SETTLE_TIME,
               err) != JD_OK) {
        return JdError_Set(err, JD_ERR_UNKNOWN_RESULT, "",
                           "the log cannot be read; submit again with --id "
                           "%s",
                           p->id);
    }
    if (!p->is_decided) {
        return JdError_Set(err, JD_ERR_UNKNOWN_RESULT, "",
                           "no record yet; submit again with --id %s", p->id);
    }
    return JD_OK;
}

static JdStatus
submit(Ctl *ctl, const char *name, Patch *p, JdError *err)
{
    JdStatus s = load_patch(ctl, name, p, err);

    if (s == JD_OK) {
        s = CtlLog_Open(ctl, err);
    }
    ctl->decided = on_decided;
    ctl->decided_ctx = p;
    if (s == JD_OK) {
        s = CtlLog_CatchUp(ctl, err);
    }
    /* The same id may have been decided before: then that is the answer. */
    if (s == JD_OK && !p->is_decided) {
        s = refuse_early(ctl, p, err);
        if (s == JD_OK) {
            s = append(ctl, p, err);
        }
    }
    if (s == JD_OK && p->outcome.status != JD_OK) {
        *err = p->outcome.err;
        s = p->outcome.status;
    }
    return s;
}

/* Submits a patch and prints the version it became. */
CtlExit
CtlSubmit_Submit(Ctl *ctl, int argc, char **args)
{
    Patch p = {0};
    JdError err = {0};

    (void)argc;
    if (submit(ctl, args[0], &p, &err) != JD_OK) {
        json_decref(p.file);
        return Ctl_Fail(ctl, &err);
    }
    json_decref(p.file);
    Ctl_Print(ctl,
              json_pack("{s:I, s:s, s:I}", "version",
                        (json_int_t)p.outcome.version, "id", p.id, "at_us",
                        (json_int_t)p.at),
              "accepted as version %" G_GUINT64_FORMAT, p.outcome.version);
    return CTL_EXIT_OK;
}
