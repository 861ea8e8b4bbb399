/* Generates a configuration document of a given size for benchmarks. */
#include <stdio.h>

#include "load.h"

/*
 * Returns a patch that creates `n` services, each with an endpoint set and a
 * route.
 */
json_t *
Load_GenerateServices(int n)
{
    json_t *services = json_object();
    json_t *endpoint_sets = json_object();
    json_t *routes = json_object();

    for (int i = 0; i < n; i++) {
        char name[32], path[32];

        snprintf(name, sizeof(name), "service-%04d", i);
        snprintf(path, sizeof(path), "/service-%04d", i);
        json_object_set_new(services, name,
                            json_pack("{s:s}", "note", "bench"));
        json_object_set_new(endpoint_sets, name,
                            json_pack("{s:s}", "service", name));
        json_object_set_new(
            routes, path,
            json_pack("{s:s, s:s}", "service", name, "endpoint_set", name));
    }
    return json_pack("{s:o, s:o, s:o}", "services", services, "endpoint_sets",
                     endpoint_sets, "routes", routes);
}
