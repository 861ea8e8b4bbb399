/*
 * Candidates for a parent: the heads in the member table and the directory,
 * and the nodes that a redirect names.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* A head, taken from the member table or else from the directory. */
typedef struct Head {
    const char *id;
    const char *address;
    const char *region;
    const char *domain;
    uint64_t rank;
    uint64_t sort_key; /* candidates are tried in ascending order */
    bool is_lost;
    bool is_remote_domain;
} Head;

#define MAX_HEADS 512
/* Heads of other domains that a node tries in one search unless it is a head.
 * While it waits for their answers it cannot see a new head of its own domain.
 */
#define MAX_REMOTE_HEADS 2

typedef struct HeadList {
    Head head[MAX_HEADS];
    unsigned count;
} HeadList;

/*
 * Whether a directory entry is newer than the member table.  A node may have
 * become a head in another tree, from which no member updates arrive.
 */
static bool
is_directory_newer(const JdTree *tr, const JdDirectoryEntry *de)
{
    const JdMember *mb = JdMembers_Find(&tr->members, de->id);

    return mb == NULL ||
           (mb->head_rank == 0 && mb->incarnation <= de->incarnation);
}

static void
collect_heads(const JdTree *tr, HeadList *out)
{
    const JdMember *mb;

    out->count = 0;
    TAILQ_FOREACH(mb, &tr->members.all, link)
    {
        if (mb->head_rank != 0 && mb->state != JD_MEMBER_LEFT &&
            strcmp(mb->id, tr->self.id) != 0 && out->count < MAX_HEADS) {
            out->head[out->count++] =
                (Head){.id = mb->id,
                       .address = mb->peer_address,
                       .region = mb->region,
                       .domain = mb->domain,
                       .rank = mb->head_rank,
                       .is_lost = mb->state == JD_MEMBER_LOST};
        }
    }
    for (unsigned i = 0; i < tr->directory_len; i++) {
        const JdDirectoryEntry *de = &tr->directory[i];

        if (is_directory_newer(tr, de) && strcmp(de->id, tr->self.id) != 0 &&
            out->count < MAX_HEADS) {
            out->head[out->count++] = (Head){.id = de->id,
                                             .address = de->address,
                                             .region = de->region,
                                             .domain = de->domain,
                                             .rank = de->rank};
        }
    }
}

/* Classes of candidates, in the order in which they are tried. */
typedef enum CandidateClass {
    CLASS_DOMAIN,     /* same failure domain */
    CLASS_REGION,     /* same region */
    CLASS_LOG_REGION, /* region of the log */
    CLASS_NONE,       /* not a candidate */
} CandidateClass;

/*
 * Whether a head of another region may be above this node in the tree.  If the
 * region of the log is unknown, ranks decide between regions as they do within
 * one.
 */
static bool
may_be_above(const JdTree *tr, const Head *h)
{
    if (tr->self.log_region[0] != '\0') {
        return strcmp(h->region, tr->self.log_region) == 0;
    }
    return tr->head_rank == 0 || h->rank < tr->head_rank;
}

static CandidateClass
classify(const JdTree *tr, const Head *h)
{
    bool same_region = strcmp(h->region, tr->self.region) == 0;
    bool same_domain = strcmp(h->domain, tr->self.domain) == 0;

    if (tr->head_rank == 0) {
        if (same_region && same_domain) {
            return CLASS_DOMAIN;
        }
        if (same_region) {
            return CLASS_REGION;
        }
        return may_be_above(tr, h) ? CLASS_LOG_REGION : CLASS_NONE;
    }
    /* A head joins heads of lower rank only, so that no cycle can form. */
    if (same_region) {
        return h->rank < tr->head_rank ? CLASS_REGION : CLASS_NONE;
    }
    return may_be_above(tr, h) ? CLASS_LOG_REGION : CLASS_NONE;
}

static int
compare_heads(const void *a, const void *b)
{
    const Head *x = a;
    const Head *y = b;

    return x->sort_key < y->sort_key ? -1 : x->sort_key > y->sort_key;
}

/*
 * Returns the order of a head within its class.  Heads try candidates by rank.
 * Other nodes are spread over the heads by rendezvous hashing.  For heads of
 * other domains, of which a search tries only a few, each search has a
 * different order.
 */
static uint64_t
compute_order(const JdTree *tr, const Head *h, CandidateClass c)
{
    uint64_t seed =
        _Jd_HashText(tr->self.id, c == CLASS_DOMAIN ? 0 : tr->failed_searches);

    return tr->head_rank != 0 ? h->rank & (UINT64_MAX >> 8)
                              : _Jd_HashText(h->id, seed) >> 8;
}

/* Sorts lost heads and the former parent last, then by class and order. */
static void
set_sort_key(const JdTree *tr, Head *h, CandidateClass c)
{
    uint64_t order = compute_order(tr, h, c);
    bool was_parent = strcmp(h->id, tr->parent.id) == 0 &&
                      tr->parent.state != JD_LINK_ATTACHED;

    h->sort_key =
        (uint64_t)(h->is_lost || was_parent) << 62 | (uint64_t)c << 58 | order;
}

/*
 * Copies the list to the tree.  Limits heads of other domains to
 * MAX_REMOTE_HEADS unless this node is a head.
 */
static void
copy_candidates(JdTree *tr, const HeadList *hl, unsigned n)
{
    unsigned remote = 0;

    tr->candidate_count = 0;
    tr->next_candidate = 0;
    for (unsigned i = 0; i < n && tr->candidate_count < JD_CANDIDATES_MAX;
         i++) {
        const Head *h = &hl->head[i];
        JdCandidate *c = &tr->candidate[tr->candidate_count];

        if (h->is_remote_domain && tr->head_rank == 0 &&
            ++remote > MAX_REMOTE_HEADS) {
            continue;
        }
        _Jd_CopyText(c->id, sizeof(c->id), h->id);
        _Jd_CopyText(c->address, sizeof(c->address), h->address);
        c->is_remote_domain = h->is_remote_domain;
        tr->candidate_count++;
    }
}

/* Lists the candidates for a search in the order in which they are tried. */
void
_JdTree_BuildCandidates(JdTree *tr)
{
    HeadList *hl = g_new(HeadList, 1);
    unsigned n = 0;

    collect_heads(tr, hl);
    for (unsigned i = 0; i < hl->count; i++) {
        CandidateClass c = classify(tr, &hl->head[i]);

        if (c != CLASS_NONE) {
            hl->head[n] = hl->head[i];
            hl->head[n].is_remote_domain = c != CLASS_DOMAIN;
            set_sort_key(tr, &hl->head[n], c);
            n++;
        }
    }
    qsort(hl->head, n, sizeof(Head), compare_heads);
    copy_candidates(tr, hl, n);
    tr->search_domain_rank = _JdTree_NewestDomainRank(tr);
    g_free(hl);
}

/* Inserts the nodes that a redirect names before the other candidates. */
void
_JdTree_InsertCandidates(JdTree *tr, const Jd__Redirect *msg)
{
    unsigned keep = tr->candidate_count - tr->next_candidate;
    uint64_t seed = _Jd_HashText(tr->self.id, 0);
    JdCandidate list[JD_CANDIDATES_MAX];
    Head head[JD_CANDIDATES_MAX];
    unsigned n = 0;

    for (size_t i = 0; i < msg->n_candidate && n < JD_CANDIDATES_MAX; i++) {
        if (strcmp(msg->candidate[i]->id, tr->self.id) != 0) {
            head[n++] =
                (Head){.id = msg->candidate[i]->id,
                       .address = msg->candidate[i]->peer,
                       .sort_key = _Jd_HashText(msg->candidate[i]->id, seed)};
        }
    }
    qsort(head, n, sizeof(Head), compare_heads);
    for (unsigned i = 0; i < n; i++) {
        _Jd_CopyText(list[i].id, JD_NAME_MAX, head[i].id);
        _Jd_CopyText(list[i].address, JD_ADDRESS_MAX, head[i].address);
        list[i].is_remote_domain = false;
    }
    for (unsigned i = 0; i < keep && n < JD_CANDIDATES_MAX; i++) {
        list[n++] = tr->candidate[tr->next_candidate + i];
    }
    memcpy(tr->candidate, list, n * sizeof(list[0]));
    tr->candidate_count = n;
    tr->next_candidate = 0;
}

/* Returns the rank of the newest head in this node's domain, or 0. */
uint64_t
_JdTree_NewestDomainRank(const JdTree *tr)
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
