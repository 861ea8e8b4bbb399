/* Tests of JdFollower on a simulated clock; the test answers its reads. */
#include <string.h>

#include <CUnit/Basic.h>

#include "jacinthdyke.h"
#include "unit.h"

static unsigned reads_newest;
static unsigned reads_after;
static uint64_t token;
static uint64_t position;
static uint64_t epoch; /* of the answers */
static unsigned installed;
static unsigned rejected;

static JdClock clk;
static JdCounters ctr;
static JdStore store;
static JdFollower follower;

static void
read_newest(void *ctx, uint64_t t)
{
    (void)ctx;
    reads_newest++;
    token = t;
}

static void
read_after(void *ctx, uint64_t next, uint64_t wait, uint64_t t)
{
    (void)ctx;
    (void)wait;
    reads_after++;
    position = next;
    token = t;
}

static void
on_installed(void *ctx)
{
    (void)ctx;
    installed++;
}

static void
on_rejected(void *ctx, uint64_t version, const JdError *err)
{
    (void)ctx;
    (void)version;
    (void)err;
    rejected++;
}

static const JdFollowerOps ops = {read_newest, read_after, on_installed,
                                  on_rejected};

static void
set_up(void)
{
    reads_newest = reads_after = installed = rejected = 0;
    epoch = 1;
    memset(&ctr, 0, sizeof(ctr));
    JdClock_Init(&clk, NULL, NULL);
    JdStore_Init(&store, &ctr);
    JdFollower_Init(&follower, &store, &clk, &ops, NULL);
    JdFollower_Start(&follower);
}

static void
tear_down(void)
{
    JdFollower_Stop(&follower);
    JdStore_Finish(&store);
}

/*
 * Answers the outstanding read with a document that has the service `service`,
 * or with one that could not be parsed if it is NULL.
 */
static void
answer(uint64_t next, uint64_t version, const char *service)
{
    JdDocAnswer ans = {.status = JD_OK,
                       .epoch = epoch,
                       .next_position = next,
                       .is_changed = true,
                       .version = version};
    json_t *doc = NULL;

    if (service != NULL) {
        doc = json_pack("{s:{s:{}}}", "services", service);
    }
    ans.doc = doc;
    JdFollower_HandleAnswer(&follower, token, &ans);
    json_decref(doc);
}

static void
answer_status(JdStatus status)
{
    JdDocAnswer ans = {.status = status, .next_position = 1};

    JdFollower_HandleAnswer(&follower, token, &ans);
}

/*
 * The follower reads the newest document, then, after the minimum interval,
 * whatever is newer.  Version numbers may be skipped.
 */
static void
test_follow(void)
{
    set_up();
    CU_ASSERT_EQUAL(reads_newest, 1);
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 1);
    CU_ASSERT_EQUAL(reads_after, 0);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_after, 1);
    CU_ASSERT_EQUAL(position, 8);
    answer(9, 7, "b");
    CU_ASSERT_EQUAL(store.config->version, 7);
    tear_down();
}

/*
 * Old, unparsable and invalid documents leave the current version unchanged;
 * the last two are reported as rejected, and reading goes on.
 */
static void
test_refused(void)
{
    set_up();
    answer(8, 3, "a");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(9, 3, "b");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(10, 4, NULL);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(11, 5, "Not a name");
    CU_ASSERT_EQUAL(installed, 1);
    CU_ASSERT_EQUAL(rejected, 2);
    CU_ASSERT_EQUAL(store.config->version, 3);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(position, 11);
    tear_down();
}

/*
 * After expired history, and after a store that was unreachable, the newest
 * document is read again.
 */
static void
test_expired_and_unreachable(void)
{
    unsigned before;

    set_up();
    answer(8, 3, "a");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer_status(JD_ERR_LOG_EXPIRED);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_newest, 2);
    for (int i = 0; i < 20; i++) {
        answer_status(JD_ERR_UNREACHABLE);
        JdClock_Advance(&clk, 100 * JD_US_PER_MS);
    }
    /* The backoff grows to 500 ms, so 2 s allow only a few reads. */
    CU_ASSERT(reads_newest <= 10);
    before = reads_newest;
    JdClock_Advance(&clk, JD_US_PER_S);
    answer(12, 9, "c");
    CU_ASSERT_EQUAL(store.config->version, 9);
    CU_ASSERT(reads_newest >= before);
    tear_down();
}

/* Answers the outstanding read with no document. */
static void
answer_nothing(uint64_t next)
{
    JdDocAnswer ans = {.status = JD_OK, .epoch = epoch, .next_position = next};

    JdFollower_HandleAnswer(&follower, token, &ans);
}

/*
 * A store that was restored from an older copy assigns positions again, so
 * that a new document may come before the position that was read.  The newest
 * document is read again; an older one than the version in force is not
 * applied.
 */
static void
test_restored(void)
{
    set_up();
    answer(8, 3, "a");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    epoch = 2;
    answer_nothing(8);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_newest, 2);
    answer(6, 2, "z");
    CU_ASSERT_EQUAL(store.config->version, 3);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(position, 6);
    /* Two restores; only the second is seen. */
    epoch = 4;
    answer(7, 5, "b");
    CU_ASSERT_EQUAL(store.config->version, 5);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_newest, 3);
    /* No epoch is named any more. */
    answer(7, 5, "b");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    epoch = 0;
    answer(9, 6, "c");
    CU_ASSERT_EQUAL(store.config->version, 6);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_newest, 4);
    CU_ASSERT_EQUAL(rejected, 0);
    tear_down();
}

/* Answers to an earlier read or after the follower was stopped are ignored. */
static void
test_stale_answer(void)
{
    uint64_t old;

    set_up();
    old = token;
    JdFollower_Stop(&follower);
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 0);
    JdFollower_Start(&follower);
    CU_ASSERT_NOT_EQUAL(old, token);
    token = old;
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 0);
    tear_down();
}

void
Unit_AddFollower(void)
{
    CU_pSuite s = CU_add_suite("follower", NULL, NULL);

    CU_add_test(s, "follow", test_follow);
    CU_add_test(s, "refused", test_refused);
    CU_add_test(s, "expired and unreachable", test_expired_and_unreachable);
    CU_add_test(s, "restored", test_restored);
    CU_add_test(s, "stale answer", test_stale_answer);
}
