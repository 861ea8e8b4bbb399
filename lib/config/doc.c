/*
 * Configuration documents: parsing, merge patches and validation.
 *
 * A document has five tables of named entries.  A patch is a JSON merge patch
 * (RFC 7396) of these tables.  Applying a patch copies the tables and entries
 * that it changes and shares all others, so earlier versions remain valid for
 * the requests that still use them.
 */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Maximum length of service, endpoint set and policy names, in bytes. */
#define NAME_MAX_LEN 64
/* Maximum weight of an endpoint set in a split. */
#define WEIGHT_MAX 1000000
/* Maximum rate of an account in requests per 1000 s, and its largest burst. */
#define RATE_MAX 1000000000000

/* A field that entries of a table may have. */
typedef struct Field {
    JdTable table;
    const char *name;
    json_type type; /* JSON_TRUE: either boolean */
    bool required;
    json_int_t min; /* of an integer */
    json_int_t max; /* of an integer */
    int ref_table;  /* JdTable of the entry that the value names, or -1 */
} Field;

/* The fields of each table.  Version 2 of the validation rules added those of
 * accounts, /services/.../balance, /routes/.../public and
 * /policies/.../bulk. */
static const Field fields[] = {
    {JD_TABLE_SERVICES, "policy", JSON_STRING, false, 0, 0, JD_TABLE_POLICIES},
    {JD_TABLE_SERVICES, "note", JSON_STRING, false, 0, 0, -1},
    {JD_TABLE_SERVICES, "connections", JSON_INTEGER, false, 1, 1000000, -1},
    /* "work": targets are picked by work and speed. */
    {JD_TABLE_SERVICES, "balance", JSON_STRING, false, 0, 0, -1},
    {JD_TABLE_ENDPOINT_SETS, "service", JSON_STRING, true, 0, 0,
     JD_TABLE_SERVICES},
    {JD_TABLE_ENDPOINT_SETS, "note", JSON_STRING, false, 0, 0, -1},
    {JD_TABLE_ROUTES, "service", JSON_STRING, true, 0, 0, JD_TABLE_SERVICES},
    {JD_TABLE_ROUTES, "endpoint_set", JSON_STRING, true, 0, 0,
     JD_TABLE_ENDPOINT_SETS},
    {JD_TABLE_ROUTES, "policy", JSON_STRING, false, 0, 0, JD_TABLE_POLICIES},
    /* Maps endpoint sets to weights; takes precedence over endpoint_set. */
    {JD_TABLE_ROUTES, "split", JSON_OBJECT, false, 0, 0, -1},
    {JD_TABLE_ROUTES, "public", JSON_TRUE, false, 0, 0, -1},
    {JD_TABLE_POLICIES, "priority", JSON_INTEGER, false, 0, 3, -1},
    {JD_TABLE_POLICIES, "deadline_ms", JSON_INTEGER, false, 1, 600000, -1},
    {JD_TABLE_POLICIES, "latency_ms", JSON_INTEGER, false, 1, 600000, -1},
    {JD_TABLE_POLICIES, "attempts", JSON_INTEGER, false, 1, 100, -1},
    {JD_TABLE_POLICIES, "retry_percent", JSON_INTEGER, false, 0, 100, -1},
    {JD_TABLE_POLICIES, "idempotent", JSON_TRUE, false, 0, 0, -1},
    {JD_TABLE_POLICIES, "once", JSON_TRUE, false, 0, 0, -1},
    {JD_TABLE_POLICIES, "bulk", JSON_TRUE, false, 0, 0, -1},
    /* Digests of the account's keys, see JdAccountKey_Digest. */
    {JD_TABLE_ACCOUNTS, "keys", JSON_ARRAY, true, 0, 0, -1},
    {JD_TABLE_ACCOUNTS, "priority", JSON_INTEGER, false, 0, 3, -1},
    {JD_TABLE_ACCOUNTS, "rate_per_1000s", JSON_INTEGER, false, 0, RATE_MAX,
     -1},
    {JD_TABLE_ACCOUNTS, "burst", JSON_INTEGER, false, 0, RATE_MAX, -1},
};

static const char *const table_names[JD_TABLE_MAX] = {
    [JD_TABLE_SERVICES] = "services",
    [JD_TABLE_ENDPOINT_SETS] = "endpoint_sets",
    [JD_TABLE_ROUTES] = "routes",
    [JD_TABLE_POLICIES] = "policies",
    [JD_TABLE_ACCOUNTS] = "accounts",
};

/* Returns the name of a table as documents spell it. */
const char *
JdTable_Name(JdTable table)
{
    return table < JD_TABLE_MAX ? table_names[table] : "?";
}

/* Returns the JdTable of a name, or -1. */
static int
find_table(const char *name)
{
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        if (strcmp(name, table_names[t]) == 0) {
            return t;
        }
    }
    return -1;
}

static const Field *
find_field(JdTable table, const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (fields[i].table == table && strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

/*
 * Formats a JSON pointer (RFC 6901) to a table, entry or field.  `name` and
 * `field` may be NULL.
 */
static void
format_path(char *buf, size_t size, const char *table, const char *name,
            const char *field)
{
    size_t n = 0;
    const char *part[] = {table, name, field};

    buf[0] = '\0';
    for (size_t i = 0; i < G_N_ELEMENTS(part) && part[i] != NULL; i++) {
        if (n + 1 < size) {
            buf[n++] = '/';
        }
        for (const char *p = part[i]; *p != '\0' && n + 2 < size; p++) {
            if (*p == '/' || *p == '~') {
                buf[n++] = '~';
                buf[n++] = *p == '/' ? '1' : '0';
            }
            else {
                buf[n++] = *p;
            }
        }
    }
    buf[n < size ? n : size - 1] = '\0';
}

/* Sets an error at an entry, or at one of its fields, and returns `status`. */
static JdStatus
fail(JdError *err, JdStatus status, JdTable table, const char *name,
     const char *field, const char *text)
{
    char path[JD_PATH_MAX];

    format_path(path, sizeof(path), table_names[table], name, field);
    return JdError_Set(err, status, path, "%s", text);
}

/* Returns a new, empty configuration at version 0. */
JdConfig *
JdConfig_New(void)
{
    JdConfig *cfg = g_new0(JdConfig, 1);

    cfg->ref_count = 1;
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        cfg->table[t] = json_object();
    }
    cfg->accounts = JdAccountIndex_New();
    return cfg;
}

/* Adds a reference to a configuration. */
JdConfig *
JdConfig_Ref(JdConfig *cfg)
{
    cfg->ref_count++;
    return cfg;
}

/* Releases a reference and frees the configuration with the last one. */
void
JdConfig_Unref(JdConfig *cfg)
{
    if (cfg == NULL || --cfg->ref_count > 0) {
        return;
    }
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        json_decref(cfg->table[t]);
    }
    JdAccountIndex_Unref(cfg->accounts);
    g_free(cfg);
}

/*
 * Parses JSON text and stores a new reference in `out`.  Fails with
 * JD_ERR_SYNTAX or JD_ERR_DUPLICATE_NAME; the error text states line and
 * column.
 */
JdStatus
JdJson_Parse(const char *text, size_t len, json_t **out, JdError *err)
{
    json_error_t je;

    *out = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
    if (*out != NULL) {
        return JD_OK;
    }
    return JdError_Set(err,
                       json_error_code(&je) == json_error_duplicate_key
                           ? JD_ERR_DUPLICATE_NAME
                           : JD_ERR_SYNTAX,
                       "", "line %d column %d: %s", je.line, je.column,
                       je.text);
}

/* The name of a route is its path prefix, preceded by its host if any. */
static bool
is_route_name_valid(const char *name, size_t n)
{
    size_t host = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789.-");

    return n <= _JD_ROUTE_NAME_LIMIT && name[host] == '/' &&
           strpbrk(name, " ?#\"\\") == NULL;
}

static bool
is_name_valid(JdTable table, const char *name)
{
    size_t n = strlen(name);

    if (table == JD_TABLE_ROUTES) {
        return is_route_name_valid(name, n);
    }
    if (n == 0 || n > NAME_MAX_LEN || !isalnum((unsigned char)name[0])) {
        return false;
    }
    return strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == n;
}

static bool
is_type_valid(const Field *f, const json_t *val)
{
    if (f->type == JSON_TRUE) {
        return json_is_boolean(val);
    }
    return json_typeof(val) == f->type;
}

/* Checks the weights of a split. */
static JdStatus
check_split(const char *name, const json_t *split, JdError *err)
{
    json_int_t sum = 0;
    const char *set;
    json_t *v;

    json_object_foreach((json_t *)split, set, v)
    {
        json_int_t weight = json_integer_value(v);

        if (!json_is_integer(v)) {
            return fail(err, JD_ERR_TYPE, JD_TABLE_ROUTES, name, "split",
                        "weight is not an integer");
        }
        if (weight < 0 || weight > WEIGHT_MAX) {
            return fail(err, JD_ERR_RANGE, JD_TABLE_ROUTES, name, "split",
                        "weight is out of range");
        }
        sum += weight;
    }
    if (sum == 0) {
        return fail(err, JD_ERR_RANGE, JD_TABLE_ROUTES, name, "split",
                    "all weights are 0");
    }
    return JD_OK;
}

/* Checks the digests of an account's keys. */
static JdStatus
check_keys(const char *name, const json_t *keys, JdError *err)
{
    json_t *key;
    size_t i;

    json_array_foreach((json_t *)keys, i, key)
    {
        const char *text = json_string_value(key);

        if (text == NULL || strlen(text) != JD_KEY_DIGEST_SIZE - 1 ||
            strspn(text, "0123456789abcdef") != JD_KEY_DIGEST_SIZE - 1) {
            return fail(err, JD_ERR_TYPE, JD_TABLE_ACCOUNTS, name, "keys",
                        "not a list of SHA-256 digests in hexadecimal");
        }
    }
    return JD_OK;
}

/* Checks one field of an entry, except whether the entry it names exists. */
static JdStatus
check_field(JdTable table, const char *name, const char *field,
            const json_t *val, JdError *err)
{
    const Field *f = find_field(table, field);

    if (f == NULL) {
        return fail(err, JD_ERR_UNKNOWN_FIELD, table, name, field,
                    "not a field of this table");
    }
    if (!is_type_valid(f, val)) {
        return fail(err, JD_ERR_TYPE, table, name, field,
                    "value has the wrong type");
    }
    if (f->type == JSON_INTEGER && (json_integer_value(val) < f->min ||
                                    json_integer_value(val) > f->max)) {
        return fail(err, JD_ERR_RANGE, table, name, field,
                    "number is out of range");
    }
    if (f->type == JSON_ARRAY) {
        return check_keys(name, val, err);
    }
    if (strcmp(field, "balance") == 0 &&
        strcmp(json_string_value(val), "work") != 0) {
        return fail(err, JD_ERR_RANGE, table, name, field,
                    "not a way to balance");
    }
    return f->type == JSON_OBJECT ? check_split(name, val, err) : JD_OK;
}

static JdStatus
check_entry_patch(JdTable table, const char *name, const json_t *val,
                  JdError *err)
{
    const char *field;
    json_t *v;

    if (!is_name_valid(table, name)) {
        return fail(err, JD_ERR_RANGE, table, name, NULL, "invalid name");
    }
    if (json_is_null(val)) {
        return JD_OK;
    }
    if (!json_is_object(val)) {
        return fail(err, JD_ERR_TYPE, table, name, NULL,
                    "entry is not an object");
    }
    json_object_foreach((json_t *)val, field, v)
    {
        JdStatus s = JD_OK;

        if (!json_is_null(v)) {
            s = check_field(table, name, field, v, err);
        }
        if (s != JD_OK) {
            return s;
        }
    }
    return JD_OK;
}

/*
 * Checks what can be checked of a patch without its base version: tables,
 * names, fields, types and ranges.  On failure the path of the error is the
 * JSON pointer to the invalid value.
 */
JdStatus
JdConfig_CheckPatch(const json_t *patch, JdError *err)
{
    const char *key, *name;
    json_t *tab, *val;

    if (!json_is_object(patch)) {
        return JdError_Set(err, JD_ERR_TYPE, "", "patch is not an object");
    }
    json_object_foreach((json_t *)patch, key, tab)
    {
        int t = find_table(key);
        char path[JD_PATH_MAX];

        format_path(path, sizeof(path), key, NULL, NULL);
        if (t < 0) {
            return JdError_Set(err, JD_ERR_UNKNOWN_FIELD, path,
                               "unknown table");
        }
        if (!json_is_object(tab)) {
            return JdError_Set(err, JD_ERR_TYPE, path,
                               "table is not an object");
        }
        json_object_foreach(tab, name, val)
        {
            JdStatus s = check_entry_patch((JdTable)t, name, val, err);

            if (s != JD_OK) {
                return s;
            }
        }
    }
    return JD_OK;
}

/* Returns a new entry: `patch` merged into `old`, which may be NULL. */
static json_t *
merge_entry(const json_t *old, json_t *patch)
{
    json_t *out = old == NULL ? json_object() : json_copy((json_t *)old);
    const char *field;
    json_t *v;

    json_object_foreach(patch, field, v)
    {
        if (json_is_null(v)) {
            json_object_del(out, field);
        }
        else {
            json_object_set(out, field, v);
        }
    }
    return out;
}

/* Replaces a table by a patched copy and updates the digest. */
static void
merge_table(JdConfig *cfg, JdTable t, json_t *patch)
{
    json_t *tab = json_copy(cfg->table[t]);
    const char *name;
    json_t *val;

    json_decref(cfg->table[t]);
    cfg->table[t] = tab;
    json_object_foreach(patch, name, val)
    {
        json_t *old = json_object_get(tab, name);
        json_t *merged = json_is_null(val) ? NULL : merge_entry(old, val);

        if (old != NULL) {
            _JdDigest_Remove(&cfg->digest, t, name, old);
        }
        if (merged == NULL) {
            json_object_del(tab, name);
        }
        else {
            _JdDigest_Add(&cfg->digest, t, name, merged);
            json_object_set_new(tab, name, merged);
        }
    }
}

/*
 * Applies a patch to `old` and stores the result, a new reference numbered
 * `version`, in `out`.  `old` is not changed.  The patch is checked as by
 * JdConfig_CheckPatch; the result is not validated.
 */
JdStatus
JdConfig_ApplyPatch(const JdConfig *old, const json_t *patch, uint64_t version,
                    JdConfig **out, JdError *err)
{
    JdStatus s = JdConfig_CheckPatch(patch, err);
    const char *key;
    JdConfig *cfg;
    json_t *tab;

    if (s != JD_OK) {
        return s;
    }
    cfg = g_new0(JdConfig, 1);
    cfg->ref_count = 1;
    cfg->version = version;
    cfg->digest = old->digest;
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        cfg->table[t] = json_incref(old->table[t]);
    }
    cfg->accounts =
        json_object_get(patch, table_names[JD_TABLE_ACCOUNTS]) == NULL
            ? JdAccountIndex_Ref(old->accounts)
            : JdAccountIndex_New();
    json_object_foreach((json_t *)patch, key, tab)
    {
        merge_table(cfg, (JdTable)find_table(key), tab);
    }
    *out = cfg;
    return JD_OK;
}

static const char *
get_string(const json_t *entry, const char *field)
{
    return json_string_value(json_object_get(entry, field));
}

/* Checks that required fields are present and that named entries exist. */
static JdStatus
check_references(const JdConfig *cfg, JdTable table, const char *name,
                 const json_t *entry, JdError *err)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const Field *f = &fields[i];
        json_t *v = json_object_get(entry, f->name);

        if (f->table != table) {
            continue;
        }
        if (v == NULL) {
            if (f->required) {
                return fail(err, JD_ERR_MISSING_FIELD, table, name, f->name,
                            "required field is missing");
            }
            continue;
        }
        if (f->ref_table >= 0 &&
            json_object_get(cfg->table[f->ref_table], json_string_value(v)) ==
                NULL) {
            return fail(err, JD_ERR_DANGLING, table, name, f->name,
                        "refers to an entry that does not exist");
        }
    }
    return JD_OK;
}

/*
 * Checks that the endpoint set of a route belongs to the route's service and
 * that the endpoint sets of its split exist.
 */
static JdStatus
check_route(const JdConfig *cfg, const char *name, const json_t *entry,
            JdError *err)
{
    const json_t *set = json_object_get(cfg->table[JD_TABLE_ENDPOINT_SETS],
                                        get_string(entry, "endpoint_set"));
    const char *split_set;
    json_t *v;

    if (strcmp(get_string(set, "service"), get_string(entry, "service")) !=
        0) {
        return fail(err, JD_ERR_SERVICE_MISMATCH, JD_TABLE_ROUTES, name,
                    "endpoint_set", "endpoint set belongs to another service");
    }
    json_object_foreach(json_object_get(entry, "split"), split_set, v)
    {
        if (json_object_get(cfg->table[JD_TABLE_ENDPOINT_SETS], split_set) ==
            NULL) {
            return fail(err, JD_ERR_DANGLING, JD_TABLE_ROUTES, name, "split",
                        "refers to an entry that does not exist");
        }
    }
    return JD_OK;
}

/* Returns whether a table has an entry with this field. */
static bool
has_field(const JdConfig *cfg, JdTable table, const char *field)
{
    const char *name;
    json_t *entry;

    json_object_foreach(cfg->table[table], name, entry)
    {
        if (json_object_get(entry, field) != NULL) {
            return true;
        }
    }
    return false;
}

/* Returns the lowest version of the validation rules that knows all fields of
 * a configuration. */
unsigned
JdConfig_RulesNeeded(const JdConfig *cfg)
{
    return JdConfig_HasAccounts(cfg) ||
                   has_field(cfg, JD_TABLE_SERVICES, "balance") ||
                   has_field(cfg, JD_TABLE_ROUTES, "public") ||
                   has_field(cfg, JD_TABLE_POLICIES, "bulk")
               ? 2
               : 1;
}

/*
 * Validates a configuration by the given version of the validation rules.
 * Fails with JD_ERR_RULES_UNKNOWN if this release does not implement that
 * version.  For other errors, the path is the JSON pointer to the first
 * invalid value.
 */
JdStatus
JdConfig_Validate(const JdConfig *cfg, unsigned rules, JdError *err)
{
    const char *name;
    json_t *entry;

    if (rules == 0 || rules > JD_RULES_NEWEST) {
        return JdError_Set(err, JD_ERR_RULES_UNKNOWN, "",
                           "validation rules %u are not supported", rules);
    }
    if (rules < JdConfig_RulesNeeded(cfg)) {
        return JdError_Set(err, JD_ERR_UNKNOWN_FIELD, "/accounts",
                           "client accounts, balanced services, public routes "
                           "and bulk policies need validation rules 2");
    }
    for (int t = 0; t < JD_TABLE_MAX; t++) {
        json_object_foreach(cfg->table[t], name, entry)
        {
            JdStatus s = check_references(cfg, (JdTable)t, name, entry, err);

            if (s == JD_OK && t == JD_TABLE_ROUTES) {
                s = check_route(cfg, name, entry, err);
            }
            if (s != JD_OK) {
                return s;
            }
        }
    }
    return JdConfig_IndexAccounts(cfg, err);
}

/* Returns a configuration as a JSON document, a new reference.  Accounts are
 * left out where there are none, as releases before them refuse the table. */
json_t *
JdConfig_ToJson(const JdConfig *cfg)
{
    json_t *doc = json_object();

    for (int t = 0; t < JD_TABLE_MAX; t++) {
        if (t != JD_TABLE_ACCOUNTS || JdConfig_HasAccounts(cfg)) {
            json_object_set(doc, table_names[t], cfg->table[t]);
        }
    }
    return doc;
}

/* Creates a configuration from a document, which is checked like a patch. */
JdStatus
JdConfig_FromJson(json_t *doc, uint64_t version, JdConfig **out, JdError *err)
{
    JdConfig *empty = JdConfig_New();
    JdStatus s = JdConfig_ApplyPatch(empty, doc, version, out, err);

    JdConfig_Unref(empty);
    return s;
}
