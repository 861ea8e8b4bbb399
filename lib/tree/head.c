/*
 * Heads of failure domains: promotion of this node and of its children, and
 * the directory in which heads register.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "libjd.h"
#include "libtree.h"

/* Assumed size of the full configuration, which a head reads from the store.
 * Promotion is delayed by the time that this takes on the node's link. */
#define CONFIG_KBIT 2000
/* A former head registers again at once if it can read the configuration
 * within this time. */
#define RESUME_READ_TIME_MAX (50 * JD_US_PER_MS)
/* Minimum time between two promotions of children by a head. */
#define PROMOTE_INTERVAL (3 * JD_US_PER_S)
/* Interval at which heads renew their directory record; has to be shorter than
 * the record's retention. */
#define RENEW_INTERVAL (600 * JD_US_PER_S)
/* Time after which a lost head is removed from the directory. */
#define DEREGISTER_LOST_DELAY (3 * JD_US_PER_S)
/* Time that a root waits for a head in the directory to become a member before
 * it removes the entry. */
#define DEREGISTER_UNSEEN_DELAY (30 * JD_US_PER_S)
/* Bits of a rank for the offset and, above them, for the epoch.  Candidates
 * are sorted by 56 bits of the rank. */
#define RANK_OFFSET_BITS 32
#define RANK_EPOCH_MASK 0xffffffU

/*
 * Returns the rank of a head from the position of its first directory record.
 * Offsets are assigned again after a restore, so the epoch comes first.
 */
static uint64_t
make_rank(uint64_t epoch, uint64_t offset)
{
    return (epoch & RANK_EPOCH_MASK) << RANK_OFFSET_BITS | (offset + 1);
}

static uint64_t
config_read_time(const JdTree *tr)
{
    return tr->self.link_kbps == 0
               ? 0
               : CONFIG_KBIT * JD_US_PER_S / tr->self.link_kbps;
}

/*
 * Schedules this node's promotion after a random wait.  The eighth root makes
 * short waits rare, so that few nodes register before the first registration
 * is in the directory, however many wait.
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
    JdTimer_Arm(tr->clock, &tr->promotion_timer, wait + config_read_time(tr));
}

static void
on_promotion_timer(void *ctx)
{
    JdTree *tr = ctx;

    tr->is_promotion_pending = true;
    tr->ops->read_directory(tr->ctx);
}

static void
register_self(JdTree *tr)
{
    if (tr->is_registering || tr->is_leaving) {
        return;
    }
    tr->is_registering = true;
    tr->registering_epoch = tr->source_epoch;
    tr->register_sent_at = JdClock_Now(tr->clock);
    tr->ops->register_head(tr->ctx);
}

/* Handles the request of the parent to become a head. */
void
_JdTree_OnPromote(JdTree *tr)
{
    if (tr->head_rank == 0) {
        register_self(tr);
    }
}

/* Registers this head again if a restore of the source may have removed its
 * record. */
static void
restore_registration(JdTree *tr)
{
    if (tr->head_rank != 0 && tr->registered_epoch < tr->source_epoch) {
        register_self(tr);
    }
}

/*
 * Records an epoch of the source that an answer or the parent names.  Records
 * of earlier epochs may be gone or, if they were removed, be back: a head
 * registers again, and a root reads the directory again.
 */
void
JdTree_SourceEpoch(JdTree *tr, uint64_t epoch)
{
    if (epoch <= tr->source_epoch) {
        return;
    }
    tr->source_epoch = epoch;
    _JdTree_SendPathToChildren(tr);
    restore_registration(tr);
    if (tr->is_root) {
        tr->ops->read_directory(tr->ctx);
    }
    if (tr->ops->epoch_changed != NULL) {
        tr->ops->epoch_changed(tr->ctx);
    }
}

/* Handles the result of the directory append.  Its position gives the rank of
 * a new head. */
void
JdTree_HeadRegistered(JdTree *tr, JdStatus status, uint64_t epoch,
                      uint64_t offset)
{
    tr->is_registering = false;
    if (status != JD_OK) {
        return;
    }
    /* An append that was sent after a restore is in the restored source. */
    tr->registered_epoch =
        epoch > tr->registering_epoch ? epoch : tr->registering_epoch;
    if (tr->head_rank != 0) {
        restore_registration(tr);
        return;
    }
    tr->head_rank = make_rank(epoch, offset);
    tr->counters->value[JD_C_PROMOTIONS]++;
    _JdTree_AnnounceSelf(tr);
    _JdTree_AbortJoin(tr);
    JdTimer_Cancel(tr->clock, &tr->search_timer);
    if (tr->parent.state != JD_LINK_ATTACHED && !tr->is_ready) {
        /* The domain waits for a version, so this node reads the log before
         * it searches for a parent.  If a candidate accepts it soon, having
         * been a root has cost only one read. */
        _JdTree_BecomeRoot(tr);
        return;
    }
    _JdTree_SearchParent(tr);
}

/* Returns this node's directory record as JSON, to be freed by the caller. */
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
store_entry(JdTree *tr, const JdDirectoryEntry *de)
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
add_directory_record(JdTree *tr, const JdRecord *rec, uint64_t epoch)
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
        de.rank = rank > 0 ? (uint64_t)rank : make_rank(epoch, rec->offset);
        if (strcmp(id, tr->self.id) == 0 &&
            de.incarnation != tr->self.incarnation) {
            tr->was_head = true;
        }
        store_entry(tr, &de);
    }
    else {
        tr->counters->value[JD_C_BAD_RECORD]++;
    }
    json_decref(js);
}

/*
 * Registers this node, which was a head before it restarted.  If its link is
 * slow, it waits, so that another node can become head in its place.
 */
static void
resume_as_head(JdTree *tr)
{
    if (config_read_time(tr) <= RESUME_READ_TIME_MAX) {
        register_self(tr);
    }
    else if (!tr->promotion_timer.is_armed) {
        tr->failed_domain_rank = _JdTree_NewestDomainRank(tr);
        JdTimer_Arm(tr->clock, &tr->promotion_timer, config_read_time(tr));
    }
}

/* Handles the result of reading the directory. */
void
JdTree_DirectoryRead(JdTree *tr, const JdLogAnswer *ans)
{
    bool is_promotion = tr->is_promotion_pending;
    bool was_head = tr->was_head;

    tr->is_promotion_pending = false;
    if (ans->status == JD_OK) {
        /* Entries that the directory no longer lists are dropped. */
        tr->directory_len = 0;
    }
    for (size_t i = 0; ans->status == JD_OK && i < ans->record_count; i++) {
        add_directory_record(tr, &ans->record[i], ans->epoch);
    }
    tr->is_directory_read = true;
    if (is_promotion && ans->status == JD_OK && tr->head_rank == 0 &&
        _JdTree_NewestDomainRank(tr) <= tr->failed_domain_rank) {
        register_self(tr);
        return;
    }
    if (tr->was_head && !was_head && tr->head_rank == 0) {
        resume_as_head(tr);
    }
    if (tr->parent.state == JD_LINK_ATTACHED) {
        return;
    }
    if (tr->head_rank == 0 &&
        _JdTree_NewestDomainRank(tr) > tr->search_domain_rank) {
        /* Prefers a new head of the domain to the candidate being joined. */
        _JdTree_AbortJoin(tr);
    }
    _JdTree_SearchParent(tr);
}

void
_JdTree_InitHeads(JdTree *tr)
{
    JdTimer_Init(&tr->promotion_timer, on_promotion_timer, tr);
}

/*
 * Counts the heads of this node's domain, itself included.  Sets `is_lowest`
 * if no other has a lower rank.
 */
static unsigned
count_domain_heads(const JdTree *tr, bool *is_lowest)
{
    const JdMember *mb;
    unsigned n = 1;

    *is_lowest = true;
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
            *is_lowest = false;
        }
    }
    return n;
}

/* Returns whether this node, which is a head, has the lowest rank among the
 * heads of its domain. */
bool
_JdTree_IsLowestDomainHead(const JdTree *tr)
{
    bool is_lowest;

    count_domain_heads(tr, &is_lowest);
    return is_lowest;
}

static bool
is_promotable(const JdTree *tr, const JdChild *ch)
{
    const JdMember *mb = JdMembers_Find(&tr->members, ch->id);

    return !ch->is_head && mb != NULL && mb->head_rank == 0 &&
           strcmp(mb->domain, tr->self.domain) == 0;
}

/* Whether a link is faster than another; 0, unknown, counts as the fastest. */
static bool
has_more_bandwidth(unsigned kbps, unsigned other)
{
    return other != 0 && (kbps == 0 || kbps > other);
}

/* Asks the child with the fastest link to become a head. */
static void
promote_child(JdTree *tr)
{
    Jd__Promote msg = JD__PROMOTE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    JdChild *best = NULL;
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        if (is_promotable(tr, ch) &&
            (best == NULL ||
             has_more_bandwidth(ch->link_kbps, best->link_kbps))) {
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
 * Whether the head of a directory entry has left, has been lost for
 * DEREGISTER_LOST_DELAY, or is not a member although this node has been a root
 * for DEREGISTER_UNSEEN_DELAY.
 */
static bool
is_stale_entry(const JdTree *tr, const JdDirectoryEntry *de)
{
    const JdMember *mb = JdMembers_Find(&tr->members, de->id);
    uint64_t now = JdClock_Now(tr->clock);

    if (mb == NULL) {
        return now - tr->root_since > DEREGISTER_UNSEEN_DELAY;
    }
    if (mb->incarnation < de->incarnation) {
        return false;
    }
    if (mb->state == JD_MEMBER_LEFT) {
        return true;
    }
    return mb->state == JD_MEMBER_LOST &&
           now - mb->changed_at > DEREGISTER_LOST_DELAY;
}

/*
 * Removes one stale entry from the directory, so that starting nodes do not
 * wait for an answer from its head.
 */
static void
deregister_stale_entry(JdTree *tr)
{
    if (!tr->is_root || tr->ops->deregister_head == NULL) {
        return;
    }
    for (unsigned i = 0; i < tr->directory_len; i++) {
        JdDirectoryEntry *de = &tr->directory[i];

        if (strcmp(de->id, tr->self.id) != 0 && is_stale_entry(tr, de)) {
            tr->ops->deregister_head(tr->ctx, de->id);
            *de = tr->directory[--tr->directory_len];
            return;
        }
    }
}

/*
 * Registers this node again if it is a head: other nodes took it for lost, and
 * a root may have removed its directory entry.
 */
void
_JdTree_RenewRegistration(JdTree *tr)
{
    if (tr->head_rank != 0) {
        register_self(tr);
    }
}

/*
 * Periodic work of a head: removes stale entries, renews its record, and as
 * the lowest-ranked head of its domain promotes children while heads are few.
 */
void
_JdTree_CheckHeads(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);
    bool is_lowest;

    if (tr->head_rank == 0 || tr->is_leaving) {
        return;
    }
    deregister_stale_entry(tr);
    restore_registration(tr);
    if (now - tr->register_sent_at > RENEW_INTERVAL) {
        register_self(tr);
    }
    if (now - tr->promote_sent_at < PROMOTE_INTERVAL) {
        return;
    }
    if (count_domain_heads(tr, &is_lowest) < tr->tuning.heads_per_domain &&
        is_lowest) {
        promote_child(tr);
    }
}
