/*
 * Interface to the storage that supplies configuration versions and the
 * directory of heads, which are the nodes at the top of the tree.  The storage
 * is the log of patches, or a store of whole documents behind an adapter.
 */
#ifndef JD_SOURCE_H
#define JD_SOURCE_H

#include "../base/base.h"

struct JdNode;

typedef struct JdConfigSource {
    /* Requests are refused as not ready until a first version is applied;
     * otherwise a node without one finds no route for them. */
    bool needs_version;
    JdStatus (*init)(struct JdNode *nd, JdError *err);
    /* As the callbacks of the same names in JdTreeOps. */
    void (*read_directory)(void *ctx);
    void (*register_head)(void *ctx);
    void (*read_log)(void *ctx, bool on);
    /* May be NULL. */
    void (*deregister_head)(struct JdNode *nd, const char *id);
    /* Read all requests that crash targets, wait for changes of them, and
     * write one, as texts; empty `crashes` remove a request.  Answered by
     * JdCrashStore_On...; NULL if the source cannot keep them. */
    void (*read_crashes)(struct JdNode *nd);
    void (*follow_crashes)(struct JdNode *nd);
    void (*put_crashes)(struct JdNode *nd, const char *request,
                        const char *crashes);
    /* Read all states of roll-outs, wait for changes of them, and write one
     * under the condition that nothing was written since they were read.
     * Answered by JdRolloutStore_On...; NULL if the source cannot keep them.
     */
    void (*read_rollouts)(struct JdNode *nd);
    void (*follow_rollouts)(struct JdNode *nd);
    void (*put_rollout)(struct JdNode *nd, const JdRollout *ro,
                        JdRolloutStep step);
    /* Read and write which process of this node's target has left, by its
     * start time, 0 for none.  Answered by JdDeparture_On...; NULL if the
     * source cannot keep it. */
    void (*read_departure)(struct JdNode *nd);
    void (*put_departure)(struct JdNode *nd, uint64_t started);
    /* A version was applied or readiness changed; may be NULL. */
    void (*status_changed)(struct JdNode *nd);
    /* The limits of connections were set (max_other_connections); may be NULL.
     */
    void (*apply_limits)(struct JdNode *nd);
    /* The settings file was reloaded; may be NULL. */
    void (*settings_reloaded)(struct JdNode *nd);
} JdConfigSource;

#endif
