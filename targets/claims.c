/* Connects the claims of idempotency keys to the log stream of the service. */
#include "../node/node.h"

/* Context of an append's callback. */
typedef struct AppendOp {
    JdNode *node;
    uint64_t token;
} AppendOp;

static void
on_log_append(void *ctx, JdStatus status, uint64_t offset, uint64_t at)
{
    AppendOp *op = ctx;

    (void)at;
    JdClaims_OnAppend(&op->node->claims, op->token, status, offset);
    g_free(op);
}

static void
append_record(void *ctx, const char *text, uint64_t token)
{
    JdNode *nd = ctx;
    AppendOp *op = g_new0(AppendOp, 1);

    op->node = nd;
    op->token = token;
    JdLog_Append(&nd->log, nd->claim_stream, text, on_log_append, op);
}

static void
on_read(void *ctx, uint64_t token, const JdLogAnswer *ans)
{
    JdNode *nd = ctx;

    JdClaims_OnRead(&nd->claims, token, ans);
}

static void
read_stream(void *ctx, uint64_t from, unsigned most, uint64_t token)
{
    JdNode *nd = ctx;

    nd->counters.value[JD_C_LOG_READS]++;
    JdLog_Read(&nd->log, nd->claim_stream, from, most, 0, token, on_read, nd);
}

/* Initializes claims; `outcome_ops` has the callbacks for their outcomes. */
void
JdTargetClaims_Init(JdNode *nd, const JdClaimsOps *outcome_ops)
{
    static JdClaimsOps ops;

    ops = *outcome_ops;
    ops.append = append_record;
    ops.read = read_stream;
    g_snprintf(nd->claim_stream, sizeof(nd->claim_stream), "claims-%s",
               nd->settings.service);
    JdClaims_Init(&nd->claims, nd->settings.node, nd->tree.self.incarnation,
                  nd->settings.claim_hold_s * JD_US_PER_S, &nd->loop.clock,
                  &nd->counters, &ops, nd);
    nd->claims.retention = nd->settings.log_retention_s * JD_US_PER_S;
    nd->claims.append_interval =
        nd->settings.claim_append_interval_ms * JD_US_PER_MS;
}
