/* The follower of a store that keeps the newest document, on a paused clock.
 */
#include <string.h>

#include <CUnit/Basic.h>

#include "jacinthdyke.h"
#include "unit.h"

static unsigned reads_newest;
static unsigned reads_after;
static uint64_t token;
static uint64_t position;
static unsigned installed;
static unsigned refused;

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
on_refused(void *ctx, uint64_t version, const JdError *err)
{
    (void)ctx;
    (void)version;
    (void)err;
    refused++;
}

static const JdFollowerOps ops = {read_newest, read_after, on_installed,
                                  on_refused};

static void
start(void)
{
    reads_newest = reads_after = installed = refused = 0;
    memset(&ctr, 0, sizeof(ctr));
    JdClock_Init(&clk, NULL, NULL);
    JdStore_Init(&store, &ctr);
    JdFollower_Init(&follower, &store, &clk, &ops, NULL);
    JdFollower_Start(&follower);
}

static void
end(void)
{
    JdFollower_Stop(&follower);
    JdStore_Finish(&store);
}

/* Answers the read under way; `services` is a table, or NULL for noise. */
static void
answer(uint64_t next, uint64_t version, const char *services)
{
    JdDocAnswer snap = {.status = JD_OK,
                        .next_position = next,
                        .is_changed = true,
                        .version = version};
    json_t *doc = NULL;

    if (services != NULL) {
        doc = json_pack("{s:{s:{}}}", "services", services);
    }
    snap.doc = doc;
    JdFollower_HandleAnswer(&follower, token, &snap);
    json_decref(doc);
}

static void
answer_status(JdStatus status)
{
    JdDocAnswer snap = {.status = status, .next_position = 1};

    JdFollower_HandleAnswer(&follower, token, &snap);
}

/* The newest first, then what comes after it; a series costs one read. */
static void
test_follow(void)
{
    start();
    CU_ASSERT_EQUAL(reads_newest, 1);
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 1);
    CU_ASSERT_EQUAL(reads_after, 0);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_after, 1);
    CU_ASSERT_EQUAL(position, 8);
    answer(9, 7, "b");
    CU_ASSERT_EQUAL(store.config->version, 7);
    end();
}

/* Older, unreadable and invalid documents change nothing. */
static void
test_refused(void)
{
    start();
    answer(8, 3, "a");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(9, 3, "b");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(10, 4, NULL);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer(11, 5, "Not a name");
    CU_ASSERT_EQUAL(installed, 1);
    CU_ASSERT_EQUAL(refused, 2);
    CU_ASSERT_EQUAL(store.config->version, 3);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(position, 11);
    end();
}

/* History that is gone, and a store that is away: the newest is read again. */
static void
test_trouble(void)
{
    unsigned before;

    start();
    answer(8, 3, "a");
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    answer_status(JD_ERR_LOG_EXPIRED);
    JdClock_Advance(&clk, 300 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(reads_newest, 2);
    for (int i = 0; i < 20; i++) {
        answer_status(JD_ERR_UNREACHABLE);
        JdClock_Advance(&clk, 100 * JD_US_PER_MS);
    }
    /* The waits have grown to half a second. */
    CU_ASSERT(reads_newest <= 10);
    before = reads_newest;
    JdClock_Advance(&clk, JD_US_PER_S);
    answer(12, 9, "c");
    CU_ASSERT_EQUAL(store.config->version, 9);
    CU_ASSERT(reads_newest >= before);
    end();
}

/* An answer to an earlier read, or after the stop, is ignored. */
static void
test_late(void)
{
    uint64_t old;

    start();
    old = token;
    JdFollower_Stop(&follower);
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 0);
    JdFollower_Start(&follower);
    CU_ASSERT_NOT_EQUAL(old, token);
    token = old;
    answer(8, 3, "a");
    CU_ASSERT_EQUAL(installed, 0);
    end();
}

void
Unit_AddFollower(void)
{
    CU_pSuite s = CU_add_suite("follower", NULL, NULL);

    CU_add_test(s, "follow", test_follow);
    CU_add_test(s, "refused", test_refused);
    CU_add_test(s, "trouble", test_trouble);
    CU_add_test(s, "late", test_late);
}
