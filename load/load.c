/* Load generator and measurement tool: dispatches subcommands. */
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
     "append config patches and measure convergence (see spread --help)"},
    {"since", Load_MeasureApplyDelay,
     "measure the time from a moment until a version was applied everywhere"},
    {"apply", Load_BenchmarkLibrary, "benchmark the library"},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    fputs("usage: jd-load COMMAND [ARGUMENT...]\n", stderr);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(stderr, "  %-8s %s\n", commands[i].name, commands[i].help);
    }
    return 2;
}
