/* Routes: what the document says of a request's path. */
#include <string.h>

#include "libjd.h"

/* Defaults of a policy and of a route without one. */
#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_PRIORITY 2

static const char *
text_of(const json_t *entry, const char *field)
{
    return json_string_value(json_object_get(entry, field));
}

static json_int_t
number_of(const json_t *policy, const char *field, json_int_t otherwise)
{
    const json_t *v = json_object_get(policy, field);

    return v == NULL ? otherwise : json_integer_value(v);
}

static void
fill_route(const JdConfig *cfg, const json_t *route, JdRoute *out)
{
    const json_t *svc, *pol;
    const char *name = text_of(route, "policy");

    out->service = text_of(route, "service");
    out->endpoint_set = text_of(route, "endpoint_set");
    if (name == NULL) {
        svc = json_object_get(cfg->table[JD_TABLE_SERVICES], out->service);
        name = text_of(svc, "policy");
    }
    pol = name == NULL ? NULL
                       : json_object_get(cfg->table[JD_TABLE_POLICIES], name);
    out->priority = (unsigned)number_of(pol, "priority", DEFAULT_PRIORITY);
    out->deadline =
        (uint64_t)number_of(pol, "deadline_ms", DEFAULT_DEADLINE_MS) *
        JD_US_PER_MS;
    out->retry_percent =
        (unsigned)number_of(pol, "retry_percent", DEFAULT_RETRY_PERCENT);
    out->idempotent = json_is_true(json_object_get(pol, "idempotent"));
    out->once = json_is_true(json_object_get(pol, "once"));
}

/*
 * Finds the route with the longest prefix of a path that ends at a segment.
 * The strings in `out` live as long as the configuration.
 */
bool
JdConfig_Route(const JdConfig *cfg, const char *path, size_t len, JdRoute *out)
{
    char key[_JD_PREFIX_LIMIT + 1];
    size_t n = len < _JD_PREFIX_LIMIT ? len : _JD_PREFIX_LIMIT;
    const char *query = memchr(path, '?', n);

    if (query != NULL) {
        n = (size_t)(query - path);
    }
    memcpy(key, path, n);
    while (n > 0) {
        const json_t *route;

        key[n] = '\0';
        route = json_object_get(cfg->table[JD_TABLE_ROUTES], key);
        if (route != NULL) {
            out->prefix = json_object_iter_key(
                json_object_iter_at(cfg->table[JD_TABLE_ROUTES], key));
            fill_route(cfg, route, out);
            return true;
        }
        if (n == 1) {
            break;
        }
        do {
            n--;
        } while (n > 1 && key[n] != '/');
    }
    return false;
}
