/* Driver of scripted runs: reads a script from standard input. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

JdClock script_clock;
JdCounters script_counters;

static const struct {
    const char *part;
    void (*run)(const Line *ln);
} parts[] = {
    {"store", ScriptStore_Run},    {"admit", ScriptRequest_Run},
    {"budget", ScriptRequest_Run}, {"member", ScriptRequest_Run},
    {"choice", ScriptRequest_Run}, {"claim", ScriptClaim_Run},
    {"reader", ScriptReader_Run},
};

static void
print_counter(const char *name)
{
    for (int i = 0; i < JD_COUNTER_MAX; i++) {
        if (strcmp(JdCounter_Name((JdCounter)i), name) == 0) {
            printf("%s %llu\n", name,
                   (unsigned long long)script_counters.value[i]);
        }
    }
}

static void
split(char *text, Line *ln)
{
    char *save;

    memset(ln, 0, sizeof(*ln));
    for (int i = 0; i < SCRIPT_WORDS_MAX; i++) {
        ln->word[i] = "";
    }
    for (char *w = strtok_r(text, " \n", &save);
         w != NULL && ln->words < SCRIPT_WORDS_MAX;
         w = strtok_r(NULL, " \n", &save)) {
        ln->word[ln->words++] = w;
    }
}

/* Returns what follows the first `n` words. */
static const char *
skip_words(const char *p, int n)
{
    while (n-- > 0) {
        p += strspn(p, " ");
        p += strcspn(p, " \n");
    }
    return p + strspn(p, " ");
}

static void
run_line(const char *text)
{
    char copy[4096];
    Line ln;

    g_strlcpy(copy, text, sizeof(copy));
    split(copy, &ln);
    if (ln.words == 0 || ln.word[0][0] == '#') {
        return;
    }
    ln.rest = skip_words(text, 2);
    if (strcmp(ln.word[0], "advance") == 0) {
        JdClock_Advance(&script_clock,
                        strtoull(ln.word[1], NULL, 10) * JD_US_PER_MS);
        return;
    }
    if (strcmp(ln.word[0], "counter") == 0) {
        print_counter(ln.word[1]);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        if (strcmp(ln.word[0], parts[i].part) == 0) {
            parts[i].run(&ln);
            return;
        }
    }
    printf("no such command: %s\n", ln.word[0]);
}

int
main(void)
{
    char text[4096];

    JdClock_Init(&script_clock, NULL, NULL);
    /* Zero stands for "never" in places, so the clock starts later. */
    script_clock.now = JD_US_PER_S;
    while (fgets(text, sizeof(text), stdin) != NULL) {
        text[strcspn(text, "\n")] = '\0';
        run_line(text);
    }
    return 0;
}
