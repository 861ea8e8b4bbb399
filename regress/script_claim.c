/*
 * Scripted runs of claims: two nodes, "a" and "b", and a stream whose answers
 * the script gives, holds or loses.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

#define CLAIMS_MOST 32
#define RECORDS_MOST 64

typedef struct Node {
    JdClaims claims;
    char *append; /* under way */
    uint64_t append_token;
    bool has_read;
    uint64_t read_from;
    uint64_t read_token;
} Node;

static Node nodes[2];
static JdClaim claims[CLAIMS_MOST];
static char names[CLAIMS_MOST][JD_NAME_MAX];
static unsigned claim_count;
static JdRecord records[RECORDS_MOST];
static uint64_t first, next;
static char *late;

static const char *
name_of(const JdClaim *c)
{
    return names[c - claims];
}

static void
on_append(void *ctx, const char *text, uint64_t token)
{
    Node *nd = ctx;

    free(nd->append);
    nd->append = strdup(text);
    nd->append_token = token;
}

static void
on_read(void *ctx, uint64_t from, unsigned most, uint64_t token)
{
    Node *nd = ctx;

    (void)most;
    nd->has_read = true;
    nd->read_from = from;
    nd->read_token = token;
}

static void
on_won(void *ctx, JdClaim *c)
{
    (void)ctx;
    printf("won %s\n", name_of(c));
}

static void
on_lost(void *ctx, JdClaim *c, JdReason reason)
{
    (void)ctx;
    printf("lost %s: %s\n", name_of(c), JdReason_Info(reason)->name);
}

static void
on_released(void *ctx, JdClaim *c)
{
    (void)ctx;
    printf("released %s\n", name_of(c));
}

static const JdClaimsOps ops = {on_append, on_read, on_won, on_lost,
                                on_released};

static Node *
node_of(const char *name)
{
    return &nodes[name[0] == 'b'];
}

static JdClaim *
claim_of(const char *name)
{
    for (unsigned i = 0; i < claim_count; i++) {
        if (strcmp(names[i], name) == 0) {
            return &claims[i];
        }
    }
    return NULL;
}

/* Puts a record on the stream. */
static void
land_text(const char *text)
{
    records[next] = (JdRecord){next, JdClock_Now(&script_clock), strdup(text),
                               strlen(text)};
    next++;
}

/* Gives the answers to all reads of a node until it asks no more. */
static void
answer_reads(Node *nd, JdStatus status)
{
    while (nd->has_read) {
        JdLogAnswer ans = {
            .status = status, .first_offset = first, .next_offset = next};

        nd->has_read = false;
        if (status == JD_OK && nd->read_from < first) {
            ans.status = JD_ERR_LOG_EXPIRED;
        }
        else if (status == JD_OK && nd->read_from < next) {
            ans.record = &records[nd->read_from];
            ans.record_count = next - nd->read_from;
        }
        JdClaims_OnRead(&nd->claims, nd->read_token, &ans);
    }
}

/* claim init NODE INCARNATION HOLD_MS RETENTION_MS */
static void
init_node(const Line *ln)
{
    Node *nd = node_of(ln->word[2]);

    JdClaims_Init(&nd->claims, ln->word[2], strtoull(ln->word[3], NULL, 10),
                  strtoull(ln->word[4], NULL, 10) * JD_US_PER_MS,
                  &script_clock, &script_counters, &ops, nd);
    nd->claims.retention = strtoull(ln->word[5], NULL, 10) * JD_US_PER_MS;
    nd->has_read = false;
}

/* claim take NODE NAME KEY */
static void
take(const Line *ln)
{
    JdClaim *c = &claims[claim_count];

    g_strlcpy(names[claim_count++], ln->word[3], JD_NAME_MAX);
    JdClaims_Acquire(&node_of(ln->word[2])->claims, c, ln->word[4]);
}

void
ScriptClaim_Run(const Line *ln)
{
    const char *cmd = ln->word[1];
    Node *nd = node_of(ln->word[2]);

    if (strcmp(cmd, "init") == 0) {
        init_node(ln);
    }
    else if (strcmp(cmd, "take") == 0) {
        take(ln);
    }
    else if (strcmp(cmd, "land") == 0) {
        /* The append takes effect; its answer is given later or never. */
        land_text(nd->append);
    }
    else if (strcmp(cmd, "hold") == 0) {
        /* The append is on its way and will land late. */
        late = strdup(nd->append);
    }
    else if (strcmp(cmd, "late") == 0) {
        land_text(late);
    }
    else if (strcmp(cmd, "ok") == 0) {
        JdClaims_OnAppend(&nd->claims, nd->append_token, JD_OK, next - 1);
    }
    else if (strcmp(cmd, "refuse") == 0) {
        JdClaims_OnAppend(&nd->claims, nd->append_token, JD_ERR_REFUSED, 0);
    }
    else if (strcmp(cmd, "unsure") == 0) {
        JdClaims_OnAppend(&nd->claims, nd->append_token, JD_ERR_UNKNOWN_RESULT,
                          0);
    }
    else if (strcmp(cmd, "read") == 0) {
        answer_reads(nd, JD_OK);
    }
    else if (strcmp(cmd, "down") == 0) {
        answer_reads(nd, JD_ERR_UNREACHABLE);
    }
    else if (strcmp(cmd, "release") == 0) {
        JdClaims_Release(&nd->claims, claim_of(ln->word[3]));
    }
    else if (strcmp(cmd, "usable") == 0) {
        printf("%s %s\n", ln->word[3],
               JdClaims_IsUsable(&nd->claims, claim_of(ln->word[3]))
                   ? "usable"
                   : "lapsed");
    }
    else if (strcmp(cmd, "expire") == 0) {
        first = next;
    }
}
