/* Scripted runs of admission, retry budget, member table and load balancer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

#define MAX_WORKS 64

typedef struct NamedWork {
    JdWork work;
    char name[JD_NAME_MAX];
} NamedWork;

static JdAdmission admission;
static NamedWork works[MAX_WORKS];
static unsigned work_count;
static JdRetryBudget budget;
static JdMembers members;
static JdRandom rnd;
static JdBalancer balancer;
static bool has_members;

static uint64_t
ms(const char *text)
{
    return strtoull(text, NULL, 10) * JD_US_PER_MS;
}

static void
on_start(void *ctx, JdWork *work)
{
    (void)ctx;
    printf("start %s\n", ((NamedWork *)work)->name);
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    (void)ctx;
    printf("refuse %s: %s\n", ((NamedWork *)work)->name,
           JdReason_Info(reason)->name);
}

static const JdAdmissionOps ops = {on_start, on_refuse};

static NamedWork *
find_work(const char *name)
{
    for (unsigned i = work_count; i > 0; i--) {
        if (strcmp(works[i - 1].name, name) == 0) {
            return &works[i - 1];
        }
    }
    return NULL;
}

static void
offer(const Line *ln)
{
    NamedWork *w = &works[work_count++];
    JdReason r;

    g_strlcpy(w->name, ln->word[2], sizeof(w->name));
    w->work.priority = (unsigned)strtoul(ln->word[3], NULL, 10);
    w->work.deadline = JdClock_Now(&script_clock) + ms(ln->word[4]);
    r = JdAdmission_Offer(&admission, &w->work);
    if (r != JD_REASON_NONE) {
        printf("refuse %s: %s\n", w->name, JdReason_Info(r)->name);
    }
}

static void
run_admission(const Line *ln)
{
    const char *cmd = ln->word[1];

    if (strcmp(cmd, "init") == 0) {
        JdAdmission_Init(&admission, (unsigned)strtoul(ln->word[2], NULL, 10),
                         (unsigned)strtoul(ln->word[3], NULL, 10),
                         &script_clock, &ops, NULL);
    }
    else if (strcmp(cmd, "offer") == 0) {
        offer(ln);
    }
    else if (strcmp(cmd, "done") == 0) {
        JdAdmission_FreeSlot(&admission, &find_work(ln->word[2])->work, true);
    }
    else if (strcmp(cmd, "abort") == 0) {
        JdAdmission_RecordAbort(&admission, &find_work(ln->word[2])->work);
    }
    else if (strcmp(cmd, "cancel") == 0) {
        JdAdmission_Cancel(&admission, &find_work(ln->word[2])->work);
    }
    else if (strcmp(cmd, "close") == 0) {
        JdAdmission_Close(&admission);
    }
    else if (strcmp(cmd, "halt") == 0) {
        JdAdmission_Halt(&admission);
    }
    else if (strcmp(cmd, "resume") == 0) {
        JdAdmission_Resume(&admission);
    }
    else {
        printf("running %u queued %u load %u%%\n", admission.running,
               admission.queued, JdAdmission_Load(&admission));
    }
}

static void
run_budget(const Line *ln)
{
    unsigned n = (unsigned)strtoul(ln->word[2], NULL, 10);
    JdRetryBudgetParams params = {(unsigned)strtoul(ln->word[3], NULL, 10),
                                  (unsigned)strtoul(ln->word[4], NULL, 10),
                                  (unsigned)strtoul(ln->word[5], NULL, 10)};
    unsigned allowed = 0;

    if (strcmp(ln->word[1], "init") == 0) {
        JdRetryBudget_Init(&budget);
    }
    else if (strcmp(ln->word[1], "first") == 0) {
        for (unsigned i = 0; i < n; i++) {
            JdRetryBudget_RecordFirstAttempt(&budget, &params);
        }
    }
    else {
        for (unsigned i = 0; i < n; i++) {
            allowed += JdRetryBudget_Take(
                &budget, (unsigned)strtoul(ln->word[3], NULL, 10));
        }
        printf("%u of %u retries\n", allowed, n);
    }
}

static void
init_members(void)
{
    if (has_members) {
        return;
    }
    has_members = true;
    JdMembers_Init(&members, &script_clock, &script_counters);
    JdRandom_Init(&rnd, 1);
    balancer = (JdBalancer){.members = &members,
                            .clock = &script_clock,
                            .random = &rnd,
                            .counters = &script_counters,
                            .region = "near",
                            .domain = "d1"};
}

/* member set ID REGION DOMAIN STATE SLOTS INCARNATION SEQ [TARGET-STARTED] */
static void
run_member(const Line *ln)
{
    Jd__Member msg = JD__MEMBER__INIT;

    init_members();
    if (strcmp(ln->word[1], "suspect") == 0) {
        JdMembers_Suspect(&members, JdMembers_Find(&members, ln->word[2]),
                          ms(ln->word[3]));
        return;
    }
    if (strcmp(ln->word[1], "expire") == 0) {
        printf("%u lost\n", JdMembers_Expire(&members, JD_US_PER_S));
        return;
    }
    if (strcmp(ln->word[1], "show") == 0) {
        const JdMember *mb = JdMembers_Find(&members, ln->word[2]);

        printf("%s %s\n", ln->word[2],
               mb == NULL ? "unknown" : JdMemberState_Name(mb->state));
        return;
    }
    msg.id = ln->word[2];
    msg.region = ln->word[3];
    msg.domain = ln->word[4];
    for (int s = 0; s < JD_MEMBER_STATE_MAX; s++) {
        if (strcmp(ln->word[5], JdMemberState_Name((JdMemberState)s)) == 0) {
            msg.state = (uint32_t)s;
        }
    }
    msg.slots = (uint32_t)strtoul(ln->word[6], NULL, 10);
    msg.incarnation = strtoull(ln->word[7], NULL, 10);
    msg.seq = strtoull(ln->word[8], NULL, 10);
    msg.target_started = strtoull(ln->word[9], NULL, 10);
    msg.service = msg.endpoint_set = "set";
    printf("%s\n",
           JdMembers_Update(&members, &msg, 0) != NULL ? "news" : "known");
}

/* Picks `n` times without sending and prints how often each target came. */
static void
pick_many(unsigned n, uint64_t time_left, unsigned full_count)
{
    JdExcludedTargets excluded = {.full_count = full_count};
    GHashTable *count = g_hash_table_new(g_str_hash, g_str_equal);
    GList *names, *l;
    JdTier tier;

    for (unsigned i = 0; i < n; i++) {
        JdMember *mb =
            JdBalancer_Pick(&balancer, "set", &excluded, time_left, &tier);
        gpointer k;

        if (mb == NULL) {
            puts("no target");
            break;
        }
        k = g_hash_table_lookup(count, mb->id);
        g_hash_table_insert(count, mb->id,
                            GUINT_TO_POINTER(GPOINTER_TO_UINT(k) + 1));
    }
    names = g_list_sort(g_hash_table_get_keys(count), (GCompareFunc)strcmp);
    for (l = names; l != NULL; l = l->next) {
        printf("%s %u\n", (char *)l->data,
               GPOINTER_TO_UINT(g_hash_table_lookup(count, l->data)));
    }
    g_list_free(names);
    g_hash_table_destroy(count);
}

static void
run_balancer(const Line *ln)
{
    const char *cmd = ln->word[1];
    const char *id = ln->word[2];

    init_members();
    if (strcmp(cmd, "pick") == 0) {
        pick_many((unsigned)strtoul(id, NULL, 10), ms(ln->word[3]),
                  (unsigned)strtoul(ln->word[4], NULL, 10));
    }
    else if (strcmp(cmd, "sent") == 0) {
        JdBalancer_RecordSend(&balancer, JdMembers_Find(&members, id));
    }
    else if (strcmp(cmd, "answered") == 0) {
        JdLoadReport rep = {.load = (unsigned)strtoul(ln->word[4], NULL, 10),
                            .service_time = ms(ln->word[5])};

        JdBalancer_RecordAnswer(&balancer, id, ms(ln->word[3]), &rep);
    }
    else {
        JdLoadReport rep = {.service_time = ms(ln->word[4])};

        for (int r = 0; r < JD_REASON_MAX; r++) {
            if (strcmp(ln->word[3], JdReason_Info((JdReason)r)->name) == 0) {
                JdBalancer_RecordFailure(&balancer, id, (JdReason)r, &rep);
            }
        }
    }
}

void
ScriptRequest_Run(const Line *ln)
{
    if (strcmp(ln->word[0], "admit") == 0) {
        run_admission(ln);
    }
    else if (strcmp(ln->word[0], "budget") == 0) {
        run_budget(ln);
    }
    else if (strcmp(ln->word[0], "member") == 0) {
        run_member(ln);
    }
    else {
        run_balancer(ln);
    }
}
