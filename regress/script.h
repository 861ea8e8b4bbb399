/*
 * Scripted tests of single components.  Each line of the script is a command,
 * whose result is printed and compared with the expected output.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <glib.h>

#include "jacinthdyke.h"

#define SCRIPT_WORDS_MAX 12

/* One line, split at blanks. */
typedef struct Line {
    char *word[SCRIPT_WORDS_MAX]; /* missing words are empty strings */
    int words;                    /* number of words */
    const char *rest;             /* text after the second word */
} Line;

extern JdClock script_clock; /* simulated; "advance MS" moves it */
extern JdCounters script_counters;

void ScriptStore_Run(const Line *ln);
void ScriptRequest_Run(const Line *ln);
void ScriptClaim_Run(const Line *ln);
void ScriptReader_Run(const Line *ln);

#endif
