/* Tests of the platform's formats: documents, heartbeats and bounds. */
#include <string.h>

#include <CUnit/Basic.h>

#include "../../platform/platform.h"
#include "unit.h"

static const JdPlatformBounds bounds = {.grace_period_s = 6,
                                        .retry_ratio = 0.2};

#define ROUTE                                                                 \
    "\"hostname\":\"h.example\",\"path_prefix\":\"/a/\",\"type\":\"safe\","   \
    "\"timeout_s\":0.8,\"target_latency_s\":0.4,\"priority\":1,"              \
    "\"attempts\":2"
#define DOCUMENT(route)                                                       \
    "{\"version\":7,\"routes\":{\"r\":{" route "}},"                          \
    "\"services\":{\"s\":{\"max_connections\":120},\"t\":{}}}"

static JdStatus
decode(const char *text, json_t **doc)
{
    uint64_t version;
    JdError err = {0};

    return JdPlatformDocument_Decode(text, strlen(text), &bounds, &version,
                                     doc, &err);
}

static void
test_document(void)
{
    JdRouteKey key = {"h.example", 9, "/a/1", 4};
    JdConfig *cfg;
    json_t *doc;
    JdRoute rt;
    JdError err;

    CU_ASSERT_EQUAL_FATAL(decode(DOCUMENT(ROUTE ",\"service\":\"s\""), &doc),
                          JD_OK);
    CU_ASSERT_EQUAL_FATAL(JdConfig_FromJson(doc, 7, &cfg, &err), JD_OK);
    CU_ASSERT_EQUAL(JdConfig_Validate(cfg, 1, &err), JD_OK);
    CU_ASSERT_TRUE(JdConfig_FindRoute(cfg, &key, 0, &rt));
    CU_ASSERT_STRING_EQUAL(rt.service, "s");
    CU_ASSERT_EQUAL(rt.timeout, 800 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(rt.latency_goal, 400 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(rt.attempts, 2);
    CU_ASSERT_EQUAL(rt.priority, 1);
    CU_ASSERT_TRUE(JdRoute_IsIdempotent(&rt, "POST"));
    JdConfig_Unref(cfg);
    json_decref(doc);
}

static void
test_bad_documents(void)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{\"version\":7}",
        "{\"version\":0,\"routes\":{},\"services\":{}}",
        "{\"version\":\"7\",\"routes\":{},\"services\":{}}",
        "{\"version\":7,\"routes\":[],\"services\":{}}",
        "{\"version\":7,\"routes\":{\"r\":7},\"services\":{}}",
        "{\"version\":7,\"routes\":{},\"services\":{\"s\":1}}",
        DOCUMENT(ROUTE),
        DOCUMENT(ROUTE ",\"weighted_clusters\":[]"),
        DOCUMENT(ROUTE ",\"weighted_clusters\":[{\"service\":\"s\"}]"),
        DOCUMENT("\"hostname\":\"h\",\"service\":\"s\""),
    };
    json_t *doc;

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_NOT_EQUAL(decode(bad[i], &doc), JD_OK);
        CU_ASSERT_PTR_NULL(doc);
    }
}

/* Checks the weights that a split with two services gets, 0: it is refused. */
static void
check_weights(const char *first, const char *second, int a, int b)
{
    char *text = g_strdup_printf(
        DOCUMENT(ROUTE ",\"weighted_clusters\":[{\"service\":\"s\","
                       "\"weight\":%s},{\"service\":\"t\",\"weight\":%s}]"),
        first, second);
    json_t *doc = NULL;
    int got_a = 0, got_b = 0;

    if (decode(text, &doc) == JD_OK) {
        json_unpack(doc, "{s:{s:{s:{s:i, s:i}}}}", "routes", "h.example/a/",
                    "split", "s", &got_a, "t", &got_b);
    }
    CU_ASSERT_EQUAL(got_a, a);
    CU_ASSERT_EQUAL(got_b, b);
    json_decref(doc);
    g_free(text);
}

/* Weights keep their proportions; whole ones stay as they are. */
static void
test_weights(void)
{
    check_weights("9", "1", 9, 1);
    check_weights("9.0", "1", 9, 1);
    check_weights("0.9", "0.1", 1000000, 111111);
    check_weights("0.25", "0", 1000000, 0);
    check_weights("1e-9", "1", 1, 1000000);
    check_weights("4000000", "1000000", 1000000, 250000);
    check_weights("-1", "2", 0, 0);
    check_weights("\"1\"", "2", 0, 0);
}

#define HEARTBEAT(more)                                                       \
    "{\"address\":\"1.2.3.4:5\",\"born\":99,\"info\":{\"service\":\"s\","     \
    "\"version\":\"v1\",\"zone\":\"z\",\"slots\":6}," more "}"
#define STATUS(state) "\"status\":{\"state\":\"" state "\",\"sequence\":4}"

static void
test_heartbeat(void)
{
    static const char good[] = HEARTBEAT(STATUS("draining"));
    static const char *const bad[] = {
        "",
        "{\"address\": 7, ",
        "[1]",
        HEARTBEAT("\"status\":7"),
        HEARTBEAT(STATUS("sleeping")),
        HEARTBEAT("\"status\":{\"state\":\"ready\",\"sequence\":\"4\"}"),
        "{\"address\":\"1.2.3.4:5\",\"info\":{\"service\":\"s\",\"slots\":6}"
        "," STATUS("ready") "}",
    };
    JdHeartbeat hb;
    JdError err;

    CU_ASSERT_EQUAL(
        JdPlatformHeartbeat_Decode("i-1", 3, good, strlen(good), &hb, &err),
        JD_OK);
    CU_ASSERT_STRING_EQUAL(hb.id, "i-1");
    CU_ASSERT_EQUAL(hb.started, 99);
    CU_ASSERT_EQUAL(hb.seq, 4);
    CU_ASSERT_EQUAL(hb.slots, 6);
    CU_ASSERT_TRUE(hb.is_draining);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_NOT_EQUAL(JdPlatformHeartbeat_Decode(
                                "i-1", 3, bad[i], strlen(bad[i]), &hb, &err),
                            JD_OK);
    }
    CU_ASSERT_NOT_EQUAL(
        JdPlatformHeartbeat_Decode("", 0, good, strlen(good), &hb, &err),
        JD_OK);
    CU_ASSERT_EQUAL(JdPlatformHeartbeat_DecodeStart(good, strlen(good)), 99);
    CU_ASSERT_EQUAL(JdPlatformHeartbeat_DecodeStart("noise", 5), 0);
}

static void
test_bounds(void)
{
    JdPlatformBounds b;

    JdPlatformBounds_Parse("seed_lag_s=3,grace_s=4.5,retry_ratio=0.3", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.grace_period_s, 4.5, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(b.retry_ratio, 0.3, 1e-9);
    JdPlatformBounds_Parse("expose_share=0.05", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.exposed_share, 0.05, 1e-9);
    /* A share is from 0 to 1. */
    JdPlatformBounds_Parse("expose_share=-1", &b);
    CU_ASSERT_EQUAL(b.exposed_share, 0);
    JdPlatformBounds_Parse("expose_share=nan", &b);
    CU_ASSERT_EQUAL(b.exposed_share, 0);
    JdPlatformBounds_Parse("expose_share=10", &b);
    CU_ASSERT_EQUAL(b.exposed_share, 1);
    JdPlatformBounds_Parse("", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.grace_period_s, 6, 1e-9);
    CU_ASSERT_EQUAL(b.unnamed_count, 0);
    /* A name that ends like another one. */
    JdPlatformBounds_Parse("no_grace_s=3,grace_s=4", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.grace_period_s, 4, 1e-9);
    /* A list of entries, each with its index. */
    JdPlatformBounds_Parse("link_mbps=140.0,0=seed_lag_s=3,1=grace_s=10", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.grace_period_s, 10, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(b.link_mbps, 140, 1e-9);
    CU_ASSERT_EQUAL(b.unnamed_count, 0);
    JdPlatformBounds_Parse("link_mbps=10,memory_mb=160,max_fds=4100,grace_s=6",
                           &b);
    CU_ASSERT_DOUBLE_EQUAL(b.memory_mb, 160, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(b.max_fds, 4100, 1e-9);
    /* As the template is filled where the settings have no such fields. */
    JdPlatformBounds_Parse("link_mbps=,memory_mb=,max_fds=,grace_s=6", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.memory_mb, 0, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(b.max_fds, 0, 1e-9);
    CU_ASSERT_EQUAL(b.unnamed_count, 0);
    JdPlatformBounds_Parse("link_mbps=140.0,3,2,10", &b);
    CU_ASSERT_DOUBLE_EQUAL(b.grace_period_s, 6, 1e-9);
    CU_ASSERT_EQUAL(b.unnamed_count, 3);
}

/* Decodes documents and heartbeats with random bytes replaced: they may be
 * accepted or refused, but must not crash the decoder. */
static void
test_random_corruption(void)
{
    static const char valid_document[] = DOCUMENT(ROUTE ",\"service\":\"s\"");
    static const char valid_heartbeat[] = HEARTBEAT(STATUS("ready"));
    JdRandom rnd;

    JdRandom_Init(&rnd, 11);
    for (int i = 0; i < 3000; i++) {
        char text[sizeof(valid_document)];
        char heartbeat[sizeof(valid_heartbeat)];
        JdHeartbeat hb;
        JdError err;
        json_t *doc;

        memcpy(text, valid_document, sizeof(text));
        memcpy(heartbeat, valid_heartbeat, sizeof(heartbeat));
        for (int n = (int)JdRandom_Below(&rnd, 4); n >= 0; n--) {
            text[JdRandom_Below(&rnd, sizeof(text) - 1)] =
                (char)JdRandom_Below(&rnd, 256);
            heartbeat[JdRandom_Below(&rnd, sizeof(heartbeat) - 1)] =
                (char)JdRandom_Below(&rnd, 256);
        }
        text[sizeof(text) - 1] = '\0';
        decode(text, &doc);
        json_decref(doc);
        JdPlatformHeartbeat_Decode("i", 1, heartbeat, sizeof(heartbeat) - 1,
                                   &hb, &err);
    }
}

void
Unit_AddPlatform(void)
{
    CU_pSuite s = CU_add_suite("platform", NULL, NULL);

    CU_add_test(s, "document", test_document);
    CU_add_test(s, "bad documents", test_bad_documents);
    CU_add_test(s, "weights", test_weights);
    CU_add_test(s, "heartbeat", test_heartbeat);
    CU_add_test(s, "bounds", test_bounds);
    CU_add_test(s, "random corruption", test_random_corruption);
}
