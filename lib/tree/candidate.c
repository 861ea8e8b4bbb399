/*
 * Candidates for a parent: the heads that members and the directory tell of,
 * and the nodes that a redirect names.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* A head as the members or, for unknown nodes, the directory tell of it. */
typedef struct Head {
    const char *id;
    const char *address;
    const char *region;
    const char *domain;
    uint64_t rank;
    uint64_t score; /* place in the list, lowest first */
    bool is_lost;
    bool is_away;
} Head;

#define HEADS_MOST 512
/* Heads of other domains that a node which is no head tries in one search:
 * while it waits for them it cannot see that its own domain has a new one. */
#define AWAY_MOST 2

typedef struct HeadList {
    Head head[HEADS_MOST];
    unsigned count;
} HeadList;

/*
 * Whether the directory knows more than the member table: a node may have
 * become a head in another tree, from which no news comes.
 */
static bool
is_news(const JdTree *tr, const JdDirectoryEntry *de)
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
            strcmp(mb->id, tr->self.id) != 0 && out->count < HEADS_MOST) {
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

        if (is_news(tr, de) && strcmp(de->id, tr->self.id) != 0 &&
            out->count < HEADS_MOST) {
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

/*
 * Whether a head of another region may be above this node.  Where it is not
 * known which region the log is in, the order of ranks decides between regions
 * as it does within one.
 */
static bool
is_above(const JdTree *tr, const Head *h)
{
    if (tr->self.log_region[0] != '\0') {
        return strcmp(h->region, tr->self.log_region) == 0;
    }
    return tr->head_rank == 0 || h->rank < tr->head_rank;
}

static Class
classify(const JdTree *tr, const Head *h)
{
    bool same_region = strcmp(h->region, tr->self.region) == 0;
    bool same_domain = strcmp(h->domain, tr->self.domain) == 0;

    if (tr->head_rank == 0) {
        if (same_region && same_domain) {
            return CLASS_HOME;
        }
        if (same_region) {
            return CLASS_REGION;
        }
        return is_above(tr, h) ? CLASS_LOG_REGION : CLASS_NONE;
    }
    /* A head joins earlier heads only, so that no cycle can form. */
    if (same_region) {
        return h->rank < tr->head_rank ? CLASS_REGION : CLASS_NONE;
    }
    return is_above(tr, h) ? CLASS_LOG_REGION : CLASS_NONE;
}

static int
compare_heads(const void *a, const void *b)
{
    const Head *x = a;
    const Head *y = b;

    return x->score < y->score ? -1 : x->score > y->score;
}

/*
 * Returns the place of a head within its class.  Heads join by rank, so that
 * no cycle can form.  Other nodes are spread over the heads by rendezvous
 * order; away from home each search has another order, since it tries few.
 */
static uint64_t
order_of(const JdTree *tr, const Head *h, Class c)
{
    uint64_t seed =
        _Jd_HashText(tr->self.id, c == CLASS_HOME ? 0 : tr->failed_searches);

    return tr->head_rank != 0 ? h->rank & (UINT64_MAX >> 8)
                              : _Jd_HashText(h->id, seed) >> 8;
}

/* Gives each candidate its place: lost ones last, then class, then order. */
static void
score(const JdTree *tr, Head *h, Class c)
{
    uint64_t order = order_of(tr, h, c);
    bool was_parent = strcmp(h->id, tr->parent.id) == 0 &&
                      tr->parent.state != JD_LINK_ATTACHED;

    h->score =
        (uint64_t)(h->is_lost || was_parent) << 62 | (uint64_t)c << 58 | order;
}

/* Copies the list to the tree; a node that is no head tries few away. */
static void
take_candidates(JdTree *tr, const HeadList *hl, unsigned n)
{
    unsigned away = 0;

    tr->candidate_count = 0;
    tr->next_candidate = 0;
    for (unsigned i = 0; i < n && tr->candidate_count < JD_CANDIDATES_MAX;
         i++) {
        const Head *h = &hl->head[i];
        JdCandidate *c = &tr->candidate[tr->candidate_count];

        if (h->is_away && tr->head_rank == 0 && ++away > AWAY_MOST) {
            continue;
        }
        _Jd_CopyText(c->id, sizeof(c->id), h->id);
        _Jd_CopyText(c->address, sizeof(c->address), h->address);
        c->is_remote_domain = h->is_away;
        tr->candidate_count++;
    }
}

/* Lists the candidates in the order in which they are tried. */
void
_JdTree_BuildCandidates(JdTree *tr)
{
    HeadList *hl = g_new(HeadList, 1);
    unsigned n = 0;

    collect_heads(tr, hl);
    for (unsigned i = 0; i < hl->count; i++) {
        Class c = classify(tr, &hl->head[i]);

        if (c != CLASS_NONE) {
            hl->head[n] = hl->head[i];
            hl->head[n].is_away = c != CLASS_HOME;
            score(tr, &hl->head[n], c);
            n++;
        }
    }
    qsort(hl->head, n, sizeof(Head), compare_heads);
    take_candidates(tr, hl, n);
    tr->search_domain_rank = _JdTree_NewestDomainRank(tr);
    g_free(hl);
}

/* Puts the nodes that a redirect named in front of the other candidates. */
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
                       .score = _Jd_HashText(msg->candidate[i]->id, seed)};
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

/* Returns the newest rank of a head in the own failure domain, or 0. */
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
