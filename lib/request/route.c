/* Routes: what the document says of a request's host and path. */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Defaults of a policy and of a route without one. */
#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_PRIORITY 2
#define DEFAULT_ATTEMPTS 3

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
    out->timeout =
        (uint64_t)number_of(pol, "deadline_ms", DEFAULT_DEADLINE_MS) *
        JD_US_PER_MS;
    out->latency_goal =
        (uint64_t)number_of(pol, "latency_ms",
                            (json_int_t)(out->timeout / JD_US_PER_MS)) *
        JD_US_PER_MS;
    out->attempts = (unsigned)number_of(pol, "attempts", DEFAULT_ATTEMPTS);
    out->retry_percent =
        (unsigned)number_of(pol, "retry_percent", DEFAULT_RETRY_PERCENT);
    out->is_idempotent = json_is_true(json_object_get(pol, "idempotent"));
    out->requires_key = json_is_true(json_object_get(pol, "once"));
}

/* Finds the longest prefix of the key's path; `base` is the host's length. */
static const json_t *
find_prefix(const json_t *routes, char *key, size_t base, size_t n,
            const char **prefix)
{
    while (n > base) {
        json_t *route;
        char last = key[n];

        key[n] = '\0';
        route = json_object_get(routes, key);
        if (route != NULL) {
            *prefix = json_object_iter_key(
                json_object_iter_at((json_t *)routes, key));
            return route;
        }
        key[n] = last;
        n--;
        /* Prefixes end at a segment, with or without its slash. */
        while (n > base && key[n - 1] != '/' && key[n] != '/') {
            n--;
        }
    }
    return NULL;
}

/* Chooses a part of a split by a random number; weights are shares of it. */
static void
choose_part(const JdConfig *cfg, const json_t *split, uint64_t draw,
            JdRoute *out)
{
    uint64_t sum = 0;
    const char *set;
    json_t *v;

    json_object_foreach((json_t *)split, set, v)
    {
        sum += (uint64_t)json_integer_value(v);
    }
    if (sum == 0) {
        return;
    }
    draw %= sum;
    json_object_foreach((json_t *)split, set, v)
    {
        uint64_t weight = (uint64_t)json_integer_value(v);

        if (draw < weight) {
            const json_t *sets = cfg->table[JD_TABLE_ENDPOINT_SETS];

            out->endpoint_set = set;
            out->service = text_of(json_object_get(sets, set), "service");
            return;
        }
        draw -= weight;
    }
}

static size_t
copy_host(char *key, const char *host, size_t n)
{
    const char *colon = memchr(host, ':', n);
    size_t len = colon == NULL ? n : (size_t)(colon - host);

    for (size_t i = 0; i < len; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    return len;
}

/*
 * Finds the route of a host and path: the longest prefix among the routes of
 * the host, or among those without a host when it has none.  `draw` is a
 * random number that chooses between the parts of a split.  The strings in
 * `out` live as long as the configuration.
 */
bool
JdConfig_FindRoute(const JdConfig *cfg, const JdRouteKey *rk, uint64_t draw,
                   JdRoute *out)
{
    const json_t *routes = cfg->table[JD_TABLE_ROUTES];
    const json_t *split, *route = NULL;
    const char *query = memchr(rk->path, '?', rk->path_len);
    size_t len = query == NULL ? rk->path_len : (size_t)(query - rk->path);
    char key[_JD_ROUTE_NAME_LIMIT * 2 + 1];
    size_t host = 0;

    len = len < _JD_ROUTE_NAME_LIMIT ? len : _JD_ROUTE_NAME_LIMIT;
    if (rk->host_len > 0 && rk->host_len < _JD_ROUTE_NAME_LIMIT) {
        host = copy_host(key, rk->host, rk->host_len);
        memcpy(key + host, rk->path, len);
        key[host + len] = '\0';
        route = find_prefix(routes, key, host, host + len, &out->name);
    }
    if (route == NULL) {
        memcpy(key, rk->path, len);
        key[len] = '\0';
        route = find_prefix(routes, key, 0, len, &out->name);
    }
    if (route == NULL) {
        return false;
    }
    fill_route(cfg, route, out);
    split = json_object_get(route, "split");
    if (split != NULL) {
        choose_part(cfg, split, draw, out);
    }
    return true;
}
