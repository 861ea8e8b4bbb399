/* Requests under which targets crashed: counting, merging, memory, texts. */
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define SEEDS 50U
#define REPLICAS 4U
#define EVENTS 200U
/* Exchanges after which all replicas know the same. */
#define ROUNDS 32U
#define FLOOD (UINT64_C(5) * JD_CRASH_RECORDS_MAX)
#define OPS 1U /* callers */
#define KILN 2U

static JdClock clk;

static JdFingerprint
make_request(uint64_t content, uint64_t caller)
{
    JdFingerprint fp = {{content, ~content}, caller};

    return fp;
}

static void
start(JdCrashTable *ct)
{
    JdClock_Init(&clk, NULL, NULL);
    JdCrashTable_Init(ct, &clk);
}

static void
crash(JdCrashTable *ct, JdFingerprint fp, uint64_t process)
{
    JdCrashTable_Record(ct, &fp, process);
}

static bool
is_refused(JdCrashTable *ct, JdFingerprint fp)
{
    return JdCrashTable_IsRefused(ct, &fp);
}

static bool
is_suspect(JdCrashTable *ct, JdFingerprint fp)
{
    return JdCrashTable_IsSuspect(ct, &fp);
}

static void
test_refused_after_three_crashes(void)
{
    JdFingerprint fp = make_request(7, OPS);
    JdCrashTable ct;

    start(&ct);
    CU_ASSERT_FALSE(is_suspect(&ct, fp));
    crash(&ct, fp, 11);
    crash(&ct, fp, 11);
    crash(&ct, fp, 12);
    CU_ASSERT_TRUE(is_suspect(&ct, fp));
    CU_ASSERT_FALSE(is_refused(&ct, fp));
    crash(&ct, fp, 13);
    CU_ASSERT_TRUE(is_refused(&ct, fp));
    CU_ASSERT_FALSE(is_refused(&ct, make_request(8, OPS)));
    JdCrashTable_Finish(&ct);
}

static void
test_other_caller_is_judged_by_itself(void)
{
    JdCrashTable ct;

    start(&ct);
    for (unsigned i = 0; i < 5; i++) {
        crash(&ct, make_request(7, OPS), 11 + i);
    }
    CU_ASSERT_FALSE(is_refused(&ct, make_request(7, KILN)));
    /* Ran beside it once. */
    crash(&ct, make_request(7, KILN), 11);
    CU_ASSERT_FALSE(is_refused(&ct, make_request(7, KILN)));
    crash(&ct, make_request(7, KILN), 21);
    CU_ASSERT_TRUE(is_refused(&ct, make_request(7, KILN)));
    /* Two callers have shown it. */
    CU_ASSERT_TRUE(is_refused(&ct, make_request(7, 3)));
    JdCrashTable_Finish(&ct);
}

/* Copies of two callers that ran at the same processes do not make the crashes
 * more. */
static void
test_process_counts_once(void)
{
    JdCrashTable ct;

    start(&ct);
    for (unsigned i = 0; i < 2; i++) {
        crash(&ct, make_request(7, OPS), 11 + i);
        crash(&ct, make_request(7, KILN), 11 + i);
    }
    CU_ASSERT_FALSE(is_refused(&ct, make_request(7, OPS)));
    crash(&ct, make_request(7, OPS), 13);
    CU_ASSERT_TRUE(is_refused(&ct, make_request(7, OPS)));
    JdCrashTable_Finish(&ct);
}

static void
test_answer_clears_the_caller(void)
{
    JdFingerprint ops = make_request(7, OPS);
    JdFingerprint kiln = make_request(7, KILN);
    JdCrashTable ct;

    start(&ct);
    for (unsigned i = 0; i < 3; i++) {
        crash(&ct, ops, 11 + i);
    }
    CU_ASSERT_TRUE(is_suspect(&ct, kiln));
    JdCrashTable_Clear(&ct, &kiln);
    CU_ASSERT_FALSE(is_suspect(&ct, kiln));
    CU_ASSERT_TRUE(is_refused(&ct, ops));
    JdCrashTable_Clear(&ct, &ops);
    CU_ASSERT_FALSE(is_refused(&ct, ops));
    CU_ASSERT_FALSE(is_suspect(&ct, ops));
    /* A crash that was cleared does not count again. */
    crash(&ct, ops, 11);
    CU_ASSERT_FALSE(is_suspect(&ct, ops));
    for (unsigned i = 0; i < 3; i++) {
        crash(&ct, ops, 31 + i);
    }
    CU_ASSERT_TRUE(is_refused(&ct, ops));
    JdCrashTable_Finish(&ct);
}

/* Copies all that `from` knows to `to`, as a frame does. */
static void
merge(JdCrashTable *to, const JdCrashTable *from)
{
    const JdCrashRecord *rec;

    TAILQ_FOREACH(rec, &from->all, link)
    {
        for (unsigned i = 0; i < rec->crash_count; i++) {
            JdCrashTable_Add(to, &rec->request, &rec->crash[i], 1);
        }
    }
}

/* Replicas that hear of crashes and answers in any order agree on what is
 * refused once they have exchanged what they know, and a request with three
 * crashes and no answer is refused. */
static void
test_replicas_agree(void)
{
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        JdCrashTable ct[REPLICAS];
        unsigned count[4] = {0};
        bool is_cleared[4] = {false};
        JdRandom rnd;

        JdRandom_Init(&rnd, seed);
        for (unsigned r = 0; r < REPLICAS; r++) {
            start(&ct[r]);
        }
        for (unsigned e = 0; e < EVENTS; e++) {
            unsigned request = (unsigned)JdRandom_Below(&rnd, 4);
            JdFingerprint fp = make_request(request, OPS);
            JdCrashTable *at = &ct[JdRandom_Below(&rnd, REPLICAS)];

            switch (JdRandom_Below(&rnd, 12)) {
            case 0:
                if (request == 0 && count[0] > 0) {
                    JdCrashTable_Clear(at, &fp);
                    is_cleared[0] = true;
                }
                break;
            case 1:
                crash(at, fp, 100 + e);
                count[request]++;
                break;
            default:
                merge(at, &ct[JdRandom_Below(&rnd, REPLICAS)]);
                break;
            }
        }
        for (unsigned i = 0; i < ROUNDS; i++) {
            merge(&ct[i % REPLICAS], &ct[i / REPLICAS % REPLICAS]);
        }
        for (unsigned request = 0; request < 4; request++) {
            JdFingerprint fp = make_request(request, OPS);

            for (unsigned r = 0; r < REPLICAS; r++) {
                CU_ASSERT_EQUAL(is_refused(&ct[r], fp),
                                is_refused(&ct[0], fp));
            }
            if (!is_cleared[request]) {
                CU_ASSERT_EQUAL(is_refused(&ct[0], fp),
                                count[request] >= JD_CRASH_LIMIT);
            }
        }
        for (unsigned r = 0; r < REPLICAS; r++) {
            JdCrashTable_Finish(&ct[r]);
        }
    }
}

/* What came over two links before it was forwarded goes to both. */
static void
test_changes_of_two_links(void)
{
    JdFingerprint fp = make_request(7, OPS);
    JdCrash first = {.process = 11, .caller = OPS};
    JdCrash second = {.process = 12, .caller = OPS};
    const JdCrashRecord *rec;
    JdCrashTable ct;

    start(&ct);
    JdCrashTable_Add(&ct, &fp, &first, 1);
    rec = TAILQ_FIRST(&ct.pending);
    CU_ASSERT_EQUAL(rec->source_link, 1);
    JdCrashTable_Add(&ct, &fp, &second, 2);
    CU_ASSERT_EQUAL(rec->source_link, 0);
    CU_ASSERT_PTR_NULL(TAILQ_NEXT(rec, pending_link));
    JdCrashTable_Finish(&ct);
}

static void
test_flood_does_not_displace(void)
{
    JdFingerprint refused = make_request(7, OPS);
    JdFingerprint suspect = make_request(8, OPS);
    JdCrashTable ct;

    start(&ct);
    for (unsigned i = 0; i < 3; i++) {
        crash(&ct, refused, 11 + i);
    }
    crash(&ct, suspect, 21);
    crash(&ct, suspect, 22);
    for (uint64_t i = 0; i < FLOOD; i++) {
        JdClock_Advance(&clk, JD_US_PER_MS);
        crash(&ct, make_request(1000 + i, OPS), 100 + i / 6);
    }
    CU_ASSERT_EQUAL(ct.count, JD_CRASH_RECORDS_MAX);
    CU_ASSERT_TRUE(is_refused(&ct, refused));
    CU_ASSERT_FALSE(is_refused(&ct, suspect));
    crash(&ct, suspect, 23);
    CU_ASSERT_TRUE(is_refused(&ct, suspect));
    JdCrashTable_Finish(&ct);
}

static void
test_refused_is_kept_for_a_day(void)
{
    JdFingerprint refused = make_request(7, OPS);
    JdFingerprint suspect = make_request(8, OPS);
    JdCrashTable ct;

    start(&ct);
    for (unsigned i = 0; i < 3; i++) {
        crash(&ct, refused, 11 + i);
    }
    crash(&ct, suspect, 21);
    JdClock_Advance(&clk, JD_US_PER_S * 3600 * 2);
    JdCrashTable_Prune(&ct);
    CU_ASSERT_FALSE(is_suspect(&ct, suspect));
    CU_ASSERT_TRUE(is_refused(&ct, refused));
    JdCrashTable_Find(&ct, &refused)->is_listed = true;
    JdClock_Advance(&clk, JD_US_PER_S * 3600 * 25);
    JdCrashTable_Prune(&ct);
    CU_ASSERT_EQUAL(ct.count, 1);
    JdCrashTable_Find(&ct, &refused)->is_listed = false;
    JdCrashTable_Prune(&ct);
    CU_ASSERT_EQUAL(ct.count, 0);
    JdCrashTable_Finish(&ct);
}

static void
test_texts(void)
{
    static const char *const malformed[] = {
        "",
        " ",
        "0",
        "000000000000000b000000000000000",
        "000000000000000b000000000000000g",
        "000000000000000b0000000000000001x000000000000000c0000000000000001"};
    JdFingerprint fp = make_request(7, OPS);
    JdCrashTable ct, other;
    char request[JD_FINGERPRINT_TEXT_MAX], text[JD_CRASHES_TEXT_MAX];

    start(&ct);
    JdCrashTable_Init(&other, &clk);
    for (unsigned i = 0; i < 3; i++) {
        crash(&ct, fp, 11 + i);
    }
    JdFingerprint_Format(&fp, request);
    JdCrashRecord_Format(JdCrashTable_Find(&ct, &fp), text);
    CU_ASSERT_PTR_NOT_NULL(JdCrashTable_Parse(&other, request, strlen(request),
                                              text, strlen(text)));
    CU_ASSERT_TRUE(is_refused(&other, fp));
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_PTR_NULL(JdCrashTable_Parse(&other, request, strlen(request),
                                              malformed[i],
                                              strlen(malformed[i])));
    }
    CU_ASSERT_PTR_NULL(JdCrashTable_Parse(&other, "7", 1, text, strlen(text)));
    JdCrashTable_Finish(&ct);
    JdCrashTable_Finish(&other);
}

static void
test_fingerprints(void)
{
    Jd__Request a = JD__REQUEST__INIT;
    Jd__Request b = JD__REQUEST__INIT;
    JdFingerprint fa, fb;

    a.method = b.method = "POST";
    a.host = b.host = "shop.example";
    a.path = b.path = "/order/1";
    a.caller_service = b.caller_service = "ops";
    a.request_id = "first";
    b.request_id = "second";
    a.body.data = (uint8_t *)"size=7";
    a.body.len = 6;
    b.body = a.body;
    JdFingerprint_OfRequest(&fa, &a);
    JdFingerprint_OfRequest(&fb, &b);
    CU_ASSERT_TRUE(JdFingerprint_IsCopy(&fa, &fb));
    b.caller_service = "kiln";
    JdFingerprint_OfRequest(&fb, &b);
    CU_ASSERT_FALSE(JdFingerprint_IsCopy(&fa, &fb));
    CU_ASSERT_EQUAL(fa.word[0], fb.word[0]);
    b.caller_service = "ops";
    b.body.len = 5;
    JdFingerprint_OfRequest(&fb, &b);
    CU_ASSERT_NOT_EQUAL(fa.word[0], fb.word[0]);
    b.body.len = 6;
    b.path = "/order/2";
    JdFingerprint_OfRequest(&fb, &b);
    CU_ASSERT_NOT_EQUAL(fa.word[0], fb.word[0]);
}

static void
test_answered_lately(void)
{
    static JdAnsweredRequests ar;
    JdFingerprint fp = make_request(7, OPS);
    JdFingerprint same_place = make_request(7 + JD_ANSWERED_MAX, OPS);
    JdFingerprint other_caller = make_request(7, KILN);

    memset(&ar, 0, sizeof(ar));
    CU_ASSERT_FALSE(JdAnsweredRequests_Has(&ar, &fp, JD_US_PER_S));
    JdAnsweredRequests_Add(&ar, &fp, JD_US_PER_S);
    CU_ASSERT_TRUE(JdAnsweredRequests_Has(&ar, &fp, 2 * JD_US_PER_S));
    CU_ASSERT_FALSE(
        JdAnsweredRequests_Has(&ar, &other_caller, 2 * JD_US_PER_S));
    CU_ASSERT_FALSE(JdAnsweredRequests_Has(&ar, &fp, 20 * JD_US_PER_S));
    JdAnsweredRequests_Add(&ar, &same_place, 2 * JD_US_PER_S);
    CU_ASSERT_FALSE(JdAnsweredRequests_Has(&ar, &fp, 2 * JD_US_PER_S));
}

void
Unit_AddCrash(void)
{
    CU_pSuite suite = CU_add_suite("crash", NULL, NULL);

    CU_add_test(suite, "refused after three crashes",
                test_refused_after_three_crashes);
    CU_add_test(suite, "other caller is judged by itself",
                test_other_caller_is_judged_by_itself);
    CU_add_test(suite, "process counts once", test_process_counts_once);
    CU_add_test(suite, "answer clears the caller",
                test_answer_clears_the_caller);
    CU_add_test(suite, "replicas agree", test_replicas_agree);
    CU_add_test(suite, "changes of two links", test_changes_of_two_links);
    CU_add_test(suite, "flood does not displace",
                test_flood_does_not_displace);
    CU_add_test(suite, "refused is kept for a day",
                test_refused_is_kept_for_a_day);
    CU_add_test(suite, "answered lately", test_answered_lately);
    CU_add_test(suite, "texts", test_texts);
    CU_add_test(suite, "fingerprints", test_fingerprints);
}
