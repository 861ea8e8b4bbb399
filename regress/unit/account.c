/* Tests of client accounts: their keys in configurations. */
#include <string.h>

#include <CUnit/Basic.h>

#include "../../platform/platform.h"
#include "unit.h"

static const JdPlatformBounds bounds = {.grace_period_s = 6,
                                        .retry_ratio = 0.2};

#define DOCUMENT(accounts)                                                    \
    "{\"version\":7,\"routes\":{"                                             \
    "\"r\":{\"hostname\":\"h\",\"path_prefix\":\"/a/\",\"type\":\"safe\","    \
    "\"timeout_s\":0.8,\"priority\":1,\"attempts\":2,\"service\":\"s\","      \
    "\"public\":false},"                                                      \
    "\"p\":{\"hostname\":\"h\",\"path_prefix\":\"/b/\","                      \
    "\"type\":\"download\",\"timeout_s\":0.8,\"priority\":1,"                 \
    "\"attempts\":2,\"service\":\"s\",\"public\":true}},"                     \
    "\"services\":{\"s\":{}}" accounts "}"

static JdStatus
decode(const char *text, JdConfig **cfg, JdError *err)
{
    uint64_t version;
    json_t *doc;
    JdStatus s;

    *cfg = NULL;
    s = JdPlatformDocument_Decode(text, strlen(text), &bounds, &version, &doc,
                                  err);
    if (s == JD_OK) {
        s = JdConfig_FromJson(doc, version, cfg, err);
        json_decref(doc);
    }
    return s == JD_OK ? JdConfig_Validate(*cfg, JD_RULES_NEWEST, err) : s;
}

static bool
find(const JdConfig *cfg, const char *key, JdAccount *out)
{
    char digest[JD_KEY_DIGEST_SIZE];

    JdAccountKey_Digest(key, strlen(key), digest);
    return JdConfig_FindAccount(cfg, digest, out);
}

static void
test_keys(void)
{
    JdRouteKey private = {"h", 1, "/a/1", 4}, public = {"h", 1, "/b/1", 4};
    JdAccount acct;
    JdConfig *cfg;
    JdError err;
    JdRoute rt;

    CU_ASSERT_EQUAL_FATAL(
        decode(DOCUMENT(",\"tenants\":{\"t-1\":{\"api_keys\":[\"k1\",\"k2\"],"
                        "\"priority\":1,\"rate_per_s\":2.5,\"burst\":9},"
                        "\"t-2\":{\"api_keys\":[\"k3\"]}}"),
               &cfg, &err),
        JD_OK);
    CU_ASSERT_TRUE(JdConfig_HasAccounts(cfg));
    CU_ASSERT_TRUE_FATAL(find(cfg, "k2", &acct));
    CU_ASSERT_STRING_EQUAL(acct.name, "t-1");
    CU_ASSERT_EQUAL(acct.priority, 1);
    CU_ASSERT_EQUAL(acct.rate, 2500);
    CU_ASSERT_EQUAL(acct.burst, 9);
    CU_ASSERT_TRUE_FATAL(find(cfg, "k3", &acct));
    CU_ASSERT_EQUAL(acct.rate, 0);
    CU_ASSERT_FALSE(find(cfg, "k4", &acct));
    CU_ASSERT_FALSE(find(cfg, "", &acct));
    CU_ASSERT_TRUE(JdConfig_FindRoute(cfg, &private, 0, &rt));
    CU_ASSERT_FALSE(rt.is_public);
    CU_ASSERT_TRUE(JdConfig_FindRoute(cfg, &public, 0, &rt));
    CU_ASSERT_TRUE(rt.is_public && rt.is_bulk && rt.repeat == JD_REPEAT_ALL);
    JdConfig_Unref(cfg);
}

/* Accounts that are refused, with the place that the error names. */
static void
test_bad_accounts(void)
{
    static const struct {
        const char *text;
        const char *path;
    } bad[] = {
        {DOCUMENT(",\"tenants\":[]"), ""},
        {DOCUMENT(",\"tenants\":{\"t\":7}"), "/tenants/t"},
        {DOCUMENT(",\"tenants\":{\"t\":{}}"), "/tenants/t"},
        {DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[7]}}"), "/tenants/t"},
        {DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[],"
                  "\"rate_per_s\":-1}}"),
         "/tenants/t"},
        {DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[],\"burst\":-1}}"),
         "/tenants/t"},
        {DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[\"k\"]},"
                  "\"u\":{\"api_keys\":[\"j\",\"k\"]}}"),
         "/accounts/u/keys/1"},
    };
    JdConfig *cfg;
    JdError err;

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        JdError_Clear(&err);
        CU_ASSERT_NOT_EQUAL(decode(bad[i].text, &cfg, &err), JD_OK);
        CU_ASSERT_STRING_EQUAL(err.path, bad[i].path);
        JdConfig_Unref(cfg);
    }
}

/* Versions that have the same accounts share an index; one that withdraws a
 * key has its own, and leaves the older version as it was. */
static void
test_withdrawn_key(void)
{
    JdConfig *first, *second, *third;
    json_t *patch;
    JdAccount acct;
    JdError err;

    CU_ASSERT_EQUAL_FATAL(
        decode(DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[\"k1\",\"k2\"]}}"),
               &first, &err),
        JD_OK);
    patch = json_pack("{s:{s:{}}}", "services", "new");
    CU_ASSERT_EQUAL(JdConfig_ApplyPatch(first, patch, 8, &second, &err),
                    JD_OK);
    json_decref(patch);
    CU_ASSERT_PTR_EQUAL(second->accounts, first->accounts);
    patch = json_pack("{s:{s:{s:[]}}}", "accounts", "t", "keys");
    CU_ASSERT_EQUAL(JdConfig_ApplyPatch(second, patch, 9, &third, &err),
                    JD_OK);
    json_decref(patch);
    CU_ASSERT_TRUE(find(first, "k1", &acct));
    CU_ASSERT_FALSE(find(third, "k1", &acct));
    CU_ASSERT_TRUE(find(second, "k1", &acct));
    JdConfig_Unref(first);
    JdConfig_Unref(second);
    JdConfig_Unref(third);
}

/* Earlier releases do not know accounts, so version 1 of the rules refuses
 * them. */
static void
test_rules(void)
{
    JdConfig *cfg;
    JdError err;

    CU_ASSERT_EQUAL_FATAL(
        decode(DOCUMENT(",\"tenants\":{\"t\":{\"api_keys\":[\"k\"]}}"), &cfg,
               &err),
        JD_OK);
    CU_ASSERT_EQUAL(JdConfig_RulesNeeded(cfg), 2);
    CU_ASSERT_EQUAL(JdConfig_Validate(cfg, 1, &err), JD_ERR_UNKNOWN_FIELD);
    JdConfig_Unref(cfg);
    cfg = JdConfig_New();
    CU_ASSERT_EQUAL(JdConfig_RulesNeeded(cfg), 1);
    CU_ASSERT_EQUAL(JdConfig_Validate(cfg, 1, &err), JD_OK);
    JdConfig_Unref(cfg);
}

void
Unit_AddAccount(void)
{
    CU_pSuite st = CU_add_suite("account", NULL, NULL);

    CU_add_test(st, "keys", test_keys);
    CU_add_test(st, "bad accounts", test_bad_accounts);
    CU_add_test(st, "withdrawn key", test_withdrawn_key);
    CU_add_test(st, "rules", test_rules);
}
