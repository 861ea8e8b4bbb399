/* Creates and composes JSON merge patches (RFC 7396) of configurations. */
#include <glib.h>

#include "libjd.h"

/*
 * Adds the change from entry `old`, which may be NULL, to entry `val` to the
 * patch `tab` of their table.
 */
static void
diff_entry(json_t *tab, const char *name, const json_t *old, json_t *val)
{
    json_t *change = json_object();
    const char *field;
    json_t *v;

    json_object_foreach((json_t *)old, field, v)
    {
        if (json_object_get(val, field) == NULL) {
            json_object_set_new(change, field, json_null());
        }
    }
    json_object_foreach(val, field, v)
    {
        const json_t *old_val = json_object_get(old, field);

        if (old_val == NULL || !json_equal(old_val, v)) {
            json_object_set(change, field, v);
        }
    }
    if (old != NULL && json_object_size(change) == 0) {
        json_decref(change);
        return;
    }
    json_object_set_new(tab, name, change);
}

/* Returns the patch that turns table `old` into `tab`. */
static json_t *
diff_table(const json_t *old, json_t *tab)
{
    json_t *out = json_object();
    const char *name;
    json_t *v;

    json_object_foreach((json_t *)old, name, v)
    {
        if (json_object_get(tab, name) == NULL) {
            json_object_set_new(out, name, json_null());
        }
    }
    json_object_foreach(tab, name, v)
    {
        diff_entry(out, name, json_object_get(old, name), v);
    }
    return out;
}

/*
 * Returns, as a new reference, the patch that turns a version into the given
 * complete document.  Tables missing from the document become empty.
 */
json_t *
JdPatch_Diff(const JdConfig *old, const json_t *doc)
{
    json_t *patch = json_object();

    for (int t = 0; t < JD_TABLE_MAX; t++) {
        json_t *tab = json_object_get(doc, JdTable_Name((JdTable)t));
        json_t *empty = tab == NULL ? json_object() : NULL;
        json_t *change = diff_table(old->table[t], tab == NULL ? empty : tab);

        if (json_object_size(change) > 0) {
            json_object_set_new(patch, JdTable_Name((JdTable)t), change);
        }
        else {
            json_decref(change);
        }
        json_decref(empty);
    }
    return patch;
}

/*
 * Stores in `out`, as a new reference, one patch with the effect of `first`
 * followed by `second`.  Returns false if there is none: if `first` deletes an
 * entry that `second` creates again, a single merge patch would merge the new
 * entry into the old one instead of replacing it.
 */
bool
JdPatch_Compose(json_t *first, json_t *second, json_t **out)
{
    json_t *res = json_deep_copy(first);
    const char *key, *name;
    json_t *tab, *val;

    json_object_foreach(second, key, tab)
    {
        json_t *into = json_object_get(res, key);

        if (into == NULL) {
            json_object_set_new(res, key, json_deep_copy(tab));
            continue;
        }
        json_object_foreach(tab, name, val)
        {
            json_t *old = json_object_get(into, name);

            if (old == NULL || json_is_null(val)) {
                json_object_set_new(into, name, json_deep_copy(val));
            }
            else if (json_is_null(old)) {
                json_decref(res);
                return false;
            }
            else {
                json_object_update(old, val);
            }
        }
    }
    *out = res;
    return true;
}
