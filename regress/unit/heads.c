/* The directory of heads: the root removes lost and unknown heads; heads
 * register again after the source was restored from an older copy. */
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

static char deregistered[JD_NAME_MAX];
static unsigned registrations;
static bool is_directory_wanted;

static void *
dial(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
    return NULL;
}

static void
send_frame(void *ctx, void *peer, Jd__Frame *frame)
{
    (void)ctx;
    (void)peer;
    (void)frame;
}

static void
close_peer(void *ctx, void *peer)
{
    (void)ctx;
    (void)peer;
}

static size_t
backlog(void *ctx, void *peer)
{
    (void)ctx;
    (void)peer;
    return 0;
}

static void
read_directory(void *ctx)
{
    (void)ctx;
    is_directory_wanted = true;
}

static void
register_head(void *ctx)
{
    (void)ctx;
    registrations++;
}

static void
deregister_head(void *ctx, const char *id)
{
    (void)ctx;
    g_strlcpy(deregistered, id, sizeof(deregistered));
}

static void
read_log(void *ctx, bool on)
{
    (void)ctx;
    (void)on;
}

static void
status_changed(void *ctx)
{
    (void)ctx;
}

static const JdTreeOps ops = {.dial = dial,
                              .send = send_frame,
                              .close = close_peer,
                              .backlog = backlog,
                              .read_directory = read_directory,
                              .register_head = register_head,
                              .deregister_head = deregister_head,
                              .read_log = read_log,
                              .status_changed = status_changed};

static const char other[] =
    "{\"id\":\"other\",\"incarnation\":5,\"region\":\"r\",\"domain\":\"e\","
    "\"peer\":\"1.1.1.1:1\",\"rank\":0}";

static void
answer_directory(JdTree *tr)
{
    JdRecord rec = {.offset = 0, .text = other, .len = strlen(other)};
    JdLogAnswer ans = {.status = JD_OK, .record = &rec, .record_count = 1};

    is_directory_wanted = false;
    JdTree_DirectoryRead(tr, &ans);
}

static void
update_member(JdTree *tr, uint64_t seq, JdMemberState state)
{
    Jd__Member mb = JD__MEMBER__INIT;

    mb.id = "other";
    mb.incarnation = 5;
    mb.seq = seq;
    mb.state = state;
    mb.head_rank = 1;
    JdMembers_Update(&tr->members, &mb, 0);
}

/* Advances the clock; answers directory reads and registrations. */
static void
advance(JdTree *tr, JdClock *clk, uint64_t us)
{
    for (uint64_t t = 0; t < us; t += 10 * JD_US_PER_MS) {
        JdClock_Advance(clk, 10 * JD_US_PER_MS);
        if (is_directory_wanted) {
            answer_directory(tr);
        }
        if (registrations > 0) {
            registrations = 0;
            JdTree_HeadRegistered(tr, JD_OK, 0, 7);
        }
    }
}

static void
start(JdTree *tr, JdStore *st, JdClock *clk, JdCounters *ctr)
{
    JdTreeIdentity self = {.id = "self",
                           .incarnation = 9,
                           .region = "r",
                           .domain = "d",
                           .peer_address = "1.1.1.2:1"};

    deregistered[0] = '\0';
    registrations = 0;
    memset(ctr, 0, sizeof(*ctr));
    JdClock_Init(clk, NULL, NULL);
    JdStore_Init(st, ctr);
    JdTree_Init(tr, &self, JdPreset_Tuning(JD_PRESET_CONVERGENCE), st, clk,
                ctr, &ops, NULL);
    JdTree_Start(tr);
    advance(tr, clk, 3 * JD_US_PER_S);
    CU_ASSERT_TRUE(tr->is_root);
}

/*
 * A live head stays in the directory.  A lost one is removed within 4 s, but
 * not at once, since it may return.
 */
static void
test_lost(void)
{
    static JdTree tr;
    static JdStore st;
    JdCounters ctr;
    JdClock clk;

    start(&tr, &st, &clk, &ctr);
    update_member(&tr, 1, JD_MEMBER_READY);
    advance(&tr, &clk, 5 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(deregistered, "");
    update_member(&tr, 1, JD_MEMBER_LOST);
    advance(&tr, &clk, JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(deregistered, "");
    advance(&tr, &clk, 3 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(deregistered, "other");
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

/*
 * A head that is in the directory but never becomes a member is removed within
 * 40 s, but not within 20 s.
 */
static void
test_unseen(void)
{
    static JdTree tr;
    static JdStore st;
    JdCounters ctr;
    JdClock clk;

    start(&tr, &st, &clk, &ctr);
    advance(&tr, &clk, 20 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(deregistered, "");
    advance(&tr, &clk, 20 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(deregistered, "other");
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

/* Lets the append under way end with this result. */
static void
end_registration(JdTree *tr, JdStatus status, uint64_t epoch, uint64_t offset)
{
    registrations = 0;
    JdTree_HeadRegistered(tr, status, epoch, offset);
}

/*
 * A head registers again in each new epoch, with the rank that it has, and so
 * does one whose append was answered before the restore.  A failed append is
 * repeated; known and lower epochs cause none.
 */
static void
test_restored(void)
{
    static JdTree tr;
    static JdStore st;
    JdCounters ctr;
    JdClock clk;
    uint64_t rank;

    start(&tr, &st, &clk, &ctr);
    rank = tr.head_rank;
    JdTree_SourceEpoch(&tr, 2);
    CU_ASSERT_EQUAL(registrations, 1);
    CU_ASSERT_TRUE(is_directory_wanted);
    JdTree_SourceEpoch(&tr, 3);
    CU_ASSERT_EQUAL(registrations, 1);
    end_registration(&tr, JD_OK, 2, 0);
    CU_ASSERT_EQUAL(registrations, 1);
    end_registration(&tr, JD_ERR_UNKNOWN_RESULT, 0, 0);
    CU_ASSERT_EQUAL(registrations, 0);
    JdClock_Advance(&clk, 2 * JD_US_PER_S);
    CU_ASSERT_EQUAL(registrations, 1);
    end_registration(&tr, JD_OK, 3, 0);
    JdTree_SourceEpoch(&tr, 3);
    JdTree_SourceEpoch(&tr, 1);
    JdClock_Advance(&clk, 2 * JD_US_PER_S);
    CU_ASSERT_EQUAL(registrations, 0);
    CU_ASSERT_EQUAL(tr.head_rank, rank);
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

/* A head of a later epoch ranks after those of earlier ones, whose offsets may
 * be higher. */
static void
test_rank_of_epoch(void)
{
    static JdTree tr;
    static JdStore st;
    JdRecord rec = {.offset = 9, .text = other, .len = strlen(other)};
    JdLogAnswer ans = {
        .status = JD_OK, .epoch = 4, .record = &rec, .record_count = 1};
    JdCounters ctr;
    JdClock clk;
    uint64_t rank;

    start(&tr, &st, &clk, &ctr);
    JdTree_DirectoryRead(&tr, &ans);
    rank = tr.directory[0].rank;
    ans.epoch = 5;
    rec.offset = 2;
    JdTree_DirectoryRead(&tr, &ans);
    CU_ASSERT_TRUE(tr.directory[0].rank > rank);
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

void
Unit_AddHeads(void)
{
    CU_pSuite s = CU_add_suite("heads", NULL, NULL);

    CU_add_test(s, "lost", test_lost);
    CU_add_test(s, "unseen", test_unseen);
    CU_add_test(s, "restored", test_restored);
    CU_add_test(s, "rank of epoch", test_rank_of_epoch);
}
