/* jacinthctl accounts: what client accounts may use, and have used. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

static const char *const counts[] = {"granted", "used", "refused"};

static long long
get_integer(const json_t *js, const char *name)
{
    return (long long)json_integer_value(json_object_get(js, name));
}

/* Adds the counts of an account at one node to its sums. */
static void
add_counts(json_t *sum, const json_t *entry)
{
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        json_object_set_new(sum, counts[i],
                            json_integer(get_integer(sum, counts[i]) +
                                         get_integer(entry, counts[i])));
    }
}

/* Adds the accounts of one node to the table of all, by name. */
static void
add_node(json_t *table, const json_t *answer)
{
    const char *node = json_string_value(json_object_get(answer, "node"));
    json_t *entry, *sum, *by_node;
    size_t i;

    json_array_foreach(json_object_get(answer, "accounts"), i, entry)
    {
        const char *name =
            json_string_value(json_object_get(entry, "account"));

        sum = json_object_get(table, name);
        if (sum == NULL) {
            sum = json_pack("{s:s, s:O, s:O, s:{}}", "account", name,
                            "rate_per_1000s",
                            json_object_get(entry, "rate_per_1000s"), "burst",
                            json_object_get(entry, "burst"), "nodes");
            json_object_set_new(table, name, sum);
        }
        add_counts(sum, entry);
        by_node = json_pack("{s:I, s:I, s:I}", counts[0],
                            get_integer(entry, counts[0]), counts[1],
                            get_integer(entry, counts[1]), counts[2],
                            get_integer(entry, counts[2]));
        json_object_set_new(json_object_get(sum, "nodes"), node, by_node);
    }
    sum = json_object_get(table, "");
    if (sum == NULL) {
        sum = json_pack("{s:s, s:{}}", "account", "", "nodes");
        json_object_set_new(table, "", sum);
    }
    add_counts(sum, json_object_get(answer, "others"));
}

static void
print_nodes(const json_t *sum)
{
    json_t *nodes = json_object_get(sum, "nodes");
    const char *node;
    json_t *js;

    json_object_foreach(nodes, node, js)
    {
        printf("  %s granted %lld, used %lld, refused %lld\n", node,
               get_integer(js, "granted"), get_integer(js, "used"),
               get_integer(js, "refused"));
    }
}

/* Prints an account; that without a name is the sum of those that nodes do not
 * list. */
static void
print_account(const Ctl *ctl, const char *name, json_t *sum, bool with_nodes)
{
    if (ctl->json) {
        Ctl_Print(ctl, json_incref(sum), "%s", "");
        return;
    }
    if (name[0] == '\0') {
        printf("others:");
    }
    else {
        printf("%s: limit %g/s, burst %lld,", name,
               (double)get_integer(sum, "rate_per_1000s") / 1000,
               get_integer(sum, "burst"));
    }
    printf(" granted %lld, used %lld, refused %lld\n",
           get_integer(sum, "granted"), get_integer(sum, "used"),
           get_integer(sum, "refused"));
    if (with_nodes) {
        print_nodes(sum);
    }
}

/* Adds the accounts of all members that may answer to the table. */
static void
add_members(Ctl *ctl, json_t *table, const json_t *members)
{
    json_t *member;
    size_t i;

    json_array_foreach((json_t *)members, i, member)
    {
        const char *state =
            json_string_value(json_object_get(member, "state"));
        json_t *answer;

        if (strcmp(state, "lost") == 0 || strcmp(state, "left") == 0) {
            continue;
        }
        answer = CtlFleet_Query(
            ctl, json_string_value(json_object_get(member, "admin")), "GET",
            "/accounts");
        if (answer != NULL) {
            add_node(table, answer);
            json_decref(answer);
        }
    }
}

/* Lists the accounts that nodes use most, or one of them by node. */
CtlExit
CtlAccounts_List(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    json_t *members, *table, *sum;
    const char *name;

    if (ctl->node_address == NULL) {
        JdError_Set(&err, JD_ERR_USAGE, "", "--node is required");
        return Ctl_Fail(ctl, &err);
    }
    members = CtlFleet_Query(ctl, ctl->node_address, "GET", "/members");
    if (members == NULL) {
        JdError_Set(&err, JD_ERR_UNREACHABLE, "", "no answer from %s",
                    ctl->node_address);
        return Ctl_Fail(ctl, &err);
    }
    table = json_object();
    add_members(ctl, table, members);
    json_decref(members);
    json_object_foreach(table, name, sum)
    {
        if (argc == 0 || strcmp(args[0], name) == 0) {
            print_account(ctl, name, sum, argc > 0);
        }
    }
    json_decref(table);
    return CTL_EXIT_OK;
}
