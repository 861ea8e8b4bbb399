/* Settings of a node: descriptors, defaults and validation. */
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "node.h"

#define OFFSET(field) offsetof(JdSettings, field)
#define SIZE(field) sizeof(((JdSettings *)0)->field)
#define TEXT(path, req, field)                                                \
    {                                                                         \
        path, JD_SETTING_STRING, req, OFFSET(field), SIZE(field), 0, 0, NULL, \
            NULL                                                              \
    }
#define ADDRESS(path, req, field)                                             \
    {                                                                         \
        path, JD_SETTING_ADDRESS, req, OFFSET(field), 0, 0, 0, NULL, NULL     \
    }
#define NUMBER(path, field, min, max)                                         \
    {                                                                         \
        path, JD_SETTING_NUMBER, false, OFFSET(field), 0, min, max, NULL,     \
            NULL                                                              \
    }
/* If /platform is given, its settings are required and those of the log are
 * not. */
#define PLATFORM "/platform"

static const JdSetting descriptors[] = {
    TEXT("/node", true, node),
    TEXT("/region", true, region),
    TEXT("/failure_domain", true, failure_domain),
    ADDRESS("/peer", true, peer_address),
    ADDRESS("/caller", true, caller_address),
    ADDRESS("/admin", true, admin_address),
    {"/log/address", JD_SETTING_ADDRESS, false, OFFSET(log_address), 0, 0, 0,
     NULL, PLATFORM},
    {"/log/region", JD_SETTING_STRING, false, OFFSET(log_region),
     SIZE(log_region), 0, 0, NULL, PLATFORM},
    {"/platform/store", JD_SETTING_ADDRESS, false,
     OFFSET(platform.store_address), 0, 0, 0, PLATFORM, NULL},
    {"/platform/ready", JD_SETTING_ADDRESS, false,
     OFFSET(platform.ready_address), 0, 0, 0, PLATFORM, NULL},
    {"/platform/control", JD_SETTING_ADDRESS, false,
     OFFSET(platform.control_address), 0, 0, 0, PLATFORM, NULL},
    TEXT("/platform/bounds", false, platform.bounds),
    TEXT("/translate", false, translation_rules),
    {"/preset", JD_SETTING_PRESET, false, OFFSET(preset), 0, 0, 0, NULL, NULL},
    ADDRESS("/target/address", false, target_address),
    TEXT("/target/service", false, service),
    TEXT("/target/endpoint_set", false, endpoint_set),
    NUMBER("/target/slots", slots, 1, 10000),
    NUMBER("/target/connections", max_connections, 1, 100000),
    NUMBER("/target/queue", max_queued, 0, 100000),
    NUMBER("/target/health_ms", health_interval_ms, 10, 60000),
    NUMBER("/drain/linger_ms", linger_ms, 0, 60000),
    NUMBER("/drain/deadline_ms", drain_deadline_ms, 0, 600000),
    NUMBER("/checkpoint/versions", checkpoint_versions, 1, 1000000),
    NUMBER("/checkpoint/seconds", checkpoint_interval_s, 1, 86400),
    NUMBER("/once/hold_s", claim_hold_s, 1, 86400),
    NUMBER("/once/gap_ms", claim_append_interval_ms, 1, 10000),
    NUMBER("/rollout/exposed_permille", exposed_permille, 1, 1000),
    NUMBER("/log/retention_s", log_retention_s, 1, 31536000),
    NUMBER("/link_kbps", link_kbps, 1, 1000000000),
    NUMBER("/body_bytes", max_body_bytes, 1, 64 << 20),
    NUMBER("/memory_mb", memory_mb, 16, 1 << 20),
    NUMBER("/max_fds", max_fds, 64, 1 << 20),
    NUMBER("/baseline_poll_ms", baseline_poll_ms, 1, 60000),
};

static void
set_defaults(JdSettings *s)
{
    memset(s, 0, sizeof(*s));
    s->slots = 16;
    s->max_connections = 120;
    s->max_queued = 32;
    s->health_interval_ms = 500;
    s->linger_ms = 2000;
    s->drain_deadline_ms = 30000;
    s->checkpoint_versions = 256;
    s->checkpoint_interval_s = 300;
    s->max_body_bytes = 1 << 20;
    s->memory_mb = 256;
    s->claim_hold_s = 600;
    s->claim_append_interval_ms = 5;
    s->exposed_permille = 100;
}

/* Checks that depend on more than one setting. */
static unsigned
check_consistency(const JdSettings *s, JdError *err)
{
    if (s->target_address[0] != '\0' &&
        (s->service[0] == '\0' || s->endpoint_set[0] == '\0')) {
        JdError_Set(err, JD_ERR_MISSING_FIELD, "/target",
                    "a target needs service and endpoint_set");
        return 1;
    }
    if (s->slots > s->max_connections) {
        JdError_Set(err, JD_ERR_RANGE, "/target/slots",
                    "more slots than connections");
        return 1;
    }
    return 0;
}

/* Reads and checks the settings of a node.  Returns the number of errors; at
 * most `max_errs` of them are stored. */
unsigned
JdSettings_Load(const char *file, JdSettings *out, JdError *errs,
                unsigned max_errs)
{
    unsigned n;

    set_defaults(out);
    n = JdSettings_Read(file, descriptors, G_N_ELEMENTS(descriptors), out,
                        errs, max_errs);
    return n > 0 ? n : check_consistency(out, errs);
}

/*
 * Translates an address by rules "A.B.C=D.E.F:PORT,...": an address in the
 * network A.B.C is replaced by the same host in D.E.F with PORT.  Nodes reach
 * other regions through network address translation this way.
 */
void
JdAddress_Translate(const char *rules, const char *address, char *out,
                    size_t size)
{
    const char *host = strrchr(address, '.');
    const char *colon = strrchr(address, ':');
    const char *p = rules;

    while (host != NULL && colon != NULL && *p != '\0') {
        size_t n = strcspn(p, "=");
        size_t end = strcspn(p, ",");
        const char *to = p + n + 1;
        const char *port = strchr(p, ':');

        if (n < end && port != NULL && port < p + end &&
            (size_t)(host - address) == n && memcmp(p, address, n) == 0) {
            snprintf(out, size, "%.*s%.*s%.*s", (int)(port - to), to,
                     (int)(colon - host), host, (int)(p + end - port), port);
            return;
        }
        p += end;
        p += *p == ',';
    }
    g_strlcpy(out, address, size);
}
