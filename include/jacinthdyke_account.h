/*
 * Client accounts and their keys.  Include jacinthdyke.h instead of this file.
 */
#ifndef JACINTHDYKE_ACCOUNT_H
#define JACINTHDYKE_ACCOUNT_H

/* ---- lib/account/key.c: the account that a key belongs to -------------- */

/* Size of the SHA-256 digest of a key in hexadecimal, with its NUL. */
#define JD_KEY_DIGEST_SIZE 65

/* Characters of that digest that logs name. */
#define JD_KEY_DIGEST_LOGGED 8

/* A client account, as a configuration holds it. */
typedef struct JdAccount {
    const char *name;
    unsigned priority; /* takes precedence over that of routes */
    uint64_t rate;     /* requests per 1000 s over all nodes, 0: no limit */
    uint64_t burst;    /* requests beyond the rate that may come at once */
} JdAccount;

/* The accounts of a configuration by the digests of their keys.  Versions that
 * have the same accounts share it. */
typedef struct JdAccountIndex {
    unsigned ref_count;
    void *by_digest; /* GHashTable: digest to account name; NULL: not built */
} JdAccountIndex;

JdAccountIndex *JdAccountIndex_New(void);
JdAccountIndex *JdAccountIndex_Ref(JdAccountIndex *ix);
void JdAccountIndex_Unref(JdAccountIndex *ix);
void JdAccountKey_Digest(const char *key, size_t len,
                         char digest[JD_KEY_DIGEST_SIZE]);
JdStatus JdConfig_IndexAccounts(const JdConfig *cfg, JdError *err);
bool JdConfig_HasAccounts(const JdConfig *cfg);
bool JdConfig_GetAccount(const JdConfig *cfg, const char *name,
                         JdAccount *out);
bool JdConfig_FindAccount(const JdConfig *cfg,
                          const char digest[JD_KEY_DIGEST_SIZE],
                          JdAccount *out);

#endif
