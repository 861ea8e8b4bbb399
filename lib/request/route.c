/* Finds the route of a request by its host and path. */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Defaults for fields that a policy omits and for routes without a policy. */
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
integer_of(const json_t *policy, const char *field, json_int_t fallback)
{
    const json_t *v = json_object_get(policy, field);

    return v == NULL ? fallback : json_integer_value(v);
}

/* Returns whether a service's targets are picked by work and speed. */
bool
JdConfig_IsByWork(const JdConfig *cfg, const char *service)
{
    const json_t *svc =
        json_object_get(cfg->table[JD_TABLE_SERVICES], service);

    return text_of(svc, "balance") != NULL;
}

/* Returns which requests may run more than once by a policy, or NULL. */
static JdRepeat
repeat_of(const json_t *policy)
{
    const json_t *v = json_object_get(policy, "idempotent");

    if (v == NULL) {
        return JD_REPEAT_BY_METHOD;
    }
    return json_is_true(v) ? JD_REPEAT_ALL : JD_REPEAT_NONE;
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
    out->priority = (unsigned)integer_of(pol, "priority", DEFAULT_PRIORITY);
    out->timeout =
        (uint64_t)integer_of(pol, "deadline_ms", DEFAULT_DEADLINE_MS) *
        JD_US_PER_MS;
    out->latency_goal =
        (uint64_t)integer_of(pol, "latency_ms",
                             (json_int_t)(out->timeout / JD_US_PER_MS)) *
        JD_US_PER_MS;
    out->attempts = (unsigned)integer_of(pol, "attempts", DEFAULT_ATTEMPTS);
    out->retry_percent =
        (unsigned)integer_of(pol, "retry_percent", DEFAULT_RETRY_PERCENT);
    out->repeat = repeat_of(pol);
    out->requires_key = json_is_true(json_object_get(pol, "once"));
    out->is_bulk = json_is_true(json_object_get(pol, "bulk"));
    out->is_public = json_is_true(json_object_get(route, "public"));
}

/* Finds the route whose name is the longest prefix of `key`, which has `n`
 * bytes: a host of `host_len` bytes, then the path. */
static const json_t *
find_longest_prefix(const json_t *routes, char *key, size_t host_len, size_t n,
                    const char **prefix)
{
    while (n > host_len) {
        json_t *route;
        char saved = key[n];

        key[n] = '\0';
        route = json_object_get(routes, key);
        if (route != NULL) {
            *prefix = json_object_iter_key(
                json_object_iter_at((json_t *)routes, key));
            return route;
        }
        key[n] = saved;
        n--;
        /* A prefix ends at a path segment, with or without its slash. */
        while (n > host_len && key[n - 1] != '/' && key[n] != '/') {
            n--;
        }
    }
    return NULL;
}

/* Chooses one of the endpoint sets of a traffic split by weight.  `draw` is a
 * random number. */
static void
choose_split_part(const JdConfig *cfg, const json_t *split, uint64_t draw,
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

/* Copies a host in lower case and without its port to `key`.  Returns the
 * length of the copy. */
static size_t
normalize_host(char *key, const char *host, size_t n)
{
    const char *colon = memchr(host, ':', n);
    size_t len = colon == NULL ? n : (size_t)(colon - host);

    for (size_t i = 0; i < len; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    return len;
}

/*
 * Finds the route of a host and path: the longest matching prefix among the
 * routes of the host, or among those without a host if the host has no match.
 * `draw` is a random number that chooses an endpoint set of a traffic split.
 * The strings in `out` are valid as long as the configuration.
 */
bool
JdConfig_FindRoute(const JdConfig *cfg, const JdRouteKey *rk, uint64_t draw,
                   JdRoute *out)
{
    const json_t *routes = cfg->table[JD_TABLE_ROUTES];
    const json_t *split, *route = NULL;
    const char *query = memchr(rk->path, '?', rk->path_len);
    size_t path_len =
        query == NULL ? rk->path_len : (size_t)(query - rk->path);
    char key[_JD_ROUTE_NAME_LIMIT * 2 + 1];
    size_t host_len = 0;

    path_len =
        path_len < _JD_ROUTE_NAME_LIMIT ? path_len : _JD_ROUTE_NAME_LIMIT;
    if (rk->host_len > 0 && rk->host_len < _JD_ROUTE_NAME_LIMIT) {
        host_len = normalize_host(key, rk->host, rk->host_len);
        memcpy(key + host_len, rk->path, path_len);
        key[host_len + path_len] = '\0';
        route = find_longest_prefix(routes, key, host_len, host_len + path_len,
                                    &out->name);
    }
    if (route == NULL) {
        memcpy(key, rk->path, path_len);
        key[path_len] = '\0';
        route = find_longest_prefix(routes, key, 0, path_len, &out->name);
    }
    if (route == NULL) {
        return false;
    }
    fill_route(cfg, route, out);
    split = json_object_get(route, "split");
    if (split != NULL) {
        choose_split_part(cfg, split, draw, out);
    }
    out->is_by_work = JdConfig_IsByWork(cfg, out->service);
    return true;
}

/* Returns whether a request may run more than once.  What the route's policy
 * says holds for every method; the method decides only where it says nothing.
 */
bool
JdRoute_IsIdempotent(const JdRoute *rt, const char *method)
{
    if (rt->repeat != JD_REPEAT_BY_METHOD) {
        return rt->repeat == JD_REPEAT_ALL;
    }
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
           strcmp(method, "OPTIONS") == 0;
}

/* Returns whether a request requires an idempotency key.  GET and HEAD do not,
 * unless the route's policy says that they may not run more than once. */
bool
JdRoute_NeedsKey(const JdRoute *rt, const char *method)
{
    bool is_read = strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;

    return rt->requires_key && (rt->repeat == JD_REPEAT_NONE || !is_read);
}
