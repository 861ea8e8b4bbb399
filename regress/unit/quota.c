/*
 * CUnit tests of the quotas of client accounts: nodes whose messages are
 * delivered after a delay, or lost, and whose clock the tests advance.
 */
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define STEP JD_US_PER_MS
#define WINDOW (5 * JD_US_PER_S)
/* One way between two nodes. */
#define DELAY (20 * JD_US_PER_MS)
/* What the users allow beyond a quota in a window. */
#define OVER 0.1
#define SLACK 20
/* Requests of an account that may wait at a node. */
#define WAITS_MAX 1024

typedef struct Fleet Fleet;

typedef struct Node {
    Fleet *fleet;
    char id[JD_NAME_MAX];
    JdMembers members;
    JdQuota quota;
    bool is_up;
    bool is_cut;     /* its messages are lost, either way */
    uint64_t asleep; /* until this time */
    uint64_t sent_bytes;
} Node;

typedef struct Message {
    TAILQ_ENTRY(Message) link;
    uint64_t due;
    Node *from, *to;
    unsigned process; /* of the receiver, when it was sent */
    uint8_t *data;
    size_t len;
} Message;

typedef struct Request {
    JdQuotaWait wait;
    Node *node;
    struct Usage *usage;
} Request;

/* An account, and when its requests were admitted. */
typedef struct Usage {
    JdAccount account;
    char name[JD_NAME_MAX];
    GArray *admitted; /* times */
    unsigned asked, refused;
    unsigned waiting;
} Usage;

struct Fleet {
    JdClock clock;
    JdRandom random;
    JdCounters counters;
    Node *node;
    unsigned count;
    Usage *usage;
    unsigned account_count;
    TAILQ_HEAD(, Message) messages;
    unsigned loss; /* messages lost, in percent */
    uint64_t delay;
    unsigned process;
    bool checks_loans; /* all nodes know the same number of nodes */
};

static uint64_t
read_clock(void *ctx)
{
    return ((Node *)ctx)->fleet->clock.now + JD_US_PER_S;
}

static Usage *
find_usage(Fleet *fl, const char *name)
{
    unsigned i = (unsigned)atoi(name + 1);

    return i < fl->account_count ? &fl->usage[i] : NULL;
}

static bool
get_account(void *ctx, const char *name, JdAccount *out)
{
    const Usage *us = find_usage(((Node *)ctx)->fleet, name);

    if (us == NULL) {
        return false;
    }
    *out = us->account;
    return true;
}

static bool
is_lost(Fleet *fl, const Node *from, const Node *to)
{
    return from->is_cut || to->is_cut || !to->is_up ||
           JdRandom_Below(&fl->random, 100) < fl->loss;
}

static void
post(Node *from, Node *to, Jd__Frame *frame)
{
    Fleet *fl = from->fleet;
    Message *msg;

    from->sent_bytes += jd__frame__get_packed_size(frame) + 4;
    if (is_lost(fl, from, to)) {
        return;
    }
    msg = g_new0(Message, 1);
    msg->due = fl->clock.now + fl->delay;
    msg->from = from;
    msg->to = to;
    msg->len = jd__frame__get_packed_size(frame);
    msg->data = g_malloc(msg->len);
    jd__frame__pack(frame, msg->data);
    TAILQ_INSERT_TAIL(&fl->messages, msg, link);
}

static void
send_to_member(void *ctx, const JdMember *mb, Jd__Frame *frame)
{
    Node *nd = ctx;

    post(nd, &nd->fleet->node[atoi(mb->id + 1)], frame);
}

static void
send_to_peer(void *ctx, void *peer, Jd__Frame *frame)
{
    post(ctx, peer, frame);
}

static const JdQuotaOps quota_ops = {
    .read_clock = read_clock,
    .get_account = get_account,
    .send_to_member = send_to_member,
    .send_to_peer = send_to_peer,
};

static void
receive(Message *msg)
{
    Jd__Frame *frame = jd__frame__unpack(NULL, msg->len, msg->data);
    JdQuota *qt = &msg->to->quota;

    if (frame->body_case == JD__FRAME__BODY_QUOTA_REPORT) {
        JdQuota_HandleReport(qt, msg->from, frame->quota_report);
    }
    else if (frame->body_case == JD__FRAME__BODY_QUOTA_ASK) {
        JdQuota_HandleAsk(qt, msg->from, frame->quota_ask);
    }
    else {
        JdQuota_HandleGrant(qt, frame->quota_grant);
    }
    jd__frame__free_unpacked(frame, NULL);
}

/* Delivers the messages that are due; those to a node that sleeps wait. */
static void
deliver(Fleet *fl)
{
    Message *msg, *next;

    for (msg = TAILQ_FIRST(&fl->messages); msg != NULL; msg = next) {
        next = TAILQ_NEXT(msg, link);
        if (msg->due > fl->clock.now) {
            break;
        }
        if (msg->to->asleep > fl->clock.now) {
            continue;
        }
        TAILQ_REMOVE(&fl->messages, msg, link);
        if (msg->to->is_up && !msg->to->is_cut) {
            receive(msg);
        }
        next = TAILQ_FIRST(&fl->messages);
        g_free(msg->data);
        g_free(msg);
    }
}

static void
set_member(Node *nd, unsigned i, JdMemberState state, uint64_t incarnation)
{
    Jd__Member msg = JD__MEMBER__INIT;
    JdMember *mb;
    char id[JD_NAME_MAX];

    g_snprintf(id, sizeof(id), "n%u", i);
    mb = JdMembers_Find(&nd->members, id);
    msg.id = id;
    msg.incarnation = incarnation;
    msg.seq = mb == NULL ? 1 : mb->seq + 1;
    msg.state = state;
    JdMembers_Update(&nd->members, &msg, 0);
}

/* All nodes that are up learn the state of a member. */
static void
announce(Fleet *fl, unsigned i, JdMemberState state)
{
    for (unsigned n = 0; n < fl->count; n++) {
        if (fl->node[n].is_up && !fl->node[n].is_cut) {
            set_member(&fl->node[n], i, state, fl->process);
        }
    }
}

/* Starts a node that knows of `known` others. */
static void
start_node(Fleet *fl, unsigned i, unsigned known)
{
    Node *nd = &fl->node[i];

    nd->fleet = fl;
    nd->is_up = true;
    g_snprintf(nd->id, sizeof(nd->id), "n%u", i);
    JdMembers_Init(&nd->members, &fl->clock, &fl->counters);
    for (unsigned n = 0; n < known; n++) {
        set_member(nd, n, JD_MEMBER_READY, 1);
    }
    JdQuota_Init(&nd->quota, &quota_ops, nd, &fl->clock, &fl->random,
                 &fl->counters, &nd->members, nd->id);
}

static void
kill_node(Fleet *fl, unsigned i)
{
    Node *nd = &fl->node[i];

    nd->is_up = false;
    for (unsigned n = 0; n < fl->count; n++) {
        if (fl->node[n].is_up) {
            JdQuota_PeerClosed(&fl->node[n].quota, nd);
        }
    }
    JdQuota_Finish(&nd->quota);
    JdMembers_Finish(&nd->members);
}

static void
start_fleet(Fleet *fl, unsigned count, unsigned account_count)
{
    memset(fl, 0, sizeof(*fl));
    JdClock_Init(&fl->clock, NULL, NULL);
    JdRandom_Init(&fl->random, 11);
    TAILQ_INIT(&fl->messages);
    fl->count = count;
    fl->account_count = account_count;
    fl->delay = DELAY;
    fl->process = 1;
    fl->node = g_new0(Node, count);
    fl->usage = g_new0(Usage, account_count);
    for (unsigned i = 0; i < account_count; i++) {
        Usage *us = &fl->usage[i];

        g_snprintf(us->name, sizeof(us->name), "a%u", i);
        us->account.name = us->name;
        us->admitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (unsigned i = 0; i < count; i++) {
        start_node(fl, i, count);
    }
    for (unsigned i = 0; i < count; i++) {
        JdQuota_SetActive(&fl->node[i].quota, true);
    }
}

static void
stop_fleet(Fleet *fl)
{
    Message *msg;

    for (unsigned i = 0; i < fl->count; i++) {
        if (fl->node[i].is_up) {
            kill_node(fl, i);
        }
    }
    while ((msg = TAILQ_FIRST(&fl->messages)) != NULL) {
        TAILQ_REMOVE(&fl->messages, msg, link);
        g_free(msg->data);
        g_free(msg);
    }
    for (unsigned i = 0; i < fl->account_count; i++) {
        g_array_free(fl->usage[i].admitted, TRUE);
    }
    g_free(fl->usage);
    g_free(fl->node);
}

static void
set_limit(Fleet *fl, unsigned account, uint64_t rate_per_s, uint64_t burst)
{
    fl->usage[account].account.rate = rate_per_s * 1000;
    fl->usage[account].account.burst = burst;
}

/* Advances the time; nodes that sleep do not run their timers. */
static void
advance(Fleet *fl, uint64_t us)
{
    for (uint64_t end = fl->clock.now + us; fl->clock.now < end;) {
        JdClock_Advance(&fl->clock, STEP);
        deliver(fl);
    }
}

static void
record(Fleet *fl, Usage *us, JdQuotaResult result)
{
    if (result == JD_QUOTA_TAKEN) {
        g_array_append_val(us->admitted, fl->clock.now);
    }
    else {
        us->refused++;
    }
}

static void
on_done(void *ctx, JdQuotaResult result, uint64_t retry_after)
{
    Request *req = ctx;

    (void)retry_after;
    req->usage->waiting--;
    record(req->node->fleet, req->usage, result);
    g_free(req);
}

static void
send_request(Fleet *fl, unsigned account, unsigned node)
{
    Usage *us = &fl->usage[account];
    Node *nd = &fl->node[node];
    uint64_t retry_after = 0;
    JdQuotaResult result;
    Request *req;

    if (!nd->is_up || nd->asleep > fl->clock.now) {
        return;
    }
    req = g_new0(Request, 1);
    req->node = nd;
    req->usage = us;
    req->wait.done = on_done;
    req->wait.ctx = req;
    us->asked++;
    us->waiting++;
    result = JdQuota_Take(&nd->quota, &us->account, &req->wait, &retry_after);
    if (result != JD_QUOTA_WAITING) {
        us->waiting--;
        record(fl, us, result);
        g_free(req);
        CU_ASSERT(result == JD_QUOTA_TAKEN || retry_after > 0);
    }
}

/* Returns the share of a shard's rates that may be used in all: what is lent
 * to allocators, and the own parts of the nodes that do not lend them. */
static double
count_usable(Fleet *fl, unsigned shard)
{
    double sum = 0;

    for (unsigned i = 0; i < fl->count; i++) {
        Node *nd = &fl->node[i];
        uint64_t now = read_clock(nd);
        const JdQuotaShard *sh = &nd->quota.shard[shard];
        const JdQuotaEnrolment *en;

        if (!nd->is_up) {
            continue;
        }
        sum += sh->is_lent && now < sh->lent_until ? 0 : 1.0 / fl->count;
        TAILQ_FOREACH(en, &nd->quota.allocator[shard].enrolments, link)
        {
            sum += now < en->until ? en->part : 0;
        }
    }
    return sum;
}

static void
check_loans(Fleet *fl)
{
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        CU_ASSERT(count_usable(fl, i) < 1.001);
    }
}

static JdQuotaRecord *
find_record(Fleet *fl, unsigned node, unsigned account)
{
    return g_hash_table_lookup(fl->node[node].quota.by_name,
                               fl->usage[account].name);
}

/* Sends requests of an account for a while at random times, `per_s` on
 * average, over the nodes FIRST to LAST - 1. */
static void
load(Fleet *fl, unsigned account, unsigned per_s, uint64_t us, unsigned first,
     unsigned last)
{
    for (uint64_t end = fl->clock.now + us; fl->clock.now < end;) {
        unsigned n = per_s / 1000;

        n += JdRandom_Below(&fl->random, 1000) < per_s % 1000;
        while (n-- > 0) {
            unsigned node =
                first + (unsigned)JdRandom_Below(&fl->random, last - first);

            send_request(fl, account, node);
        }
        advance(fl, STEP);
        if (fl->checks_loans) {
            check_loans(fl);
        }
    }
}

/* Returns the largest number of requests of an account that were admitted in a
 * window. */
static unsigned
count_most(const Usage *us)
{
    unsigned first = 0, most = 0;

    for (unsigned i = 0; i < us->admitted->len; i++) {
        uint64_t at = g_array_index(us->admitted, uint64_t, i);

        while (g_array_index(us->admitted, uint64_t, first) + WINDOW <= at) {
            first++;
        }
        most = i - first + 1 > most ? i - first + 1 : most;
    }
    return most;
}

/* Returns how many requests an account may have admitted in a window. */
static unsigned
get_allowed(const Usage *us)
{
    double quota =
        (double)us->account.rate * 5 / 1000 + (double)us->account.burst;

    return (unsigned)(quota * (1 + OVER) + SLACK);
}

static void
check_within(Fleet *fl, unsigned account)
{
    const Usage *us = &fl->usage[account];

    if (count_most(us) > get_allowed(us)) {
        printf("account %u: %u admitted in 5 s, of %u\n", account,
               count_most(us), get_allowed(us));
    }
    CU_ASSERT(count_most(us) <= get_allowed(us));
}

/* Returns the requests refused in 1000. */
static unsigned
get_refused(const Usage *us)
{
    return us->asked == 0 ? 0 : us->refused * 1000 / us->asked;
}

static unsigned
count_admitted_since(const Usage *us, uint64_t at)
{
    unsigned n = 0;

    for (unsigned i = 0; i < us->admitted->len; i++) {
        n += g_array_index(us->admitted, uint64_t, i) >= at;
    }
    return n;
}

static unsigned
get_allocator(Fleet *fl, unsigned account)
{
    const JdMember *mb = JdQuota_ChooseAllocator(
        &fl->node[0].members, JdQuota_ShardOf(fl->usage[account].name));

    return (unsigned)atoi(mb->id + 1);
}

/* ---- the tests --------------------------------------------------------- */

/* Accounts of very different size at their usual load, by any node: hardly any
 * request within the quota is refused. */
static void
test_usual_load(void)
{
    static const unsigned usual[] = {500, 200, 90, 30, 10, 5, 3, 2};
    Fleet fl;

    start_fleet(&fl, 86, G_N_ELEMENTS(usual));
    for (unsigned i = 0; i < G_N_ELEMENTS(usual); i++) {
        set_limit(&fl, i, usual[i] * 16 / 10, usual[i] * 16 / 10);
    }
    advance(&fl, 2 * JD_US_PER_S);
    for (unsigned t = 0; t < 8000; t++) {
        for (unsigned i = 0; i < G_N_ELEMENTS(usual); i++) {
            if (JdRandom_Below(&fl.random, 1000) < usual[i]) {
                send_request(&fl, i, (unsigned)JdRandom_Below(&fl.random, 86));
            }
        }
        advance(&fl, STEP);
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(usual); i++) {
        if (get_refused(&fl.usage[i]) >= 10) {
            printf("usual load of %u: %u of 1000 refused\n", usual[i],
                   get_refused(&fl.usage[i]));
        }
        CU_ASSERT(get_refused(&fl.usage[i]) < 10);
        check_within(&fl, i);
    }
    /* Most did not wait for an allocator. */
    CU_ASSERT(fl.counters.value[JD_C_QUOTA_WAITED] * 2 <
              fl.usage[0].asked + fl.usage[1].asked);
    stop_fleet(&fl);
}

/* An account at seven times its usual load, of which the quota is 1.6 times:
 * the excess is refused, and no other account's requests are. */
static void
test_hot_account(void)
{
    Fleet fl;
    uint64_t from;

    start_fleet(&fl, 86, 2);
    set_limit(&fl, 0, 160, 160);
    set_limit(&fl, 1, 8, 8);
    advance(&fl, 2 * JD_US_PER_S);
    load(&fl, 0, 100, 3 * JD_US_PER_S, 0, 86);
    CU_ASSERT(get_refused(&fl.usage[0]) < 10);
    load(&fl, 0, 700, 10 * JD_US_PER_S, 0, 86);
    load(&fl, 1, 35, 10 * JD_US_PER_S, 0, 86);
    check_within(&fl, 0);
    check_within(&fl, 1);
    /* What the quota allows is used. */
    from = fl.clock.now;
    load(&fl, 0, 700, 5 * JD_US_PER_S, 0, 86);
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) > 160 * 5 * 9 / 10);
    stop_fleet(&fl);
}

/* The demand moves from one node to another every second. */
static void
test_moving_demand(void)
{
    Fleet fl;

    start_fleet(&fl, 20, 1);
    set_limit(&fl, 0, 100, 100);
    advance(&fl, 2 * JD_US_PER_S);
    for (unsigned i = 0; i < 10; i++) {
        load(&fl, 0, 90, JD_US_PER_S, i, i + 1);
    }
    CU_ASSERT(get_refused(&fl.usage[0]) < 10);
    for (unsigned i = 0; i < 10; i++) {
        load(&fl, 0, 400, JD_US_PER_S, i, i + 1);
    }
    check_within(&fl, 0);
    stop_fleet(&fl);
}

/* 300 nodes and 1,000 accounts: what a node sends in a second is bounded. */
static void
test_bytes(void)
{
    uint64_t total = 0, most = 0;
    Fleet fl;

    start_fleet(&fl, 300, 1000);
    for (unsigned i = 0; i < 1000; i++) {
        set_limit(&fl, i, 16, 16);
    }
    advance(&fl, 2 * JD_US_PER_S);
    for (unsigned i = 0; i < fl.count; i++) {
        fl.node[i].sent_bytes = 0;
    }
    for (unsigned t = 0; t < 2000; t++) {
        for (unsigned n = 0; n < 6; n++) {
            send_request(&fl, (unsigned)JdRandom_Below(&fl.random, 1000),
                         (unsigned)JdRandom_Below(&fl.random, 300));
        }
        advance(&fl, STEP);
    }
    for (unsigned i = 0; i < fl.count; i++) {
        total += fl.node[i].sent_bytes;
        most = fl.node[i].sent_bytes > most ? fl.node[i].sent_bytes : most;
    }
    /* In 2 s; 20 requests a second and node. */
    CU_ASSERT(total / 300 / 2 < 4000);
    CU_ASSERT(most / 2 < 150000);
    for (unsigned i = 0; i < 1000; i++) {
        check_within(&fl, i);
    }
    stop_fleet(&fl);
}

/* Messages are lost, and take longer than a request waits. */
static void
test_lost_and_late(void)
{
    Fleet fl;

    start_fleet(&fl, 20, 1);
    fl.checks_loans = true;
    set_limit(&fl, 0, 50, 50);
    fl.loss = 20;
    load(&fl, 0, 300, 8 * JD_US_PER_S, 0, 20);
    check_within(&fl, 0);
    CU_ASSERT(fl.usage[0].admitted->len > 100);
    fl.loss = 0;
    fl.delay = 300 * JD_US_PER_MS;
    load(&fl, 0, 300, 8 * JD_US_PER_S, 0, 20);
    check_within(&fl, 0);
    /* Every request has been decided. */
    advance(&fl, JD_US_PER_S);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, 0);
    stop_fleet(&fl);
}

/* A grant that arrives after the life of its tokens gives none. */
static void
test_late_grant(void)
{
    Jd__QuotaGrant msg = JD__QUOTA_GRANT__INIT;
    Fleet fl;

    start_fleet(&fl, 3, 1);
    set_limit(&fl, 0, 10, 10);
    advance(&fl, JD_US_PER_S);
    send_request(&fl, 0, 0);
    msg.account = fl.usage[0].name;
    msg.tokens = 3;
    msg.echo = read_clock(&fl.node[0]);
    advance(&fl, 900 * JD_US_PER_MS);
    JdQuota_HandleGrant(&fl.node[0].quota, &msg);
    CU_ASSERT(find_record(&fl, 0, 0)->tokens >= 3);
    advance(&fl, 1500 * JD_US_PER_MS);
    JdQuota_HandleGrant(&fl.node[0].quota, &msg);
    CU_ASSERT_EQUAL(find_record(&fl, 0, 0)->tokens, 0);
    stop_fleet(&fl);
}

/* When an account becomes scarce, also nodes that do not use it know. */
static void
test_notice(void)
{
    unsigned known = 0;
    Fleet fl;

    start_fleet(&fl, 20, 1);
    set_limit(&fl, 0, 10, 10);
    advance(&fl, 2 * JD_US_PER_S);
    load(&fl, 0, 700, 50 * JD_US_PER_MS, 0, 2);
    advance(&fl, 200 * JD_US_PER_MS);
    for (unsigned i = 2; i < 20; i++) {
        const JdQuotaRecord *rec = find_record(&fl, i, 0);

        known += rec != NULL && rec->scarce_round != 0;
    }
    CU_ASSERT_EQUAL(known, 18);
    stop_fleet(&fl);
}

/* The allocator of a hot account is killed; a moment later the others know. */
static void
test_allocator_killed(void)
{
    uint64_t from;
    unsigned al;
    Fleet fl;

    start_fleet(&fl, 40, 1);
    fl.checks_loans = true;
    set_limit(&fl, 0, 160, 160);
    load(&fl, 0, 700, 6 * JD_US_PER_S, 0, 40);
    al = get_allocator(&fl, 0);
    kill_node(&fl, al);
    load(&fl, 0, 700, JD_US_PER_S, 0, 40);
    announce(&fl, al, JD_MEMBER_LOST);
    load(&fl, 0, 700, 3 * JD_US_PER_S, 0, 40);
    from = fl.clock.now;
    load(&fl, 0, 700, 5 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) > 160 * 5 * 9 / 10);
    stop_fleet(&fl);
}

/* The fleet is cut in two halves: each chooses an allocator of its own, and
 * none knows that the other half is not just lost. */
static void
test_two_allocators(void)
{
    Fleet fl;
    unsigned al;

    start_fleet(&fl, 40, 1);
    fl.checks_loans = true;
    set_limit(&fl, 0, 160, 160);
    load(&fl, 0, 700, 6 * JD_US_PER_S, 0, 40);
    al = get_allocator(&fl, 0);
    /* Half of the nodes, not the allocator, believe that it is lost. */
    for (unsigned i = 0; i < fl.count; i += 2) {
        if (i != al) {
            set_member(&fl.node[i], al, JD_MEMBER_LOST, 1);
        }
    }
    load(&fl, 0, 700, 8 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    for (unsigned i = 0; i < fl.count; i += 2) {
        if (i != al) {
            set_member(&fl.node[i], al, JD_MEMBER_READY, 1);
        }
    }
    load(&fl, 0, 700, 8 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    stop_fleet(&fl);
}

/* Half of the nodes are cut off from all others while the account is hot. */
static void
test_cut_off(void)
{
    uint64_t from;
    Fleet fl;

    start_fleet(&fl, 40, 1);
    fl.checks_loans = true;
    set_limit(&fl, 0, 160, 160);
    load(&fl, 0, 700, 6 * JD_US_PER_S, 0, 40);
    for (unsigned i = 0; i < 20; i++) {
        fl.node[i].is_cut = true;
    }
    from = fl.clock.now;
    load(&fl, 0, 700, 8 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) > 160 * 8 / 2);
    for (unsigned i = 0; i < 20; i++) {
        fl.node[i].is_cut = false;
    }
    load(&fl, 0, 700, 8 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    stop_fleet(&fl);
}

/* Nodes with tokens in stock do not run for 5 s, and use none of them then. */
static void
test_frozen(void)
{
    uint64_t end, expired;
    Fleet fl;

    start_fleet(&fl, 10, 1);
    fl.checks_loans = true;
    set_limit(&fl, 0, 400, 400);
    load(&fl, 0, 300, 4 * JD_US_PER_S, 0, 10);
    end = fl.clock.now + 5 * JD_US_PER_S;
    for (unsigned i = 0; i < 5; i++) {
        fl.node[i].asleep = end;
        JdTimer_Cancel(&fl.clock, &fl.node[i].quota.report_timer);
    }
    load(&fl, 0, 1500, 5 * JD_US_PER_S, 5, 10);
    /* They wake: requests come before their timers have run. */
    expired = fl.counters.value[JD_C_QUOTA_EXPIRED];
    for (unsigned n = 0; n < 500; n++) {
        send_request(&fl, 0, n % 5);
    }
    CU_ASSERT(fl.counters.value[JD_C_QUOTA_EXPIRED] > expired);
    for (unsigned i = 0; i < 5; i++) {
        CU_ASSERT_EQUAL(find_record(&fl, i, 0)->tokens, 0);
    }
    for (unsigned i = 0; i < 5; i++) {
        JdTimer_Arm(&fl.clock, &fl.node[i].quota.report_timer, 0);
    }
    load(&fl, 0, 1500, 5 * JD_US_PER_S, 0, 10);
    check_within(&fl, 0);
    stop_fleet(&fl);
}

/* All nodes start again at the same time, while the account is hot; at first
 * each knows but some of them. */
static void
test_all_restart(void)
{
    Fleet fl;

    start_fleet(&fl, 40, 1);
    set_limit(&fl, 0, 160, 160);
    load(&fl, 0, 700, 6 * JD_US_PER_S, 0, 40);
    for (unsigned i = 0; i < fl.count; i++) {
        kill_node(&fl, i);
    }
    fl.process = 2;
    for (unsigned i = 0; i < fl.count; i++) {
        start_node(&fl, i, 0);
        set_member(&fl.node[i], i, JD_MEMBER_READY, 2);
        announce(&fl, i, JD_MEMBER_READY);
    }
    /* Nodes that started late learn of the earlier ones. */
    for (unsigned i = 0; i < fl.count; i++) {
        announce(&fl, i, JD_MEMBER_READY);
        JdQuota_SetActive(&fl.node[i].quota, true);
    }
    load(&fl, 0, 700, 8 * JD_US_PER_S, 0, 40);
    check_within(&fl, 0);
    CU_ASSERT(fl.usage[0].admitted->len > 160 * 12);
    stop_fleet(&fl);
}

/* A lower limit holds one window after it is in force. */
static void
test_lowered(void)
{
    uint64_t from;
    Fleet fl;

    start_fleet(&fl, 40, 1);
    set_limit(&fl, 0, 200, 200);
    load(&fl, 0, 500, 6 * JD_US_PER_S, 0, 40);
    set_limit(&fl, 0, 40, 40);
    from = fl.clock.now;
    load(&fl, 0, 500, 5 * JD_US_PER_S, 0, 40);
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) <=
              get_allowed(&fl.usage[0]));
    stop_fleet(&fl);
}

/* A token of a request that did not run serves another one. */
static void
test_returned(void)
{
    uint64_t from;
    Fleet fl;

    start_fleet(&fl, 1, 1);
    set_limit(&fl, 0, 1, 10);
    advance(&fl, JD_US_PER_S);
    for (unsigned i = 0; i < 40; i++) {
        send_request(&fl, 0, 0);
    }
    advance(&fl, 200 * JD_US_PER_MS);
    CU_ASSERT(fl.usage[0].refused > 0);
    from = fl.clock.now;
    for (unsigned i = 0; i < 5; i++) {
        JdQuota_Return(&fl.node[0].quota, "a0");
    }
    for (unsigned i = 0; i < 5; i++) {
        send_request(&fl, 0, 0);
    }
    CU_ASSERT_EQUAL(count_admitted_since(&fl.usage[0], from), 5);
    stop_fleet(&fl);
}

/* A token that is returned over and over lives no longer than when it is kept:
 * the allocator saves what it could grant meanwhile. */
static void
test_returned_often(void)
{
    Usage *us;
    uint64_t from, late;
    Fleet fl;

    start_fleet(&fl, 1, 1);
    us = &fl.usage[0];
    us->account.rate = 10;
    us->account.burst = 1;
    advance(&fl, JD_US_PER_S);
    from = fl.clock.now;
    while (fl.clock.now < from + 3 * JD_US_PER_S) {
        guint before = us->admitted->len;

        send_request(&fl, 0, 0);
        if (us->admitted->len > before) {
            JdQuota_Return(&fl.node[0].quota, us->name);
        }
        advance(&fl, 50 * JD_US_PER_MS);
    }
    late = from + 2 * JD_US_PER_S;
    CU_ASSERT(count_admitted_since(us, from) > 10);
    CU_ASSERT_EQUAL(count_admitted_since(us, late), 0);
    stop_fleet(&fl);
}

/* Requests that wait while a node's part is about to be lent are limited as
 * well: one is used ahead, and one too many is refused. */
static void
test_waits_limited(void)
{
    unsigned node;
    Fleet fl;

    start_fleet(&fl, 2, 1);
    set_limit(&fl, 0, 1, 0);
    node = 1 - get_allocator(&fl, 0);
    for (unsigned i = 0; i < WAITS_MAX + 2; i++) {
        send_request(&fl, 0, node);
    }
    CU_ASSERT_EQUAL(fl.usage[0].admitted->len, 1);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, WAITS_MAX);
    CU_ASSERT_EQUAL(fl.usage[0].refused, 1);
    advance(&fl, JD_US_PER_S);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, 0);
    stop_fleet(&fl);
}

/* Lends a quarter of the account to the first node, as another node would. */
static void
lend_quarter(Fleet *fl, const char *id)
{
    Jd__QuotaReport msg = JD__QUOTA_REPORT__INIT;

    msg.shard = JdQuota_ShardOf(fl->usage[0].name);
    msg.id = (char *)id;
    msg.nodes = 4;
    msg.echo = msg.sent_at = read_clock(&fl->node[0]);
    JdQuota_HandleReport(&fl->node[0].quota, &fl->node[0], &msg);
}

/* Asks the first node for tokens, and returns what is left in the bucket. */
static double
ask_level(Fleet *fl, unsigned needed)
{
    unsigned shard = JdQuota_ShardOf(fl->usage[0].name);
    Jd__QuotaAsk msg = JD__QUOTA_ASK__INIT;

    msg.account = fl->usage[0].name;
    msg.needed = needed;
    msg.sent_at = read_clock(&fl->node[0]);
    JdQuota_HandleAsk(&fl->node[0].quota, &fl->node[0], &msg);
    return TAILQ_FIRST(&fl->node[0].quota.allocator[shard].buckets)->level;
}

/* Two of four loans that end at the same time take half of a bucket. */
static void
test_loans_end_together(void)
{
    double level;
    Fleet fl;

    start_fleet(&fl, 1, 1);
    JdQuota_SetActive(&fl.node[0].quota, false);
    JdQuota_EndLoans(&fl.node[0].quota);
    set_limit(&fl, 0, 1000, 95);
    lend_quarter(&fl, "a");
    lend_quarter(&fl, "b");
    lend_quarter(&fl, "c");
    lend_quarter(&fl, "d");
    JdClock_Advance(&fl.clock, JD_US_PER_S);
    level = ask_level(&fl, 50);
    CU_ASSERT_EQUAL(level, 50);
    fl.usage[0].account.rate = 1;
    lend_quarter(&fl, "c");
    lend_quarter(&fl, "d");
    JdClock_Advance(&fl.clock, JD_US_PER_S);
    level = ask_level(&fl, 0);
    CU_ASSERT_DOUBLE_EQUAL(level, 25, 0.1);
    stop_fleet(&fl);
}

/* A token that comes back while a request waits serves it, also if the
 * allocator does not answer. */
static void
test_returned_to_waiting(void)
{
    unsigned node;
    Fleet fl;

    start_fleet(&fl, 2, 1);
    set_limit(&fl, 0, 1, 0);
    node = 1 - get_allocator(&fl, 0);
    fl.node[1 - node].is_cut = true;
    send_request(&fl, 0, node);
    send_request(&fl, 0, node);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, 1);
    JdQuota_Return(&fl.node[node].quota, fl.usage[0].name);
    advance(&fl, 200 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, 0);
    CU_ASSERT_EQUAL(fl.usage[0].refused, 0);
    stop_fleet(&fl);
}

/* An account that used its burst and pauses for longer than the time after
 * which idle buckets are dropped has only what it earned meanwhile. */
static void
test_long_pause(void)
{
    uint64_t from;
    Fleet fl;

    start_fleet(&fl, 1, 1);
    fl.usage[0].account.rate = 500;
    fl.usage[0].account.burst = 100;
    advance(&fl, 300 * JD_US_PER_S);
    for (unsigned i = 0; i < 120; i++) {
        send_request(&fl, 0, 0);
    }
    advance(&fl, 64 * JD_US_PER_S);
    CU_ASSERT(fl.usage[0].admitted->len >= 100);
    from = fl.clock.now;
    for (unsigned i = 0; i < 120; i++) {
        send_request(&fl, 0, 0);
    }
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) >= 31);
    CU_ASSERT(count_admitted_since(&fl.usage[0], from) <= 38);
    stop_fleet(&fl);
}

/* A caller that leaves while its request waits, and nodes that go. */
static void
test_cancelled(void)
{
    uint64_t retry_after;
    Request req = {0};
    unsigned al;
    Fleet fl;

    start_fleet(&fl, 3, 1);
    set_limit(&fl, 0, 1, 0);
    advance(&fl, JD_US_PER_S);
    al = get_allocator(&fl, 0);
    load(&fl, 0, 200, JD_US_PER_S, 0, 3);
    advance(&fl, 10 * JD_US_PER_S);
    req.node = &fl.node[(al + 1) % 3];
    req.usage = &fl.usage[0];
    send_request(&fl, 0, (al + 1) % 3);
    if (JdQuota_Take(&req.node->quota, &fl.usage[0].account, &req.wait,
                     &retry_after) == JD_QUOTA_WAITING) {
        JdQuota_Cancel(&req.node->quota, &req.wait);
    }
    advance(&fl, JD_US_PER_S);
    JdQuota_EndLoans(&fl.node[al].quota);
    announce(&fl, al, JD_MEMBER_LEFT);
    kill_node(&fl, al);
    advance(&fl, 5 * JD_US_PER_S);
    CU_ASSERT_EQUAL(fl.usage[0].waiting, 0);
    CU_ASSERT(fl.node[(al + 1) % 3].quota.shard[0].is_lent);
    stop_fleet(&fl);
}

/* Adds the suite of this file. */
void
Unit_AddQuota(void)
{
    CU_pSuite suite = CU_add_suite("quota", NULL, NULL);

    CU_add_test(suite, "usual load", test_usual_load);
    CU_add_test(suite, "hot account", test_hot_account);
    CU_add_test(suite, "moving demand", test_moving_demand);
    CU_add_test(suite, "bytes", test_bytes);
    CU_add_test(suite, "lost and late", test_lost_and_late);
    CU_add_test(suite, "late grant", test_late_grant);
    CU_add_test(suite, "notice", test_notice);
    CU_add_test(suite, "allocator killed", test_allocator_killed);
    CU_add_test(suite, "two allocators", test_two_allocators);
    CU_add_test(suite, "cut off", test_cut_off);
    CU_add_test(suite, "frozen", test_frozen);
    CU_add_test(suite, "all restart", test_all_restart);
    CU_add_test(suite, "lowered", test_lowered);
    CU_add_test(suite, "returned", test_returned);
    CU_add_test(suite, "returned often", test_returned_often);
    CU_add_test(suite, "waits limited", test_waits_limited);
    CU_add_test(suite, "loans end together", test_loans_end_together);
    CU_add_test(suite, "returned to waiting", test_returned_to_waiting);
    CU_add_test(suite, "long pause", test_long_pause);
    CU_add_test(suite, "cancelled", test_cancelled);
}
