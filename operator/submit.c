/*
 * jacinthctl check and submit.
 *
 * A submission validates the patch file locally, replays the log, checks the
 * patch against the newest version, appends one record and reads on until the
 * record with its id has been accepted or refused.  If the answer to the
 * append is lost, the log itself shows whether the record was appended.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Interval between reads of the log while a decision is awaited, in us. */
#define POLL_INTERVAL (50 * JD_US_PER_MS)
/*
 * How long to look for the record of an append whose answer was lost, in us.
 */
#define UNCLEAR_APPEND_TIMEOUT (3 * JD_US_PER_S)

/* A patch file, and what became of its record. */
typedef struct Submission {
    json_t *file;
    json_t *patch; /* borrowed from `file` */
    uint64_t base; /* version that the patch applies to */
    char id[JD_NAME_MAX];
    char author[JD_NAME_MAX];
    bool is_decided;
    JdReplayResult outcome; /* valid once is_decided */
    uint64_t at;            /* time of the record, us of the log's clock */
} Submission;

static JdStatus
load_json_file(const char *name, json_t **out, JdError *err)
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
check_field_names(const json_t *file, JdError *err)
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

/*
 * Copies a text of the patch file into `out`.  `option` takes precedence if
 * set; `fallback` is the default.
 */
static JdStatus
copy_field(const json_t *file, const char *key, const char *option,
           const char *fallback, char *out)
{
    const char *text = json_string_value(json_object_get(file, key));

    if (option != NULL) {
        text = option;
    }
    g_strlcpy(out, text == NULL ? fallback : text, JD_NAME_MAX);
    return JD_OK;
}

/*
 * Reads a patch file, applies the options --base, --id and --author, and
 * checks all that does not depend on the log.
 */
static JdStatus
load_submission(const Ctl *ctl, const char *name, Submission *sub,
                JdError *err)
{
    const json_t *base;
    gchar *uuid;
    JdStatus s = load_json_file(name, &sub->file, err);

    if (s != JD_OK) {
        return s;
    }
    if (!json_is_object(sub->file)) {
        return JdError_Set(err, JD_ERR_TYPE, "",
                           "the patch file is not a JSON object");
    }
    s = check_field_names(sub->file, err);
    if (s != JD_OK) {
        return s;
    }
    sub->patch = json_object_get(sub->file, "patch");
    base = json_object_get(sub->file, "base");
    if (sub->patch == NULL) {
        return JdError_Set(err, JD_ERR_MISSING_FIELD, "/patch",
                           "the patch is missing");
    }
    if (ctl->base_version < 0 &&
        (!json_is_integer(base) || json_integer_value(base) < 0)) {
        return JdError_Set(err, JD_ERR_MISSING_FIELD, "/base",
                           "no base version; set it in the file or by --base");
    }
    sub->base = ctl->base_version >= 0 ? (uint64_t)ctl->base_version
                                       : (uint64_t)json_integer_value(base);
    uuid = g_uuid_string_random();
    copy_field(sub->file, "id", ctl->patch_id, uuid, sub->id);
    copy_field(sub->file, "author", ctl->author, "operator", sub->author);
    g_free(uuid);
    return JdConfig_CheckPatch(sub->patch, err);
}

/*
 * Checks a patch file.  With --log, also applies it to the newest version and
 * validates the result.
 */
CtlExit
CtlSubmit_Check(Ctl *ctl, int argc, char **args)
{
    Submission sub = {0};
    JdError err = {0};
    JdStatus s;

    (void)argc;
    s = load_submission(ctl, args[0], &sub, &err);
    if (s == JD_OK && ctl->log_address != NULL) {
        JdConfig *cfg = NULL;

        s = CtlLog_Open(ctl, &err);
        if (s == JD_OK) {
            s = CtlLog_CatchUp(ctl, &err);
        }
        if (s == JD_OK) {
            s = JdConfig_ApplyPatch(ctl->store.config, sub.patch, sub.base + 1,
                                    &cfg, &err);
        }
        if (s == JD_OK) {
            s = JdConfig_Validate(cfg, ctl->store.rules_version, &err);
        }
        JdConfig_Unref(cfg);
    }
    json_decref(sub.file);
    if (s != JD_OK) {
        return Ctl_Fail(ctl, &err);
    }
    Ctl_Print(ctl, json_pack("{s:b}", "valid", 1), "valid");
    return CTL_EXIT_OK;
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Submission *sub = ctx;

    if (!sub->is_decided && strcmp(out->id, sub->id) == 0) {
        sub->is_decided = true;
        sub->outcome = *out;
        sub->at = rec->logged_at;
    }
}

/*
 * Checks a patch against the newest version by the rules that every reader of
 * the log applies, so that a patch bound to be refused is not appended.
 */
static JdStatus
check_against_newest(const Ctl *ctl, const Submission *sub, JdError *err)
{
    uint64_t at = ctl->store.config->version;
    JdConfig *cfg;
    JdStatus s;

    if (sub->base < at) {
        return JdError_Set(err, JD_ERR_BASE_LOST, "/base",
                           "base %" G_GUINT64_FORMAT
                           " lost to version %" G_GUINT64_FORMAT
                           "; version %" G_GUINT64_FORMAT " is the newest",
                           sub->base, sub->base + 1, at);
    }
    if (sub->base > at) {
        return JdError_Set(err, JD_ERR_BASE_AHEAD, "/base",
                           "version %" G_GUINT64_FORMAT " is the newest", at);
    }
    s = JdConfig_ApplyPatch(ctl->store.config, sub->patch, at + 1, &cfg, err);
    if (s == JD_OK) {
        s = JdConfig_Validate(cfg, ctl->store.rules_version, err);
        JdConfig_Unref(cfg);
    }
    return s;
}

/*
 * Reads the log until the record has been accepted or refused, or `time` us
 * have passed.  Also returns JD_OK when the record did not appear but the log
 * could be read.
 */
static JdStatus
await_decision(Ctl *ctl, Submission *sub, uint64_t time, JdError *err)
{
    uint64_t end = JdClock_Now(&ctl->loop.clock) + time;
    JdStatus s = JD_OK;

    while (!sub->is_decided) {
        s = CtlLog_CatchUp(ctl, err);
        if (sub->is_decided || JdClock_Now(&ctl->loop.clock) >= end) {
            break;
        }
        Ctl_RunFor(ctl, POLL_INTERVAL);
    }
    return sub->is_decided ? JD_OK : s;
}

/* Appends the record of a patch and waits until it is accepted or refused. */
static JdStatus
append_patch(Ctl *ctl, Submission *sub, JdError *err)
{
    char *text =
        JdRecord_MakePatch(sub->base, sub->id, sub->author, sub->patch);
    uint64_t offset;
    JdStatus s = CtlLog_Append(ctl, JD_STREAM_CONFIG, text, &offset);

    free(text);
    if (s == JD_ERR_REFUSED || s == JD_ERR_UNREACHABLE) {
        return JdError_Set(err, s, "",
                           "the log did not accept the record; nothing was "
                           "submitted");
    }
    if (await_decision(ctl, sub,
                       s == JD_OK ? (uint64_t)ctl->timeout_s * JD_US_PER_S
                                  : UNCLEAR_APPEND_TIMEOUT,
                       err) != JD_OK) {
        return JdError_Set(
            err, JD_ERR_UNKNOWN_RESULT, "",
            "cannot read the log, outcome unknown; submit again "
            "with --id %s",
            sub->id);
    }
    if (!sub->is_decided) {
        return JdError_Set(
            err, JD_ERR_UNKNOWN_RESULT, "",
            "the log does not show the record yet; submit again "
            "with --id %s",
            sub->id);
    }
    return JD_OK;
}

static JdStatus
submit_patch(Ctl *ctl, const char *name, Submission *sub, JdError *err)
{
    JdStatus s = load_submission(ctl, name, sub, err);

    if (s == JD_OK) {
        s = CtlLog_Open(ctl, err);
    }
    ctl->decided = on_decided;
    ctl->decided_ctx = sub;
    if (s == JD_OK) {
        s = CtlLog_CatchUp(ctl, err);
    }
    /* A repeated id gets the outcome of its first record; no new append. */
    if (s == JD_OK && !sub->is_decided) {
        s = check_against_newest(ctl, sub, err);
        if (s == JD_OK) {
            s = append_patch(ctl, sub, err);
        }
    }
    if (s == JD_OK && sub->outcome.status != JD_OK) {
        *err = sub->outcome.err;
        s = sub->outcome.status;
    }
    return s;
}

/* Submits a patch and prints the version that it created. */
CtlExit
CtlSubmit_Submit(Ctl *ctl, int argc, char **args)
{
    Submission sub = {0};
    JdError err = {0};

    (void)argc;
    if (submit_patch(ctl, args[0], &sub, &err) != JD_OK) {
        json_decref(sub.file);
        return Ctl_Fail(ctl, &err);
    }
    json_decref(sub.file);
    Ctl_Print(ctl,
              json_pack("{s:I, s:s, s:I}", "version",
                        (json_int_t)sub.outcome.version, "id", sub.id, "at_us",
                        (json_int_t)sub.at),
              "accepted as version %" G_GUINT64_FORMAT, sub.outcome.version);
    return CTL_EXIT_OK;
}
