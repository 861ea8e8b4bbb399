/* Scripted runs of single parts: a command a line, its outcome printed. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <glib.h>

#include "jacinthdyke.h"

#define SCRIPT_WORDS_MAX 12

/* One line, split at blanks; `rest` is what follows the second word. */
typedef struct Line {
    char *word[SCRIPT_WORDS_MAX]; /* empty where there is none */
    int words;
    const char *rest;
} Line;

extern JdClock script_clock; /* paused; moved by "advance MS" */
extern JdCounters script_counters;

void ScriptStore_Run(const Line *ln);
void ScriptRequest_Run(const Line *ln);
void ScriptClaim_Run(const Line *ln);
void ScriptReader_Run(const Line *ln);

#endif
