/*
 * Where a node gets versions and the directory of heads from: the log of
 * patches, or an adapter's store of whole documents.
 */
#ifndef JD_SOURCE_H
#define JD_SOURCE_H

#include "../base/base.h"

struct JdNode;

typedef struct JdConfigSource {
    /* Answers requests only once there is a version, also without routes. */
    bool needs_version;
    JdStatus (*init)(struct JdNode *nd, JdError *err);
    /* The tree's callbacks of the same names. */
    void (*read_directory)(void *ctx);
    void (*register_head)(void *ctx);
    void (*read_log)(void *ctx, bool on);
    void (*deregister_head)(struct JdNode *nd,
                            const char *id); /* may be NULL */
    /* A version came into force; may be NULL. */
    void (*status_changed)(struct JdNode *nd);
    /* The settings were read again; may be NULL. */
    void (*settings_reloaded)(struct JdNode *nd);
} JdConfigSource;

#endif
