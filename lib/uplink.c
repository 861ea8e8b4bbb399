/*
 * The link upwards: candidates for a parent, trials, silence, and how a node
 * becomes a head of its failure domain.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Redirects that one search for a parent follows. */
#define REDIRECTS_MOST 8
/* First and longest wait before a node without a parent searches again. */
#define SEEK_FIRST (50 * JD_US_PER_MS)
#define SEEK_MOST (1000 * JD_US_PER_MS)
/* Searches in vain after which the directory is read again. */
#define SEEKS_PER_READ 3
/* Wait of a head between two appointments of another. */
#define APPOINT_EVERY (3 * JD_US_PER_S)
/* Period in which heads renew their directory record, below its retention. */
#define RENEW_EVERY (600 * JD_US_PER_S)

static void try_next(JdTree *tr);

/* ---- candidates -------------------------------------------------------- */

/* A head as the members or, for unknown nodes, the directory tell of it. */
typedef struct Head {
    const char *id;
    const char *address;
    const char *region;
    const char *domain;
    uint64_t rank;
    uint64_t score; /* place in the list, lowest first */
    bool is_lost;
    bool is_home;
} Head;

#define HEADS_MOST 512

typedef struct HeadList {
    Head head[HEADS_MOST];
    unsigned count;
} HeadList;

static void
collect_heads(const JdTree *tr, HeadList *out)
{
    const JdMember *mb;

    out->count = 0;
    TAILQ_FOREACH(mb, &tr->members.all, link)
    {
        if (mb->head_rank != 0 && mb->state != JD_MEMBER_LEFT &&
            strcmp(mb->id, tr->self.id) != 0 && out->count < HEADS_MOST) {
            out->head[out->count++] =
                (Head){.id = mb->id,
                       .address = mb->peer,
                       .region = mb->region,
                       .domain = mb->domain,
                       .rank = mb->head_rank,
                       .is_lost = mb->state == JD_MEMBER_LOST};
        }
    }
    for (unsigned i = 0; i < tr->directory_len; i++) {
        const JdDirectoryEntry *de = &tr->directory[i];

        if (JdMembers_Find(&tr->members, de->id) == NULL &&
            strcmp(de->id, tr->self.id) != 0 && out->count < HEADS_MOST) {
            out->head[out->count++] = (Head){.id = de->id,
                                             .address = de->address,
                                             .region = de->region,
                                             .domain = de->domain,
                                             .rank = de->rank};
        }
    }
}

/* Classes of candidates, in the order in which they are tried. */
typedef enum Class {
    CLASS_HOME,
    CLASS_REGION,
    CLASS_LOG_REGION,
    CLASS_NONE,
} Class;

static Class
classify(const JdTree *tr, const Head *h)
{
    bool same_region = strcmp(h->region, tr->self.region) == 0;
    bool same_domain = strcmp(h->domain, tr->self.domain) == 0;
    bool in_log_region = strcmp(h->region, tr->self.log_region) == 0;

    if (tr->head_rank == 0) {
        if (same_region && same_domain) {
            return CLASS_HOME;
        }
        if (same_region) {
            return CLASS_REGION;
        }
        return in_log_region ? CLASS_LOG_REGION : CLASS_NONE;
    }
    /* A head joins earlier heads only, so that no cycle can form. */
    if (same_region) {
        return h->rank < tr->head_rank ? CLASS_REGION : CLASS_NONE;
    }
    return in_log_region ? CLASS_LOG_REGION : CLASS_NONE;
}

static int
compare_heads(const void *a, const void *b)
{
    const Head *x = a;
    const Head *y = b;

    return x->score < y->score ? -1 : x->score > y->score;
}

/* Gives each candidate its place: lost ones last, then class, then order. */
static void
score(const JdTree *tr, Head *h, Class c)
{
    uint64_t seed = _Jd_HashText(tr->self.id, 0);
    /* Rendezvous order spreads the nodes of a domain over its heads. */
    uint64_t order = c == CLASS_HOME ? _Jd_HashText(h->id, seed) >> 8
                                     : h->rank & (UINT64_MAX >> 8);
    bool was_parent = strcmp(h->id, tr->parent.id) == 0 &&
                      tr->parent.state != JD_LINK_ATTACHED;

    h->is_home = c == CLASS_HOME;
    h->score =
        (uint64_t)(h->is_lost || was_parent) << 62 | (uint64_t)c << 58 | order;
}

static void
build_candidates(JdTree *tr)
{
    HeadList *hl = g_new(HeadList, 1);
    unsigned n = 0;

    collect_heads(tr, hl);
    for (unsigned i = 0; i < hl->count; i++) {
        Class c = classify(tr, &hl->head[i]);

        if (c != CLASS_NONE) {
            hl->head[n] = hl->head[i];
            score(tr, &hl->head[n], c);
            n++;
        }
    }
    qsort(hl->head, n, sizeof(Head), compare_heads);
    tr->candidates = 0;
    tr->next_candidate = 0;
    for (unsigned i = 0; i < n && i < JD_CANDIDATES_MAX; i++) {
        JdCandidate *c = &tr->candidate[tr->candidates++];

        _Jd_CopyText(c->id, sizeof(c->id), hl->head[i].id);
        _Jd_CopyText(c->address, sizeof(c->address), hl->head[i].address);
        c->is_home = hl->head[i].is_home ||
                     (i == 0 && tr->head_rank != 0 && !hl->head[i].is_lost);
    }
    g_free(hl);
}

/* Puts the nodes that a redirect named in front of the other candidates. */
static void
insert_candidates(JdTree *tr, const Jd__Redirect *msg, bool is_home)
{
    unsigned keep = tr->candidates - tr->next_candidate;
    uint64_t seed = _Jd_HashText(tr->self.id, 0);
    JdCandidate list[JD_CANDIDATES_MAX];
    Head head[JD_CANDIDATES_MAX];
    unsigned n = 0;

    for (size_t i = 0; i < msg->n_candidate && n < JD_CANDIDATES_MAX; i++) {
        if (strcmp(msg->candidate[i]->id, tr->self.id) != 0) {
            head[n++] =
                (Head){.id = msg->candidate[i]->id,
                       .address = msg->candidate[i]->peer,
                       .score = _Jd_HashText(msg->candidate[i]->id, seed)};
        }
    }
    qsort(head, n, sizeof(Head), compare_heads);
    for (unsigned i = 0; i < n; i++) {
        _Jd_CopyText(list[i].id, JD_NAME_MAX, head[i].id);
        _Jd_CopyText(list[i].address, JD_ADDRESS_MAX, head[i].address);
        list[i].is_home = is_home;
    }
    for (unsigned i = 0; i < keep && n < JD_CANDIDATES_MAX; i++) {
        list[n++] = tr->candidate[tr->next_candidate + i];
    }
    memcpy(tr->candidate, list, n * sizeof(list[0]));
    tr->candidates = n;
    tr->next_candidate = 0;
}

/* ---- trials ------------------------------------------------------------ */

static void
end_trial(JdTree *tr)
{
    JdTimer_Cancel(tr->clock, &tr->trial.timeout);
    tr->trial.state = JD_LINK_NONE;
    tr->trial.peer = NULL;
}

static void
drop_trial(JdTree *tr)
{
    void *peer = tr->trial.peer;

    end_trial(tr);
    if (peer != NULL) {
        tr->ops->close(tr->ctx, peer);
    }
}

static void
on_trial_timeout(void *ctx)
{
    JdTree *tr = ctx;

    drop_trial(tr);
    try_next(tr);
}

/* Searches again after a wait that doubles, with jitter. */
static void
arm_seek(JdTree *tr)
{
    uint64_t wait = SEEK_FIRST << (tr->seeks < 5 ? tr->seeks : 5);

    if (wait > SEEK_MOST) {
        wait = SEEK_MOST;
    }
    tr->seeks++;
    JdTimer_Arm(tr->clock, &tr->seek,
                wait / 2 + JdRandom_Below(&tr->random, wait));
}

static void
start_trial(JdTree *tr, const JdCandidate *c)
{
    JdUplink *up = &tr->trial;

    up->state = JD_LINK_DIALING;
    _Jd_CopyText(up->id, sizeof(up->id), c->id);
    _Jd_CopyText(up->address, sizeof(up->address), c->address);
    up->is_home = c->is_home;
    JdTimer_Arm(tr->clock, &up->timeout, tr->tune.join_wait);
    up->peer = tr->ops->dial(tr->ctx, c->address);
    if (up->peer == NULL) {
        end_trial(tr);
        try_next(tr);
    }
}

/* Becomes a leader: there is nobody above this node. */
static void
lead(JdTree *tr)
{
    if (tr->is_lead) {
        return;
    }
    tr->is_lead = true;
    tr->path_len = 0;
    /* Others may be leading for want of each other: looks again soon. */
    tr->improve_wait = tr->tune.volunteer / 4;
    tr->next_improve = JdClock_Now(tr->clock) + tr->improve_wait;
    _JdTree_CheckReading(tr);
    _JdTree_TellPath(tr);
    _JdTree_AnnounceSelf(tr);
}

static uint64_t
newest_rank_at_home(const JdTree *tr)
{
    HeadList *hl = g_new(HeadList, 1);
    uint64_t rank = 0;

    collect_heads(tr, hl);
    for (unsigned i = 0; i < hl->count; i++) {
        if (strcmp(hl->head[i].domain, tr->self.domain) == 0 &&
            hl->head[i].rank > rank) {
            rank = hl->head[i].rank;
        }
    }
    g_free(hl);
    return rank;
}

/*
 * Waits before volunteering.  The eighth root makes short waits rare, so that
 * few volunteer before the first one is known, however many wait.
 */
static void
arm_volunteer(JdTree *tr)
{
    double u =
        (double)(JdRandom_Below(&tr->random, 1 << 20) + 1) / (double)(1 << 20);
    uint64_t wait =
        (uint64_t)((double)tr->tune.volunteer * sqrt(sqrt(sqrt(u))));

    if (tr->is_announcing || tr->volunteer.armed || tr->is_leaving) {
        return;
    }
    /* A node that was a head before its restart is expected back. */
    if (tr->was_head && tr->seeks == 0) {
        wait = 0;
    }
    JdTimer_Arm(tr->clock, &tr->volunteer, wait);
}

/* No candidate took this node. */
static void
on_exhausted(JdTree *tr)
{
    if (tr->is_improving) {
        tr->is_improving = false;
        return;
    }
    if (tr->head_rank != 0) {
        lead(tr);
        return;
    }
    tr->tried_rank = newest_rank_at_home(tr);
    arm_volunteer(tr);
    arm_seek(tr);
}

static void
try_next(JdTree *tr)
{
    const JdCandidate *c;

    if (tr->trial.state != JD_LINK_NONE || tr->is_leaving) {
        return;
    }
    if (tr->next_candidate >= tr->candidates) {
        on_exhausted(tr);
        return;
    }
    c = &tr->candidate[tr->next_candidate++];
    if (tr->parent.state == JD_LINK_ATTACHED &&
        strcmp(c->id, tr->parent.id) == 0) {
        /* Those that follow are no better than the present parent. */
        tr->is_improving = false;
        return;
    }
    start_trial(tr, c);
}

/* Begins a search for a parent, or for a better one. */
static void
seek(JdTree *tr)
{
    if (tr->trial.state != JD_LINK_NONE || tr->is_leaving) {
        return;
    }
    tr->is_improving = tr->parent.state == JD_LINK_ATTACHED || tr->is_lead;
    tr->redirects = 0;
    tr->improve_wait *= 2;
    if (tr->improve_wait > tr->tune.improve || tr->improve_wait == 0) {
        tr->improve_wait = tr->tune.improve;
    }
    tr->next_improve = JdClock_Now(tr->clock) + tr->improve_wait +
                       JdRandom_Below(&tr->random, tr->improve_wait);
    build_candidates(tr);
    try_next(tr);
}

static void
on_seek(void *ctx)
{
    JdTree *tr = ctx;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        return;
    }
    if (tr->seeks % SEEKS_PER_READ == 0) {
        tr->ops->read_directory(tr->ctx);
    }
    else {
        seek(tr);
    }
}

static void
on_volunteer(void *ctx)
{
    JdTree *tr = ctx;

    tr->is_volunteer = true;
    tr->ops->read_directory(tr->ctx);
}

void
_JdTree_InitUplinks(JdTree *tr)
{
    JdTimer_Init(&tr->seek, on_seek, tr);
    JdTimer_Init(&tr->volunteer, on_volunteer, tr);
    JdTimer_Init(&tr->trial.timeout, on_trial_timeout, tr);
    JdTimer_Init(&tr->parent.timeout, on_trial_timeout, tr);
}

/* A dialled connection is open: asks to join. */
void
JdTree_Connected(JdTree *tr, void *peer)
{
    Jd__Join msg = JD__JOIN__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (tr->trial.peer != peer) {
        return;
    }
    tr->trial.state = JD_LINK_JOINING;
    msg.id = tr->self.id;
    msg.incarnation = tr->self.incarnation;
    msg.region = tr->self.region;
    msg.domain = tr->self.domain;
    msg.head = tr->head_rank != 0;
    msg.version = tr->store->config->version;
    msg.n_bucket = JD_BUCKETS;
    msg.bucket = tr->members.bucket;
    frame.body_case = JD__FRAME__BODY_JOIN;
    frame.join = &msg;
    _JdTree_Send(tr, peer, &frame);
}

static bool
take_path(JdTree *tr, char **path, size_t n, const char *root)
{
    if (n == 0 || n > JD_TREE_PATH_MAX) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (strcmp(path[i], tr->self.id) == 0) {
            tr->counters->value[JD_C_CYCLES]++;
            return false;
        }
    }
    for (size_t i = 0; i < n; i++) {
        _Jd_CopyText(tr->path[i], JD_NAME_MAX, path[i]);
    }
    tr->path_len = (unsigned)n;
    _Jd_CopyText(tr->root_admin, sizeof(tr->root_admin), root);
    return true;
}

static void
note_source_age(JdTree *tr, uint32_t age_ms)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t age = age_ms * JD_US_PER_MS;

    tr->parent.source_at = age < now ? now - age : 0;
}

/* Makes the trial the parent. */
static void
adopt_trial(JdTree *tr)
{
    void *old = tr->parent.state == JD_LINK_ATTACHED ? tr->parent.peer : NULL;
    JdTimer timeout = tr->parent.timeout;

    /* Pending news name the links they came from by address, and a new
     * connection may have the address of one that is gone. */
    _JdTree_FlushNews(tr);
    JdTimer_Cancel(tr->clock, &tr->trial.timeout);
    tr->parent = tr->trial;
    tr->parent.timeout = timeout;
    tr->parent.state = JD_LINK_ATTACHED;
    tr->parent.heard = JdClock_Now(tr->clock);
    tr->parent.behind_at = 0;
    tr->parent.version = 0;
    end_trial(tr);
    tr->is_lead = false;
    tr->is_improving = false;
    tr->seeks = 0;
    JdTimer_Cancel(tr->clock, &tr->seek);
    if (old != NULL) {
        tr->ops->close(tr->ctx, old);
    }
}

void
_JdTree_OnAccept(JdTree *tr, void *peer, const Jd__Accept *msg)
{
    if (tr->trial.peer != peer || tr->trial.state != JD_LINK_JOINING) {
        return;
    }
    if (!take_path(tr, msg->path, msg->n_path, msg->root_admin)) {
        drop_trial(tr);
        try_next(tr);
        return;
    }
    adopt_trial(tr);
    _Jd_CopyText(tr->parent.id, JD_NAME_MAX, msg->id);
    _Jd_CopyText(tr->parent.domain, JD_NAME_MAX, msg->domain);
    tr->parent.is_ready = msg->ready;
    note_source_age(tr, msg->source_age_ms);
    if (strcmp(msg->domain, tr->self.domain) == 0) {
        JdTimer_Cancel(tr->clock, &tr->volunteer);
    }
    else if (tr->head_rank == 0) {
        arm_volunteer(tr);
    }
    _JdTree_CheckReading(tr);
    _JdTree_SendMembers(tr, peer, msg->bucket, msg->n_bucket);
    _JdTree_AnnounceSelf(tr);
    _JdTree_TellPath(tr);
}

void
_JdTree_OnRedirect(JdTree *tr, void *peer, const Jd__Redirect *msg)
{
    if (tr->trial.peer != peer) {
        return;
    }
    if (tr->redirects < REDIRECTS_MOST) {
        tr->redirects++;
        insert_candidates(tr, msg, tr->trial.is_home);
    }
    drop_trial(tr);
    try_next(tr);
}

void
_JdTree_OnBeatDown(JdTree *tr, void *peer, const Jd__Beat *msg)
{
    if (tr->parent.peer != peer || tr->parent.state != JD_LINK_ATTACHED) {
        return;
    }
    tr->parent.is_ready = msg->ready;
    note_source_age(tr, msg->source_age_ms);
    if (!msg->has_path) {
        return;
    }
    if (!take_path(tr, msg->path, msg->n_path, msg->root_admin)) {
        tr->ops->close(tr->ctx, peer);
        _JdTree_UplinkClosed(tr, peer);
        return;
    }
    _JdTree_TellPath(tr);
}

static void
lose_parent(JdTree *tr)
{
    JdMember *mb = JdMembers_Find(&tr->members, tr->parent.id);

    tr->counters->value[JD_C_PARENT_LOST]++;
    tr->parent.state = JD_LINK_NONE;
    tr->parent.peer = NULL;
    if (mb != NULL) {
        JdMembers_Suspect(&tr->members, mb, tr->tune.silence);
    }
    if (tr->trial.state == JD_LINK_NONE) {
        seek(tr);
    }
    else {
        tr->is_improving = false;
    }
}

void
_JdTree_UplinkClosed(JdTree *tr, void *peer)
{
    if (tr->parent.peer == peer && tr->parent.state == JD_LINK_ATTACHED) {
        lose_parent(tr);
    }
    else if (tr->trial.peer == peer && tr->trial.state != JD_LINK_NONE) {
        end_trial(tr);
        try_next(tr);
    }
}

/* Gives up a silent parent, and looks for a better one now and then. */
void
_JdTree_CheckUplink(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);

    if (tr->parent.state == JD_LINK_ATTACHED &&
        now - tr->parent.heard > tr->tune.silence) {
        tr->ops->close(tr->ctx, tr->parent.peer);
        lose_parent(tr);
        return;
    }
    if (now < tr->next_improve || !tr->is_directory_read) {
        return;
    }
    if (tr->is_lead) {
        /* No news comes from other trees, so the directory is read. */
        tr->next_improve = now + tr->tune.improve;
        tr->ops->read_directory(tr->ctx);
        return;
    }
    if (tr->parent.state == JD_LINK_ATTACHED && !tr->parent.is_home) {
        seek(tr);
    }
    if (tr->parent.state == JD_LINK_ATTACHED && tr->head_rank == 0 &&
        strcmp(tr->parent.domain, tr->self.domain) != 0) {
        tr->tried_rank = newest_rank_at_home(tr);
        arm_volunteer(tr);
    }
}

/* ---- heads ------------------------------------------------------------- */

static void
announce(JdTree *tr)
{
    if (tr->is_announcing || tr->is_leaving) {
        return;
    }
    tr->is_announcing = true;
    tr->announced_at = JdClock_Now(tr->clock);
    tr->ops->announce(tr->ctx);
}

/* Offers this node as a head at once. */
void
_JdTree_Volunteer(JdTree *tr)
{
    if (tr->head_rank == 0) {
        announce(tr);
    }
}

/* The result of an append to the directory: the offset gives the rank. */
void
JdTree_Announced(JdTree *tr, JdStatus status, uint64_t offset)
{
    tr->is_announcing = false;
    if (status != JD_OK || tr->head_rank != 0) {
        return;
    }
    tr->head_rank = offset + 1;
    tr->counters->value[JD_C_PROMOTIONS]++;
    _JdTree_AnnounceSelf(tr);
    drop_trial(tr);
    JdTimer_Cancel(tr->clock, &tr->seek);
    seek(tr);
}

/* Returns this node's directory record, which the caller frees. */
char *
JdTree_DirectoryRecord(const JdTree *tr)
{
    json_t *js =
        json_pack("{s:s, s:I, s:s, s:s, s:s, s:I}", "id", tr->self.id,
                  "incarnation", (json_int_t)tr->self.incarnation, "region",
                  tr->self.region, "domain", tr->self.domain, "peer",
                  tr->self.peer, "rank", (json_int_t)tr->head_rank);
    char *text = json_dumps(js, JSON_COMPACT);

    json_decref(js);
    return text;
}

static void
note_entry(JdTree *tr, const JdDirectoryEntry *de)
{
    unsigned i;

    for (i = 0; i < tr->directory_len; i++) {
        if (strcmp(tr->directory[i].id, de->id) == 0) {
            break;
        }
    }
    if (i == JD_DIRECTORY_MAX) {
        memmove(&tr->directory[0], &tr->directory[1],
                sizeof(tr->directory[0]) * (JD_DIRECTORY_MAX - 1));
        i--;
    }
    tr->directory[i] = *de;
    if (i == tr->directory_len) {
        tr->directory_len++;
    }
}

static void
take_directory_record(JdTree *tr, const JdRecord *rec)
{
    const char *id, *region, *domain, *peer;
    json_int_t incarnation, rank;
    JdDirectoryEntry de = {0};
    json_t *js;

    if (JdConfig_Parse(rec->text, rec->len, &js, NULL) != JD_OK) {
        tr->counters->value[JD_C_BAD_RECORD]++;
        return;
    }
    if (json_unpack(js, "{s:s, s:I, s:s, s:s, s:s, s:I}", "id", &id,
                    "incarnation", &incarnation, "region", &region, "domain",
                    &domain, "peer", &peer, "rank", &rank) == 0) {
        _Jd_CopyText(de.id, sizeof(de.id), id);
        _Jd_CopyText(de.region, sizeof(de.region), region);
        _Jd_CopyText(de.domain, sizeof(de.domain), domain);
        _Jd_CopyText(de.address, sizeof(de.address), peer);
        de.incarnation = (uint64_t)incarnation;
        de.rank = rank > 0 ? (uint64_t)rank : rec->offset + 1;
        if (strcmp(id, tr->self.id) == 0 &&
            de.incarnation != tr->self.incarnation) {
            tr->was_head = true;
        }
        note_entry(tr, &de);
    }
    else {
        tr->counters->value[JD_C_BAD_RECORD]++;
    }
    json_decref(js);
}

/* The directory was read, or could not be. */
void
JdTree_Directory(JdTree *tr, const JdLogAnswer *ans)
{
    bool is_volunteer = tr->is_volunteer;

    tr->is_volunteer = false;
    for (size_t i = 0; ans->status == JD_OK && i < ans->records; i++) {
        take_directory_record(tr, &ans->record[i]);
    }
    tr->is_directory_read = true;
    if (is_volunteer && ans->status == JD_OK && tr->head_rank == 0 &&
        newest_rank_at_home(tr) <= tr->tried_rank) {
        announce(tr);
        return;
    }
    if (tr->parent.state != JD_LINK_ATTACHED) {
        seek(tr);
    }
}

static unsigned
count_heads_at_home(const JdTree *tr, bool *is_first)
{
    const JdMember *mb;
    unsigned n = 1;

    *is_first = true;
    TAILQ_FOREACH(mb, &tr->members.all, link)
    {
        if (mb->head_rank == 0 || mb->state == JD_MEMBER_LOST ||
            mb->state == JD_MEMBER_LEFT ||
            strcmp(mb->domain, tr->self.domain) != 0 ||
            strcmp(mb->id, tr->self.id) == 0) {
            continue;
        }
        n++;
        if (mb->head_rank < tr->head_rank) {
            *is_first = false;
        }
    }
    return n;
}

static void
appoint(JdTree *tr)
{
    Jd__Promote msg = JD__PROMOTE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        const JdMember *mb = JdMembers_Find(&tr->members, ch->id);

        if (!ch->is_head && mb != NULL && mb->head_rank == 0 &&
            strcmp(mb->domain, tr->self.domain) == 0) {
            frame.body_case = JD__FRAME__BODY_PROMOTE;
            frame.promote = &msg;
            _JdTree_Send(tr, ch->peer, &frame);
            tr->appointed_at = JdClock_Now(tr->clock);
            return;
        }
    }
}

/* The first head of a domain sees to it that there are enough of them. */
void
_JdTree_CheckHeads(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);
    bool is_first;

    if (tr->head_rank == 0 || tr->is_leaving) {
        return;
    }
    if (now - tr->announced_at > RENEW_EVERY) {
        announce(tr);
    }
    if (now - tr->appointed_at < APPOINT_EVERY) {
        return;
    }
    if (count_heads_at_home(tr, &is_first) < tr->tune.heads && is_first) {
        appoint(tr);
    }
}
