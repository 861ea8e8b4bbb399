/* The load and experiment tool: dispatch of its subcommands. */
#include <stdio.h>
#include <string.h>

#include "load.h"

static const struct {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
} commands[] = {
    {"run", Load_RunExperiment, "send the requests of an experiment file"},
    {"spread", Load_MeasureConvergence,
     "append patches and measure convergence"},
    {"since", Load_MeasureApplyDelay,
     "time from a moment until a version was in force"},
    {"apply", Load_BenchmarkLibrary,
     "measure the cost of the library's parts"},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    fputs("usage: jd-load COMMAND [OPTION...]; COMMAND --help\n", stderr);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(stderr, "  %-8s %s\n", commands[i].name, commands[i].help);
    }
    return 2;
}
