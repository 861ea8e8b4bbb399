/*
 * Member table.  Announcements of a member are ordered by incarnation, then by
 * sequence number, and the newest one wins.  At equal sequence numbers
 * JD_MEMBER_LOST wins; a member that is alive refutes it by announcing itself
 * with a higher sequence number.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

static const char *const state_names[JD_MEMBER_STATE_MAX] = {
    [JD_MEMBER_STARTING] = "starting", [JD_MEMBER_READY] = "ready",
    [JD_MEMBER_DRAINING] = "draining", [JD_MEMBER_DOWN] = "target-down",
    [JD_MEMBER_LEFT] = "left",         [JD_MEMBER_LOST] = "lost",
};

/* Returns the name of a member's state. */
const char *
JdMemberState_Name(JdMemberState state)
{
    return state < JD_MEMBER_STATE_MAX ? state_names[state] : "?";
}

/* Initializes an empty table. */
void
JdMembers_Init(JdMembers *ms, JdClock *clk, JdCounters *ctr)
{
    memset(ms, 0, sizeof(*ms));
    TAILQ_INIT(&ms->all);
    TAILQ_INIT(&ms->pending);
    TAILQ_INIT(&ms->suspects);
    ms->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    ms->by_set =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ms->versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ms->clock = clk;
    ms->counters = ctr;
}

/* Frees all members. */
void
JdMembers_Finish(JdMembers *ms)
{
    JdMember *mb;

    while ((mb = TAILQ_FIRST(&ms->all)) != NULL) {
        TAILQ_REMOVE(&ms->all, mb, link);
        g_free(mb->user);
        g_free(mb);
    }
    g_hash_table_destroy(ms->by_id);
    g_hash_table_destroy(ms->by_set);
    g_hash_table_destroy(ms->versions);
}

/* Looks up a member; returns NULL if it is unknown. */
JdMember *
JdMembers_Find(const JdMembers *ms, const char *id)
{
    return g_hash_table_lookup(ms->by_id, id);
}

/* Returns the members of an endpoint set, or NULL if it never had any. */
JdMemberSet *
JdMembers_FindSet(const JdMembers *ms, const char *endpoint_set)
{
    return g_hash_table_lookup(ms->by_set, endpoint_set);
}

/* Returns the bucket of a member's id. */
size_t
JdMembers_BucketOf(const char *id)
{
    return _Jd_HashText(id, 0) % JD_MEMBER_BUCKETS;
}

static uint64_t
hash_member(const JdMember *mb)
{
    uint64_t part[3] = {mb->incarnation, mb->seq, mb->state};

    return _Jd_Hash(part, sizeof(part), _Jd_HashText(mb->id, 0));
}

static void
remove_from_set(JdMember *mb)
{
    if (mb->set != NULL) {
        TAILQ_REMOVE(&mb->set->members, mb, set_link);
        mb->set->count--;
        mb->set = NULL;
    }
}

static void
add_to_set(JdMembers *ms, JdMember *mb)
{
    JdMemberSet *set;

    if (mb->endpoint_set[0] == '\0' || mb->state == JD_MEMBER_LEFT) {
        return;
    }
    set = JdMembers_FindSet(ms, mb->endpoint_set);
    if (set == NULL) {
        set = g_new0(JdMemberSet, 1);
        TAILQ_INIT(&set->members);
        g_hash_table_insert(ms->by_set, g_strdup(mb->endpoint_set), set);
    }
    TAILQ_INSERT_TAIL(&set->members, mb, set_link);
    set->count++;
    mb->set = set;
}

/*
 * Removes a member from the digests, counts and its set before it changes;
 * end_change adds it again.
 */
static void
begin_change(JdMembers *ms, JdMember *mb)
{
    ms->bucket_digest[JdMembers_BucketOf(mb->id)] ^= hash_member(mb);
    ms->count_by_state[mb->state]--;
    remove_from_set(mb);
}

static void
end_change(JdMembers *ms, JdMember *mb, uint64_t source_link)
{
    ms->bucket_digest[JdMembers_BucketOf(mb->id)] ^= hash_member(mb);
    ms->count_by_state[mb->state]++;
    add_to_set(ms, mb);
    mb->changed_at = JdClock_Now(ms->clock);
    mb->source_link = source_link;
    if (!mb->is_pending) {
        mb->is_pending = true;
        TAILQ_INSERT_TAIL(&ms->pending, mb, pending_link);
    }
    ms->counters->value[JD_C_MEMBER_UPDATES]++;
}

static void
notify_state_changed(const JdMembers *ms, const JdMember *mb,
                     JdMemberState old)
{
    if (ms->state_changed != NULL && mb->state != old) {
        ms->state_changed(ms->ctx, mb, old);
    }
}

/* Tells that the target's process that started at `old` has been replaced,
 * unless it had said that it leaves. */
static void
notify_target_replaced(const JdMembers *ms, const JdMember *mb, uint64_t old)
{
    if (ms->target_replaced != NULL && old != 0 && mb->target_started > old &&
        mb->target_left != old) {
        ms->target_replaced(ms->ctx, mb, old);
    }
}

static JdMember *
add_member(JdMembers *ms, const char *id)
{
    JdMember *mb = g_new0(JdMember, 1);

    _Jd_CopyText(mb->id, sizeof(mb->id), id);
    TAILQ_INSERT_TAIL(&ms->all, mb, link);
    g_hash_table_insert(ms->by_id, mb->id, mb);
    ms->count++;
    ms->count_by_state[mb->state]++;
    ms->bucket_digest[JdMembers_BucketOf(mb->id)] ^= hash_member(mb);
    return mb;
}

static bool
is_newer(const JdMember *mb, const Jd__Member *msg)
{
    if (msg->incarnation != mb->incarnation) {
        return msg->incarnation > mb->incarnation;
    }
    /* Leaving is final for its incarnation. */
    if (mb->state == JD_MEMBER_LEFT) {
        return false;
    }
    if (msg->seq != mb->seq) {
        return msg->seq > mb->seq;
    }
    return msg->state == JD_MEMBER_LOST && mb->state != JD_MEMBER_LOST;
}

static void
clear_suspect(JdMembers *ms, JdMember *mb)
{
    if (mb->is_suspect) {
        TAILQ_REMOVE(&ms->suspects, mb, suspect_link);
        mb->is_suspect = false;
    }
}

/* Returns whether the present process of a member's target has said that it
 * leaves. */
bool
JdMember_HasTargetLeft(const JdMember *mb)
{
    return mb->target_left != 0 && mb->target_left == mb->target_started;
}

/* Records that the process of a member's target that started at `started`
 * leaves; 0 is none.  An older one than is known changes nothing. */
void
JdMember_SetTargetLeft(JdMember *mb, uint64_t started)
{
    if (started > mb->target_left) {
        mb->target_left = started;
    }
}

/* Returns the time at which a service, or a version of it, was first seen. */
static uint64_t
first_seen(JdMembers *ms, const char *service, const char *version)
{
    char key[2 * JD_NAME_MAX];
    uint64_t *at;

    g_snprintf(key, sizeof(key), "%s\n%s", service, version);
    at = g_hash_table_lookup(ms->versions, key);
    if (at == NULL) {
        at = g_new(uint64_t, 1);
        *at = JdClock_Now(ms->clock);
        g_hash_table_insert(ms->versions, g_strdup(key), at);
    }
    return *at;
}

static void
set_version(JdMembers *ms, JdMember *mb, const char *version)
{
    _Jd_CopyText(mb->version, sizeof(mb->version), version);
    if (version[0] != '\0') {
        mb->service_seen_at = first_seen(ms, mb->service, "");
        mb->version_seen_at = first_seen(ms, mb->service, version);
    }
}

/*
 * Applies one announcement.  Returns the member if the table changed, NULL if
 * the announcement is invalid or not newer.  `source_link` is the link that it
 * came over, to which it is not forwarded; 0 for none.
 */
JdMember *
JdMembers_Update(JdMembers *ms, const Jd__Member *msg, uint64_t source_link)
{
    JdMemberState old;
    uint64_t old_started;
    JdMember *mb;

    if (msg->id[0] == '\0' || msg->state >= JD_MEMBER_STATE_MAX) {
        return NULL;
    }
    mb = JdMembers_Find(ms, msg->id);
    if (mb != NULL && !is_newer(mb, msg)) {
        return NULL;
    }
    if (mb == NULL) {
        mb = add_member(ms, msg->id);
    }
    old = mb->state;
    old_started = mb->last_target_started;
    begin_change(ms, mb);
    mb->incarnation = msg->incarnation;
    mb->seq = msg->seq;
    mb->state = (JdMemberState)msg->state;
    _Jd_CopyText(mb->region, sizeof(mb->region), msg->region);
    _Jd_CopyText(mb->domain, sizeof(mb->domain), msg->domain);
    _Jd_CopyText(mb->peer_address, sizeof(mb->peer_address), msg->peer);
    _Jd_CopyText(mb->admin_address, sizeof(mb->admin_address), msg->admin);
    _Jd_CopyText(mb->parent_id, sizeof(mb->parent_id), msg->via);
    mb->head_rank = msg->head_rank;
    _Jd_CopyText(mb->service, sizeof(mb->service), msg->service);
    _Jd_CopyText(mb->endpoint_set, sizeof(mb->endpoint_set),
                 msg->endpoint_set);
    set_version(ms, mb, msg->version);
    mb->slots = msg->slots;
    mb->target_started = msg->target_started;
    if (msg->target_started != 0) {
        mb->last_target_started = msg->target_started;
    }
    JdMember_SetTargetLeft(mb, msg->target_left);
    end_change(ms, mb, source_link);
    clear_suspect(ms, mb);
    notify_state_changed(ms, mb, old);
    notify_target_replaced(ms, mb, old_started);
    return mb;
}

/* Fills a message from a member; its strings point into the member. */
void
JdMembers_Encode(const JdMember *mb, Jd__Member *msg)
{
    jd__member__init(msg);
    msg->id = (char *)mb->id;
    msg->incarnation = mb->incarnation;
    msg->seq = mb->seq;
    msg->state = mb->state;
    msg->region = (char *)mb->region;
    msg->domain = (char *)mb->domain;
    msg->peer = (char *)mb->peer_address;
    msg->admin = (char *)mb->admin_address;
    msg->via = (char *)mb->parent_id;
    msg->head_rank = mb->head_rank;
    msg->service = (char *)mb->service;
    msg->endpoint_set = (char *)mb->endpoint_set;
    msg->slots = mb->slots;
    msg->target_started = mb->target_started;
    msg->target_left = mb->target_left;
    msg->version = (char *)mb->version;
}

/* Marks a member lost after `grace` us unless a newer announcement comes. */
void
JdMembers_Suspect(JdMembers *ms, JdMember *mb, uint64_t grace)
{
    bool is_self = ms->self_id != NULL && strcmp(ms->self_id, mb->id) == 0;

    if (is_self || mb->is_suspect || mb->state == JD_MEMBER_LOST ||
        mb->state == JD_MEMBER_LEFT) {
        return;
    }
    mb->is_suspect = true;
    mb->is_orphan = false;
    mb->suspect_at = JdClock_Now(ms->clock) + grace;
    TAILQ_INSERT_TAIL(&ms->suspects, mb, suspect_link);
}

static bool
is_parent_gone(const JdMembers *ms, const JdMember *mb)
{
    const JdMember *up =
        mb->parent_id[0] == '\0' ? NULL : JdMembers_Find(ms, mb->parent_id);

    return up != NULL &&
           (up->state == JD_MEMBER_LOST || up->state == JD_MEMBER_LEFT);
}

/* Suspects all members whose parent is lost or has left. */
static void
suspect_orphans(JdMembers *ms, uint64_t grace)
{
    JdMember *mb;

    TAILQ_FOREACH(mb, &ms->all, link)
    {
        if (!mb->is_suspect && is_parent_gone(ms, mb)) {
            JdMembers_Suspect(ms, mb, grace);
            mb->is_orphan = true;
        }
    }
}

static void
mark_lost(JdMembers *ms, JdMember *mb)
{
    JdMemberState old = mb->state;

    begin_change(ms, mb);
    mb->state = JD_MEMBER_LOST;
    end_change(ms, mb, 0);
    ms->counters->value[JD_C_MEMBER_LOST]++;
    notify_state_changed(ms, mb, old);
}

/*
 * Marks the suspects whose grace period is over as lost, and suspects their
 * children for `grace` us.  Returns the number marked.
 */
unsigned
JdMembers_Expire(JdMembers *ms, uint64_t grace)
{
    uint64_t now = JdClock_Now(ms->clock);
    unsigned n = 0;
    JdMember *mb, *next;

    for (mb = TAILQ_FIRST(&ms->suspects); mb != NULL; mb = next) {
        next = TAILQ_NEXT(mb, suspect_link);
        if (mb->suspect_at > now) {
            continue;
        }
        clear_suspect(ms, mb);
        /* The parent is alive again and monitors its children itself. */
        if (mb->is_orphan && !is_parent_gone(ms, mb)) {
            continue;
        }
        mark_lost(ms, mb);
        n++;
    }
    if (n > 0) {
        suspect_orphans(ms, grace);
    }
    return n;
}

/* Removes a member from the list of changes to forward. */
void
JdMembers_ClearPending(JdMembers *ms, JdMember *mb)
{
    if (mb->is_pending) {
        mb->is_pending = false;
        TAILQ_REMOVE(&ms->pending, mb, pending_link);
    }
}

/* Removes members that were lost or left more than `age` us ago. */
void
JdMembers_Prune(JdMembers *ms, uint64_t age)
{
    uint64_t now = JdClock_Now(ms->clock);
    JdMember *mb, *next;

    for (mb = TAILQ_FIRST(&ms->all); mb != NULL; mb = next) {
        next = TAILQ_NEXT(mb, link);
        if ((mb->state != JD_MEMBER_LOST && mb->state != JD_MEMBER_LEFT) ||
            now - mb->changed_at < age) {
            continue;
        }
        JdMembers_ClearPending(ms, mb);
        clear_suspect(ms, mb);
        begin_change(ms, mb);
        TAILQ_REMOVE(&ms->all, mb, link);
        g_hash_table_remove(ms->by_id, mb->id);
        ms->count--;
        g_free(mb->user);
        g_free(mb);
    }
}
