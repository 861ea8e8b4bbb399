/*
 * Settings files in JSON.  The whole file is checked, and each error is
 * reported with the JSON pointer of the setting.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

/* Errors found so far; those above `max` are only counted. */
typedef struct ErrorList {
    JdError *errs;
    unsigned max;
    unsigned count;
} ErrorList;

static void
add_error(ErrorList *list, JdStatus status, const char *path, const char *text)
{
    if (list->count < list->max) {
        JdError_Set(&list->errs[list->count], status, path, "%s", text);
    }
    list->count++;
}

/* Returns the value at a JSON pointer without escapes, or NULL. */
static json_t *
resolve_pointer(json_t *js, const char *path)
{
    char key[JD_NAME_MAX];

    while (*path == '/' && js != NULL) {
        size_t n = strcspn(path + 1, "/");

        snprintf(key, sizeof(key), "%.*s", (int)n, path + 1);
        js = json_object_get(js, key);
        path += n + 1;
    }
    return js;
}

static void
parse_preset(const char *text, const JdSetting *s, char *member,
             ErrorList *list)
{
    for (int p = 0; p < JD_PRESET_MAX; p++) {
        if (strcmp(text, JdPreset_Name((JdPreset)p)) == 0) {
            *(JdPreset *)member = (JdPreset)p;
            return;
        }
    }
    add_error(list, JD_ERR_RANGE, s->path, "unknown preset");
}

static void
parse_string(const char *text, const JdSetting *s, char *member,
             ErrorList *list)
{
    struct sockaddr_in sin;
    size_t size = s->type == JD_SETTING_ADDRESS ? JD_ADDRESS_MAX : s->size;

    if (s->type == JD_SETTING_PRESET) {
        parse_preset(text, s, member, list);
        return;
    }
    if (strlen(text) == 0 || strlen(text) >= size) {
        add_error(list, JD_ERR_RANGE, s->path, "string is empty or too long");
        return;
    }
    if (s->type == JD_SETTING_ADDRESS &&
        JdAddress_Parse(text, &sin, NULL) != JD_OK) {
        add_error(list, JD_ERR_RANGE, s->path, "not an IP:PORT");
        return;
    }
    snprintf(member, size, "%s", text);
}

static bool
is_required(json_t *js, const JdSetting *s)
{
    return s->required ||
           (s->required_with != NULL &&
            resolve_pointer(js, s->required_with) != NULL) ||
           (s->required_without != NULL &&
            resolve_pointer(js, s->required_without) == NULL);
}

/* Reads a setting into its member of `out`, or reports why that fails. */
static void
read_setting(json_t *js, const JdSetting *s, void *out, ErrorList *list)
{
    json_t *v = resolve_pointer(js, s->path);
    char *member = (char *)out + s->offset;

    if (v == NULL) {
        if (is_required(js, s)) {
            add_error(list, JD_ERR_MISSING_FIELD, s->path,
                      "setting is required");
        }
        return;
    }
    if (s->type == JD_SETTING_NUMBER) {
        if (!json_is_integer(v)) {
            add_error(list, JD_ERR_TYPE, s->path, "not an integer");
        }
        else if (json_integer_value(v) < s->min ||
                 json_integer_value(v) > s->max) {
            add_error(list, JD_ERR_RANGE, s->path,
                      "number outside the allowed range");
        }
        else {
            *(uint64_t *)member = (uint64_t)json_integer_value(v);
        }
        return;
    }
    if (!json_is_string(v)) {
        add_error(list, JD_ERR_TYPE, s->path, "not a string");
        return;
    }
    parse_string(json_string_value(v), s, member, list);
}

/*
 * Returns whether a path is that of a setting or of an object on the way to
 * one, which sets `is_object`.
 */
static bool
is_known_path(const char *path, const JdSetting *table, size_t n,
              bool *is_object)
{
    size_t len = strlen(path);

    *is_object = false;
    for (size_t i = 0; i < n; i++) {
        if (strcmp(table[i].path, path) == 0) {
            return true;
        }
        if (strncmp(table[i].path, path, len) == 0 &&
            table[i].path[len] == '/') {
            *is_object = true;
        }
    }
    return *is_object;
}

static void
check_unknown_fields(json_t *js, const char *prefix, const JdSetting *table,
                     size_t n, ErrorList *list)
{
    const char *key;
    json_t *v;

    json_object_foreach(js, key, v)
    {
        char path[JD_PATH_MAX];
        bool is_object;

        snprintf(path, sizeof(path), "%s/%s", prefix, key);
        if (!is_known_path(path, table, n, &is_object)) {
            add_error(list, JD_ERR_UNKNOWN_FIELD, path, "unknown setting");
        }
        else if (is_object && !json_is_object(v)) {
            add_error(list, JD_ERR_TYPE, path, "not an object");
        }
        else if (is_object) {
            check_unknown_fields(v, path, table, n, list);
        }
    }
}

/*
 * Reads a settings file into `out` as described by a table of `n` settings.
 * Members of absent optional settings keep their value.  Returns the number of
 * errors; up to `max_errs` of them are in `errs`, each with its JSON pointer.
 */
unsigned
JdSettings_Read(const char *file, const JdSetting *table, size_t n, void *out,
                JdError *errs, unsigned max_errs)
{
    ErrorList list = {.errs = errs, .max = max_errs};
    json_error_t je;
    json_t *js = json_load_file(file, JSON_REJECT_DUPLICATES, &je);
    char text[JD_TEXT_MAX];

    if (js == NULL) {
        snprintf(text, sizeof(text), "line %d column %d: %.120s", je.line,
                 je.column, je.text);
        add_error(&list, JD_ERR_SYNTAX, "", text);
        return list.count;
    }
    if (!json_is_object(js)) {
        add_error(&list, JD_ERR_TYPE, "", "top-level value is not an object");
    }
    else {
        check_unknown_fields(js, "", table, n, &list);
        for (size_t i = 0; i < n; i++) {
            read_setting(js, &table[i], out, &list);
        }
    }
    json_decref(js);
    return list.count;
}
