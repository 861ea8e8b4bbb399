/* A generated document, for measurements. */
#include <stdio.h>

#include "load.h"

/* Returns a patch that creates `n` services with a set and a route each. */
json_t *
Load_GenerateServices(int n)
{
    json_t *svc = json_object();
    json_t *set = json_object();
    json_t *route = json_object();

    for (int i = 0; i < n; i++) {
        char name[32], path[32];

        snprintf(name, sizeof(name), "service-%04d", i);
        snprintf(path, sizeof(path), "/service-%04d", i);
        json_object_set_new(svc, name, json_pack("{s:s}", "note", "bench"));
        json_object_set_new(set, name, json_pack("{s:s}", "service", name));
        json_object_set_new(
            route, path,
            json_pack("{s:s, s:s}", "service", name, "endpoint_set", name));
    }
    return json_pack("{s:o, s:o, s:o}", "services", svc, "endpoint_sets", set,
                     "routes", route);
}
