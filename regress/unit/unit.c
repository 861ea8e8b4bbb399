/* CUnit tests of clock, tables, parsers and histogram; runs all suites. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "../../load/load.h"
#include "../../node/node.h"
#include "unit.h"

/* Finds a free port of the loopback, with a socket that is closed again. */
void
Unit_FindAddress(struct sockaddr_in *out, char text[JD_ADDRESS_MAX])
{
    socklen_t len = sizeof(*out);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    *out = (struct sockaddr_in){.sin_family = AF_INET};
    out->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)out, sizeof(*out)), 0);
    getsockname(fd, (struct sockaddr *)out, &len);
    close(fd);
    g_snprintf(text, JD_ADDRESS_MAX, "127.0.0.1:%u", ntohs(out->sin_port));
}

static int fired[4];

static void
on_fire(void *ctx)
{
    fired[*(int *)ctx]++;
}

static void
test_clock(void)
{
    static int index[4] = {0, 1, 2, 3};
    JdTimer tm[3];
    JdClock clk;

    memset(fired, 0, sizeof(fired));
    JdClock_Init(&clk, NULL, NULL);
    for (int i = 0; i < 3; i++) {
        JdTimer_Init(&tm[i], on_fire, &index[i]);
    }
    JdTimer_Arm(&clk, &tm[0], 300);
    JdTimer_Arm(&clk, &tm[1], 100);
    JdTimer_Arm(&clk, &tm[2], 200);
    CU_ASSERT_EQUAL(JdClock_UntilNext(&clk, 1000), 100);
    JdClock_Advance(&clk, 150);
    CU_ASSERT(fired[1] == 1 && fired[2] == 0 && fired[0] == 0);
    JdTimer_Cancel(&clk, &tm[2]);
    JdTimer_Arm(&clk, &tm[0], 1000);
    JdClock_Advance(&clk, 500);
    CU_ASSERT(fired[2] == 0 && fired[0] == 0);
    JdClock_Advance(&clk, 500);
    CU_ASSERT_EQUAL(fired[0], 1);
    CU_ASSERT_EQUAL(JdClock_UntilNext(&clk, 77), 77);
}

static void
test_tables_complete(void)
{
    for (int s = 0; s < JD_STATUS_MAX; s++) {
        CU_ASSERT_PTR_NOT_NULL(JdStatus_Name((JdStatus)s));
        CU_ASSERT_PTR_NOT_NULL(JdStatus_Text((JdStatus)s));
    }
    for (int r = 0; r < JD_REASON_MAX; r++) {
        const JdReasonInfo *info = JdReason_Info((JdReason)r);

        CU_ASSERT_PTR_NOT_NULL(info->name);
        /* Each reason has its own counter. */
        for (int o = 0; o < r; o++) {
            CU_ASSERT_NOT_EQUAL(JdReason_Info((JdReason)o)->counter,
                                info->counter);
        }
    }
    for (int c = 0; c < JD_COUNTER_MAX; c++) {
        CU_ASSERT(strlen(JdCounter_Name((JdCounter)c)) > 1);
        CU_ASSERT(strlen(JdCounter_Help((JdCounter)c)) > 1);
    }
    for (int p = 0; p < JD_PRESET_MAX; p++) {
        const JdTreeTuning *t = JdPreset_Tuning((JdPreset)p);

        CU_ASSERT(t->link_timeout > 2 * t->heartbeat_interval);
        CU_ASSERT(t->fan_out > 1 && t->heads_per_domain > 0);
    }
}

static void
test_digest(void)
{
    JdDigest a = {{1, 2, UINT64_MAX, 0}};
    JdDigest b;
    char hex[JD_DIGEST_HEX_SIZE];

    JdDigest_ToHex(&a, hex);
    CU_ASSERT(JdDigest_FromHex(&b, hex));
    CU_ASSERT(JdDigest_Equal(&a, &b));
    CU_ASSERT_FALSE(JdDigest_FromHex(&b, "12"));
    hex[5] = 'x';
    CU_ASSERT_FALSE(JdDigest_FromHex(&b, hex));
}

static void
test_translate(void)
{
    static const char rules[] = "127.0.2=127.11.2:7001,127.0.200=127.11.9:80";
    char out[JD_ADDRESS_MAX];

    JdAddress_Translate(rules, "127.0.2.7:7000", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "127.11.2.7:7001");
    JdAddress_Translate(rules, "127.0.200.1:6000", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "127.11.9.1:80");
    JdAddress_Translate(rules, "127.0.20.1:6000", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "127.0.20.1:6000");
    JdAddress_Translate("", "127.0.2.7:7000", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "127.0.2.7:7000");
    JdAddress_Translate("nonsense", "127.0.2.7:7000", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "127.0.2.7:7000");
}

static void
test_address(void)
{
    struct sockaddr_in sin;

    CU_ASSERT_EQUAL(JdAddress_Parse("127.0.0.1:80", &sin, NULL), JD_OK);
    CU_ASSERT_EQUAL(ntohs(sin.sin_port), 80);
    CU_ASSERT_NOT_EQUAL(JdAddress_Parse("127.0.0.1", &sin, NULL), JD_OK);
    CU_ASSERT_NOT_EQUAL(JdAddress_Parse("127.0.0.1:", &sin, NULL), JD_OK);
    CU_ASSERT_NOT_EQUAL(JdAddress_Parse("127.0.0.1:0", &sin, NULL), JD_OK);
    CU_ASSERT_NOT_EQUAL(JdAddress_Parse("127.0.0.1:70000", &sin, NULL), JD_OK);
    CU_ASSERT_NOT_EQUAL(JdAddress_Parse("localhost:80", &sin, NULL), JD_OK);
}

static void
test_histogram(void)
{
    static Histogram h;

    Histogram_Init(&h);
    for (uint64_t v = 1; v <= 10000; v++) {
        Histogram_Add(&h, v);
    }
    CU_ASSERT(Histogram_Quantile(&h, 0.5) >= 5000);
    CU_ASSERT(Histogram_Quantile(&h, 0.5) <= 5000 + 5000 / 32);
    CU_ASSERT(Histogram_Quantile(&h, 0.99) >= 9900);
    CU_ASSERT_EQUAL(Histogram_Quantile(&h, 1), 10000);
}

/*
 * Replay, deltas, checkpoints and frames withstand randomly corrupted input
 * from the log and from other nodes.
 */
static void
test_random_input(void)
{
    static const char valid_record[] =
        "{\"type\":\"patch\",\"base\":0,\"id\":\"a\",\"author\":\"x\","
        "\"patch\":{\"services\":{\"kiln\":{}},\"routes\":{\"/k\":{}}}}";
    static JdStore st;
    JdCounters ctr = {0};
    JdRandom rnd;

    JdStore_Init(&st, &ctr);
    JdRandom_Init(&rnd, 7);
    for (int i = 0; i < 3000; i++) {
        char text[sizeof(valid_record)];
        JdDelta dlt = {0};
        JdError err;
        JdReplayResult out;
        Jd__Frame *frame;

        memcpy(text, valid_record, sizeof(text));
        for (int n = (int)JdRandom_Below(&rnd, 4); n >= 0; n--) {
            text[JdRandom_Below(&rnd, sizeof(text) - 1)] =
                (char)JdRandom_Below(&rnd, 256);
        }
        JdStore_Replay(&st, st.next_offset, text, sizeof(text) - 1, &out);
        dlt.from = 0;
        dlt.to = 1000000;
        dlt.rules_version = 1;
        dlt.body = (const uint8_t *)text;
        dlt.body_len = sizeof(text) - 1;
        dlt.raw_len = JdRandom_Below(&rnd, 2) * 500;
        CU_ASSERT_NOT_EQUAL(JdStore_ApplyDelta(&st, &dlt, &err), JD_OK);
        CU_ASSERT_NOT_EQUAL(JdStore_Restore(&st, text, sizeof(text) - 1, &err),
                            JD_OK);
        frame = jd__frame__unpack(NULL, JdRandom_Below(&rnd, sizeof(text)),
                                  (uint8_t *)text);
        if (frame != NULL) {
            jd__frame__free_unpacked(frame, NULL);
        }
    }
    JdStore_Finish(&st);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failed;

    CU_initialize_registry();
    suite = CU_add_suite("unit", NULL, NULL);
    CU_add_test(suite, "clock", test_clock);
    CU_add_test(suite, "tables", test_tables_complete);
    CU_add_test(suite, "digest", test_digest);
    CU_add_test(suite, "translate", test_translate);
    CU_add_test(suite, "address", test_address);
    CU_add_test(suite, "histogram", test_histogram);
    CU_add_test(suite, "noise", test_random_input);
    Unit_AddHttp();
    Unit_AddMemory();
    Unit_AddCallers();
    Unit_AddAcceptor();
    Unit_AddTarget();
    Unit_AddPlatform();
    Unit_AddBalance();
    Unit_AddPlacing();
    Unit_AddHeads();
    Unit_AddOverload();
    Unit_AddShortage();
    Unit_AddLimit();
    Unit_AddAccount();
    Unit_AddCrash();
    Unit_AddRollout();
    Unit_AddFollower();
    Unit_AddLoop();
    Unit_AddStart();
    Unit_AddLink();
    Unit_AddQuota();
    CU_basic_set_mode(CU_BRM_SILENT);
    CU_basic_run_tests();
    CU_basic_show_failures(CU_get_failure_list());
    failed = CU_get_number_of_tests_failed();
    printf("%u of %u unit tests failed\n", failed,
           CU_get_number_of_tests_run());
    CU_cleanup_registry();
    return failed > 0;
}
