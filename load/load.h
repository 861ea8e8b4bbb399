/* Load generator and measurement tool: shared declarations. */
#ifndef JD_LOAD_H
#define JD_LOAD_H

#include <glib.h>

#include "../base/base.h"
#include "../operator/ctl.h"

/* ---- histogram.c ------------------------------------------------------- */

/* Each power of two is split into 2^5 buckets of equal width, which bounds the
 * relative error of a quantile to 1/32. */
#define HISTOGRAM_SUBBUCKET_BITS 5
#define HISTOGRAM_BUCKETS (64 << HISTOGRAM_SUBBUCKET_BITS)

/* Histogram of 64-bit values in buckets of constant relative width. */
typedef struct Histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    uint64_t max;
} Histogram;

void Histogram_Init(Histogram *h);
void Histogram_Add(Histogram *h, uint64_t value);
uint64_t Histogram_Quantile(const Histogram *h, double q);

/* ---- document.c -------------------------------------------------------- */

json_t *Load_GenerateServices(int n);

/* ---- subcommands ------------------------------------------------------- */

/* experiment.c: sends the requests of an experiment file */
int Load_RunExperiment(int argc, char **argv);
/* spread.c: appends patches, measures when every node applied them */
int Load_MeasureConvergence(int argc, char **argv);
/* spread.c: measures when every node applied a version, e.g. after a fault */
int Load_MeasureApplyDelay(int argc, char **argv);
/* apply.c: benchmarks the store, the member table and frame sizes */
int Load_BenchmarkLibrary(int argc, char **argv);

#endif
