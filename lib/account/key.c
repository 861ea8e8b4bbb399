/*
 * Finds the client account that a key belongs to.  A configuration holds
 * digests of the keys, and a key is looked up by its digest, so that neither a
 * copy of the configuration nor the time of a look-up reveals a key.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Priority of an account that names none. */
#define DEFAULT_PRIORITY 2

/* Returns a new index with one reference, which is not built yet. */
JdAccountIndex *
JdAccountIndex_New(void)
{
    JdAccountIndex *ix = g_new0(JdAccountIndex, 1);

    ix->ref_count = 1;
    return ix;
}

/* Adds a reference to an index. */
JdAccountIndex *
JdAccountIndex_Ref(JdAccountIndex *ix)
{
    ix->ref_count++;
    return ix;
}

/* Releases a reference and frees the index with the last one. */
void
JdAccountIndex_Unref(JdAccountIndex *ix)
{
    if (ix == NULL || --ix->ref_count > 0) {
        return;
    }
    if (ix->by_digest != NULL) {
        g_hash_table_destroy(ix->by_digest);
    }
    g_free(ix);
}

/* Computes the digest by which configurations name a key of `len` bytes. */
void
JdAccountKey_Digest(const char *key, size_t len,
                    char digest[JD_KEY_DIGEST_SIZE])
{
    char *text = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                             (const guchar *)key, len);

    g_strlcpy(digest, text, JD_KEY_DIGEST_SIZE);
    g_free(text);
}

/* Adds the keys of an account.  Fails if another account holds one of them. */
static JdStatus
add_keys(GHashTable *by_digest, const char *name, const json_t *keys,
         JdError *err)
{
    json_t *key;
    size_t i;

    json_array_foreach((json_t *)keys, i, key)
    {
        const char *digest = json_string_value(key);
        const char *holder = g_hash_table_lookup(by_digest, digest);
        char path[JD_PATH_MAX];

        if (holder != NULL && strcmp(holder, name) != 0) {
            g_snprintf(path, sizeof(path), "/accounts/%s/keys/%u", name,
                       (unsigned)i);
            return JdError_Set(err, JD_ERR_DUPLICATE_NAME, path,
                               "account %s holds the same key", holder);
        }
        g_hash_table_insert(by_digest, g_strdup(digest), g_strdup(name));
    }
    return JD_OK;
}

/*
 * Builds the index of a configuration's accounts, unless an earlier version
 * has built it.  Fails with JD_ERR_DUPLICATE_NAME if two accounts hold the
 * same key; the path of the error is that of the second one.
 */
JdStatus
JdConfig_IndexAccounts(const JdConfig *cfg, JdError *err)
{
    JdStatus s = JD_OK;
    GHashTable *by_digest;
    const char *name;
    json_t *account;

    if (cfg->accounts->by_digest != NULL) {
        return JD_OK;
    }
    by_digest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    json_object_foreach(cfg->table[JD_TABLE_ACCOUNTS], name, account)
    {
        s = add_keys(by_digest, name, json_object_get(account, "keys"), err);
        if (s != JD_OK) {
            g_hash_table_destroy(by_digest);
            return s;
        }
    }
    cfg->accounts->by_digest = by_digest;
    return JD_OK;
}

/* Returns whether requests have to name an account, unless their route is
 * public. */
bool
JdConfig_HasAccounts(const JdConfig *cfg)
{
    return json_object_size(cfg->table[JD_TABLE_ACCOUNTS]) > 0;
}

/* Returns whether any account has a rate. */
bool
JdConfig_HasRates(const JdConfig *cfg)
{
    const char *name;
    json_t *account;

    json_object_foreach(cfg->table[JD_TABLE_ACCOUNTS], name, account)
    {
        if (json_integer_value(json_object_get(account, "rate_per_1000s")) >
            0) {
            return true;
        }
    }
    return false;
}

/* Finds an account by its name.  The name in `out` is valid as long as the
 * configuration. */
bool
JdConfig_GetAccount(const JdConfig *cfg, const char *name, JdAccount *out)
{
    json_t *table = cfg->table[JD_TABLE_ACCOUNTS];
    json_t *account = json_object_get(table, name);
    json_t *priority = json_object_get(account, "priority");

    if (account == NULL) {
        return false;
    }
    out->name = json_object_iter_key(json_object_iter_at(table, name));
    out->priority = priority == NULL ? DEFAULT_PRIORITY
                                     : (unsigned)json_integer_value(priority);
    out->rate = (uint64_t)json_integer_value(
        json_object_get(account, "rate_per_1000s"));
    out->burst =
        (uint64_t)json_integer_value(json_object_get(account, "burst"));
    return true;
}

/* Finds the account that holds the key with a digest. */
bool
JdConfig_FindAccount(const JdConfig *cfg,
                     const char digest[JD_KEY_DIGEST_SIZE], JdAccount *out)
{
    const char *name;

    if (JdConfig_IndexAccounts(cfg, NULL) != JD_OK) {
        return false;
    }
    name = g_hash_table_lookup(cfg->accounts->by_digest, digest);
    return name != NULL && JdConfig_GetAccount(cfg, name, out);
}
