/* The load and experiment tool. */
#ifndef JD_LOAD_H
#define JD_LOAD_H

#include <glib.h>

#include "../base/base.h"
#include "../operator/ctl.h"

/* ---- histogram.c ------------------------------------------------------- */

#define HISTOGRAM_BITS 5
#define HISTOGRAM_SIZE (64 << HISTOGRAM_BITS)

/* Counts of values with a relative error of one part in 32. */
typedef struct Histogram {
    uint64_t count[HISTOGRAM_SIZE];
    uint64_t total;
    uint64_t most;
} Histogram;

void Histogram_Init(Histogram *h);
void Histogram_Add(Histogram *h, uint64_t value);
uint64_t Histogram_Quantile(const Histogram *h, double q);

/* ---- document.c -------------------------------------------------------- */

json_t *Load_Document(int n);

/* ---- subcommands ------------------------------------------------------- */

int Load_Run(int argc, char **argv);    /* experiment.c: requests */
int Load_Spread(int argc, char **argv); /* spread.c: convergence */
int Load_Since(int argc, char **argv);  /* spread.c: after a fault */
int Load_Apply(int argc, char **argv);  /* apply.c: cost of the parts */

#endif
