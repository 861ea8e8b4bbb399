/* Binds the claims of the target's service to the log. */
#include "../node/node.h"

/* The token of an append travels with its callback. */
typedef struct Append {
    JdNode *node;
    uint64_t token;
} Append;

static void
on_log_append(void *ctx, JdStatus status, uint64_t offset, uint64_t at)
{
    Append *ap = ctx;

    (void)at;
    JdClaims_OnAppend(&ap->node->claims, ap->token, status, offset);
    g_free(ap);
}

static void
append(void *ctx, const char *text, uint64_t token)
{
    JdNode *nd = ctx;
    Append *ap = g_new0(Append, 1);

    ap->node = nd;
    ap->token = token;
    JdLog_Append(&nd->log, nd->claim_stream, text, on_log_append, ap);
}

static void
on_answer(void *ctx, uint64_t token, const JdLogAnswer *ans)
{
    JdNode *nd = ctx;

    JdClaims_OnRead(&nd->claims, token, ans);
}

static void
read_claims(void *ctx, uint64_t from, unsigned most, uint64_t token)
{
    JdNode *nd = ctx;

    nd->counters.value[JD_C_LOG_READS]++;
    JdLog_Read(&nd->log, nd->claim_stream, from, most, 0, token, on_answer,
               nd);
}

/* Initializes claims; `decided` gives the callbacks of their outcomes. */
void
JdTargetClaims_Init(JdNode *nd, const JdClaimsOps *decided)
{
    static JdClaimsOps ops;

    ops = *decided;
    ops.append = append;
    ops.read = read_claims;
    g_snprintf(nd->claim_stream, sizeof(nd->claim_stream), "claims-%s",
               nd->settings.service);
    JdClaims_Init(&nd->claims, nd->settings.node, nd->tree.self.incarnation,
                  nd->settings.claim_hold_s * JD_US_PER_S, &nd->loop.clock,
                  &nd->counters, &ops, nd);
    nd->claims.retention = nd->settings.log_retention_s * JD_US_PER_S;
    nd->claims.append_interval =
        nd->settings.claim_append_interval_ms * JD_US_PER_MS;
}
