/* The leader takes heads that are gone out of the directory. */
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

static char withdrawn[JD_NAME_MAX];
static unsigned announced;
static bool wants_directory;

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
    wants_directory = true;
}

static void
announce(void *ctx)
{
    (void)ctx;
    announced++;
}

static void
withdraw(void *ctx, const char *id)
{
    (void)ctx;
    g_strlcpy(withdrawn, id, sizeof(withdrawn));
}

static void
read_log(void *ctx, bool on)
{
    (void)ctx;
    (void)on;
}

static void
changed(void *ctx)
{
    (void)ctx;
}

static const JdTreeOps ops = {.dial = dial,
                              .send = send_frame,
                              .close = close_peer,
                              .backlog = backlog,
                              .read_directory = read_directory,
                              .register_head = announce,
                              .deregister_head = withdraw,
                              .read_log = read_log,
                              .status_changed = changed};

static const char other[] =
    "{\"id\":\"other\",\"incarnation\":5,\"region\":\"r\",\"domain\":\"e\","
    "\"peer\":\"1.1.1.1:1\",\"rank\":0}";

static void
tell_directory(JdTree *tr)
{
    JdRecord rec = {.offset = 0, .text = other, .len = strlen(other)};
    JdLogAnswer ans = {.status = JD_OK, .record = &rec, .record_count = 1};

    wants_directory = false;
    JdTree_DirectoryRead(tr, &ans);
}

static void
tell_member(JdTree *tr, uint64_t seq, JdMemberState state)
{
    Jd__Member mb = JD__MEMBER__INIT;

    mb.id = "other";
    mb.incarnation = 5;
    mb.seq = seq;
    mb.state = state;
    mb.head_rank = 1;
    JdMembers_Update(&tr->members, &mb, 0);
}

/* Lets time pass; answers reads of the directory and announcements. */
static void
pass(JdTree *tr, JdClock *clk, uint64_t us)
{
    for (uint64_t t = 0; t < us; t += 10 * JD_US_PER_MS) {
        JdClock_Advance(clk, 10 * JD_US_PER_MS);
        if (wants_directory) {
            tell_directory(tr);
        }
        if (announced > 0) {
            announced = 0;
            JdTree_HeadRegistered(tr, JD_OK, 7);
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

    withdrawn[0] = '\0';
    announced = 0;
    memset(ctr, 0, sizeof(*ctr));
    JdClock_Init(clk, NULL, NULL);
    JdStore_Init(st, ctr);
    JdTree_Init(tr, &self, JdPreset_Tuning(JD_PRESET_CONVERGENCE), st, clk,
                ctr, &ops, NULL);
    JdTree_Start(tr);
    pass(tr, clk, 3 * JD_US_PER_S);
    CU_ASSERT_TRUE(tr->is_root);
}

static void
test_withdraw(void)
{
    static JdTree tr;
    static JdStore st;
    JdCounters ctr;
    JdClock clk;

    start(&tr, &st, &clk, &ctr);
    /* One that lives stays. */
    tell_member(&tr, 1, JD_MEMBER_READY);
    pass(&tr, &clk, 5 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(withdrawn, "");
    /* One that is lost stays for a while, then goes. */
    tell_member(&tr, 1, JD_MEMBER_LOST);
    pass(&tr, &clk, JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(withdrawn, "");
    pass(&tr, &clk, 3 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(withdrawn, "other");
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

/* One that is never seen goes after long. */
static void
test_unseen(void)
{
    static JdTree tr;
    static JdStore st;
    JdCounters ctr;
    JdClock clk;

    start(&tr, &st, &clk, &ctr);
    pass(&tr, &clk, 20 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(withdrawn, "");
    pass(&tr, &clk, 20 * JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(withdrawn, "other");
    JdTree_Finish(&tr);
    JdStore_Finish(&st);
}

void
Unit_AddHeads(void)
{
    CU_pSuite s = CU_add_suite("heads", NULL, NULL);

    CU_add_test(s, "withdraw", test_withdraw);
    CU_add_test(s, "unseen", test_unseen);
}
