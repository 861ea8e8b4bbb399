/*
 * Heads of failure domains: how a node becomes one, the directory, and the
 * appointment of others.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "libjd.h"
#include "libtree.h"

/* A whole document as the store gives it.  A head reads it, so a node waits
 * for as long as its link would take before it becomes one. */
#define DOCUMENT_KBIT 2000
/* Wait up to which a node that was a head comes back without waiting. */
#define RETURN_AT_ONCE (50 * JD_US_PER_MS)
/* Wait of a head between two appointments of another. */
#define APPOINT_EVERY (3 * JD_US_PER_S)
/* Period in which heads renew their directory record, below its retention. */
#define RENEW_EVERY (600 * JD_US_PER_S)
/* Time for which a head is lost before it is taken out of the directory. */
#define LOST_AFTER (3 * JD_US_PER_S)
/* Time for a head in the directory to show up among the members. */
#define UNSEEN_AFTER (30 * JD_US_PER_S)

static uint64_t
link_wait(const JdTree *tr)
{
    return tr->self.link_kbps == 0
               ? 0
               : DOCUMENT_KBIT * JD_US_PER_S / tr->self.link_kbps;
}

/*
 * Waits before volunteering.  The eighth root makes short waits rare, so that
 * few volunteer before the first one is known, however many wait.
 */
void
_JdTree_SchedulePromotion(JdTree *tr)
{
    double u =
        (double)(JdRandom_Below(&tr->random, 1 << 20) + 1) / (double)(1 << 20);
    uint64_t wait =
        (uint64_t)((double)tr->tuning.promotion_delay * sqrt(sqrt(sqrt(u))));

    if (tr->is_registering || tr->promotion_timer.is_armed || tr->is_leaving) {
        return;
    }
    JdTimer_Arm(tr->clock, &tr->promotion_timer, wait + link_wait(tr));
}

static void
on_volunteer(void *ctx)
{
    JdTree *tr = ctx;

    tr->is_promotion_pending = true;
    tr->ops->read_directory(tr->ctx);
}

static void
announce(JdTree *tr)
{
    if (tr->is_registering || tr->is_leaving) {
        return;
    }
    tr->is_registering = true;
    tr->register_sent_at = JdClock_Now(tr->clock);
    tr->ops->register_head(tr->ctx);
}

/* Offers this node as a head at once. */
void
_JdTree_OnPromote(JdTree *tr)
{
    if (tr->head_rank == 0) {
        announce(tr);
    }
}

/* The result of an append to the directory: the offset gives the rank. */
void
JdTree_HeadRegistered(JdTree *tr, JdStatus status, uint64_t offset)
{
    tr->is_registering = false;
    if (status != JD_OK || tr->head_rank != 0) {
        return;
    }
    tr->head_rank = offset + 1;
    tr->counters->value[JD_C_PROMOTIONS]++;
    _JdTree_AnnounceSelf(tr);
    _JdTree_AbortJoin(tr);
    JdTimer_Cancel(tr->clock, &tr->search_timer);
    if (tr->parent.state != JD_LINK_ATTACHED && !tr->is_ready) {
        /* Its domain waits for a version, so it reads one before it looks for
         * an earlier head.  Each that leads for a moment costs one read. */
        _JdTree_BecomeRoot(tr);
        return;
    }
    _JdTree_SearchParent(tr);
}

/* Returns this node's directory record, which the caller frees. */
char *
JdTree_EncodeDirectoryRecord(const JdTree *tr)
{
    json_t *js =
        json_pack("{s:s, s:I, s:s, s:s, s:s, s:I}", "id", tr->self.id,
                  "incarnation", (json_int_t)tr->self.incarnation, "region",
                  tr->self.region, "domain", tr->self.domain, "peer",
                  tr->self.peer_address, "rank", (json_int_t)tr->head_rank);
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

    if (JdJson_Parse(rec->text, rec->len, &js, NULL) != JD_OK) {
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

/*
 * A node that was a head before its restart is expected back; one with a
 * narrow link gives others the time to take its place.
 */
static void
return_as_head(JdTree *tr)
{
    if (link_wait(tr) <= RETURN_AT_ONCE) {
        announce(tr);
    }
    else if (!tr->promotion_timer.is_armed) {
        tr->failed_domain_rank = _JdTree_NewestDomainRank(tr);
        JdTimer_Arm(tr->clock, &tr->promotion_timer, link_wait(tr));
    }
}

/* The directory was read, or could not be. */
void
JdTree_DirectoryRead(JdTree *tr, const JdLogAnswer *ans)
{
    bool is_volunteer = tr->is_promotion_pending;
    bool was_head = tr->was_head;

    tr->is_promotion_pending = false;
    if (ans->status == JD_OK) {
        /* What is no longer told is gone. */
        tr->directory_len = 0;
    }
    for (size_t i = 0; ans->status == JD_OK && i < ans->record_count; i++) {
        take_directory_record(tr, &ans->record[i]);
    }
    tr->is_directory_read = true;
    if (is_volunteer && ans->status == JD_OK && tr->head_rank == 0 &&
        _JdTree_NewestDomainRank(tr) <= tr->failed_domain_rank) {
        announce(tr);
        return;
    }
    if (tr->was_head && !was_head && tr->head_rank == 0) {
        return_as_head(tr);
    }
    if (tr->parent.state == JD_LINK_ATTACHED) {
        return;
    }
    if (tr->head_rank == 0 &&
        _JdTree_NewestDomainRank(tr) > tr->search_domain_rank) {
        /* A new head at home goes before one that is tried elsewhere. */
        _JdTree_AbortJoin(tr);
    }
    _JdTree_SearchParent(tr);
}

void
_JdTree_InitHeads(JdTree *tr)
{
    JdTimer_Init(&tr->promotion_timer, on_volunteer, tr);
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

static bool
may_be_head(const JdTree *tr, const JdChild *ch)
{
    const JdMember *mb = JdMembers_Find(&tr->members, ch->id);

    return !ch->is_head && mb != NULL && mb->head_rank == 0 &&
           strcmp(mb->domain, tr->self.domain) == 0;
}

/* Whether a link is wider than another; one that is not known is wide. */
static bool
is_wider(unsigned kbps, unsigned other)
{
    return other != 0 && (kbps == 0 || kbps > other);
}

/* Makes a child a head: the one with the widest link. */
static void
appoint(JdTree *tr)
{
    Jd__Promote msg = JD__PROMOTE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    JdChild *best = NULL;
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        if (may_be_head(tr, ch) &&
            (best == NULL || is_wider(ch->link_kbps, best->link_kbps))) {
            best = ch;
        }
    }
    if (best == NULL) {
        return;
    }
    frame.body_case = JD__FRAME__BODY_PROMOTE;
    frame.promote = &msg;
    _JdTree_Send(tr, best->peer, &frame);
    tr->promote_sent_at = JdClock_Now(tr->clock);
}

/*
 * Whether an entry of the directory is of a head that is gone: by its own
 * word, lost for a while, or never seen although this node has led for long.
 */
static bool
is_gone(const JdTree *tr, const JdDirectoryEntry *de)
{
    const JdMember *mb = JdMembers_Find(&tr->members, de->id);
    uint64_t now = JdClock_Now(tr->clock);

    if (mb == NULL) {
        return now - tr->root_since > UNSEEN_AFTER;
    }
    if (mb->incarnation < de->incarnation) {
        return false;
    }
    if (mb->state == JD_MEMBER_LEFT) {
        return true;
    }
    return mb->state == JD_MEMBER_LOST && now - mb->changed_at > LOST_AFTER;
}

/*
 * Takes one entry of a gone head out of the directory, so that nodes that
 * start do not wait for it.
 */
static void
withdraw_gone(JdTree *tr)
{
    if (!tr->is_root || tr->ops->deregister_head == NULL) {
        return;
    }
    for (unsigned i = 0; i < tr->directory_len; i++) {
        JdDirectoryEntry *de = &tr->directory[i];

        if (strcmp(de->id, tr->self.id) != 0 && is_gone(tr, de)) {
            tr->ops->deregister_head(tr->ctx, de->id);
            *de = tr->directory[--tr->directory_len];
            return;
        }
    }
}

/* Puts this head into the directory again; others may have thought it lost. */
void
_JdTree_RenewRegistration(JdTree *tr)
{
    if (tr->head_rank != 0) {
        announce(tr);
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
    withdraw_gone(tr);
    if (now - tr->register_sent_at > RENEW_EVERY) {
        announce(tr);
    }
    if (now - tr->promote_sent_at < APPOINT_EVERY) {
        return;
    }
    if (count_heads_at_home(tr, &is_first) < tr->tuning.heads_per_domain &&
        is_first) {
        appoint(tr);
    }
}
