/* Settings files: JSON, checked whole, with every fault named by its path. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

typedef struct Faults {
    JdError *errs;
    unsigned most;
    unsigned count;
} Faults;

static void
add_fault(Faults *f, JdStatus status, const char *path, const char *text)
{
    if (f->count < f->most) {
        JdError_Set(&f->errs[f->count], status, path, "%s", text);
    }
    f->count++;
}

/* Follows a JSON pointer without escapes. */
static json_t *
follow(json_t *js, const char *path)
{
    char part[JD_NAME_MAX];

    while (*path == '/' && js != NULL) {
        size_t n = strcspn(path + 1, "/");

        snprintf(part, sizeof(part), "%.*s", (int)n, path + 1);
        js = json_object_get(js, part);
        path += n + 1;
    }
    return js;
}

static void
take_preset(const char *text, const JdSetting *s, char *at, Faults *f)
{
    for (int p = 0; p < JD_PRESET_MAX; p++) {
        if (strcmp(text, JdPreset_Name((JdPreset)p)) == 0) {
            *(JdPreset *)at = (JdPreset)p;
            return;
        }
    }
    add_fault(f, JD_ERR_RANGE, s->path, "no such preset");
}

static void
take_text(const char *text, const JdSetting *s, char *at, Faults *f)
{
    struct sockaddr_in sin;
    size_t size = s->type == JD_SETTING_ADDRESS ? JD_ADDRESS_MAX : s->size;

    if (s->type == JD_SETTING_PRESET) {
        take_preset(text, s, at, f);
        return;
    }
    if (strlen(text) == 0 || strlen(text) >= size) {
        add_fault(f, JD_ERR_RANGE, s->path, "text is empty or too long");
        return;
    }
    if (s->type == JD_SETTING_ADDRESS &&
        JdAddress_Parse(text, &sin, NULL) != JD_OK) {
        add_fault(f, JD_ERR_RANGE, s->path, "not an IP:PORT");
        return;
    }
    snprintf(at, size, "%s", text);
}

static bool
is_required(json_t *js, const JdSetting *s)
{
    return s->required ||
           (s->required_with != NULL &&
            follow(js, s->required_with) != NULL) ||
           (s->required_without != NULL &&
            follow(js, s->required_without) == NULL);
}

static void
take(json_t *js, const JdSetting *s, void *out, Faults *f)
{
    json_t *v = follow(js, s->path);
    char *at = (char *)out + s->offset;

    if (v == NULL) {
        if (is_required(js, s)) {
            add_fault(f, JD_ERR_MISSING_FIELD, s->path, "setting is required");
        }
        return;
    }
    if (s->type == JD_SETTING_NUMBER) {
        if (!json_is_integer(v)) {
            add_fault(f, JD_ERR_TYPE, s->path, "not a whole number");
        }
        else if (json_integer_value(v) < s->min ||
                 json_integer_value(v) > s->max) {
            add_fault(f, JD_ERR_RANGE, s->path, "number outside its limits");
        }
        else {
            *(uint64_t *)at = (uint64_t)json_integer_value(v);
        }
        return;
    }
    if (!json_is_string(v)) {
        add_fault(f, JD_ERR_TYPE, s->path, "not a text");
        return;
    }
    take_text(json_string_value(v), s, at, f);
}

static bool
is_known(const char *path, const JdSetting *table, size_t n, bool *is_inner)
{
    size_t len = strlen(path);

    *is_inner = false;
    for (size_t i = 0; i < n; i++) {
        if (strcmp(table[i].path, path) == 0) {
            return true;
        }
        if (strncmp(table[i].path, path, len) == 0 &&
            table[i].path[len] == '/') {
            *is_inner = true;
        }
    }
    return *is_inner;
}

static void
check_unknown(json_t *js, const char *prefix, const JdSetting *table, size_t n,
              Faults *f)
{
    const char *key;
    json_t *v;

    json_object_foreach(js, key, v)
    {
        char path[JD_PATH_MAX];
        bool is_inner;

        snprintf(path, sizeof(path), "%s/%s", prefix, key);
        if (!is_known(path, table, n, &is_inner)) {
            add_fault(f, JD_ERR_UNKNOWN_FIELD, path, "no such setting");
        }
        else if (is_inner && !json_is_object(v)) {
            add_fault(f, JD_ERR_TYPE, path, "not an object");
        }
        else if (is_inner) {
            check_unknown(v, path, table, n, f);
        }
    }
}

/*
 * Reads a settings file into `out` by a table.  Returns the number of faults;
 * up to `errs_most` of them are in `errs`, each with its JSON pointer.
 */
unsigned
JdSettings_Read(const char *file, const JdSetting *table, size_t n, void *out,
                JdError *errs, unsigned errs_most)
{
    Faults f = {.errs = errs, .most = errs_most};
    json_error_t je;
    json_t *js = json_load_file(file, JSON_REJECT_DUPLICATES, &je);
    char text[JD_TEXT_MAX];

    if (js == NULL) {
        snprintf(text, sizeof(text), "line %d column %d: %.120s", je.line,
                 je.column, je.text);
        add_fault(&f, JD_ERR_SYNTAX, "", text);
        return f.count;
    }
    if (!json_is_object(js)) {
        add_fault(&f, JD_ERR_TYPE, "", "settings are not an object");
    }
    else {
        check_unknown(js, "", table, n, &f);
        for (size_t i = 0; i < n; i++) {
            take(js, &table[i], out, &f);
        }
    }
    json_decref(js);
    return f.count;
}
