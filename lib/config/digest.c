/* The digest of a document: a sum of the hashes of its entries. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

static void
hash_entry(JdTable table, const char *name, json_t *val, JdDigest *out)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    char *text = json_dumps(val, JSON_COMPACT | JSON_SORT_KEYS);
    guint8 raw[32];
    gsize len = sizeof(raw);

    g_checksum_update(sum, (const guchar *)JdTable_Name(table), -1);
    g_checksum_update(sum, (const guchar *)"", 1);
    g_checksum_update(sum, (const guchar *)name, -1);
    g_checksum_update(sum, (const guchar *)"", 1);
    g_checksum_update(sum, (const guchar *)text, -1);
    g_checksum_get_digest(sum, raw, &len);
    g_checksum_free(sum);
    free(text);
    for (int w = 0; w < JD_DIGEST_WORDS; w++) {
        out->word[w] = 0;
        for (int b = 0; b < 8; b++) {
            out->word[w] = out->word[w] << 8 | raw[w * 8 + b];
        }
    }
}

/* Adds an entry to a digest. */
void
_JdDigest_Add(JdDigest *dig, JdTable table, const char *name, json_t *val)
{
    JdDigest d;

    hash_entry(table, name, val, &d);
    for (int w = 0; w < JD_DIGEST_WORDS; w++) {
        dig->word[w] += d.word[w];
    }
}

/* Takes an entry out of a digest. */
void
_JdDigest_Remove(JdDigest *dig, JdTable table, const char *name, json_t *val)
{
    JdDigest d;

    hash_entry(table, name, val, &d);
    for (int w = 0; w < JD_DIGEST_WORDS; w++) {
        dig->word[w] -= d.word[w];
    }
}

/* Writes a digest as hexadecimal text. */
void
JdDigest_ToHex(const JdDigest *dig, char hex[JD_DIGEST_HEX_SIZE])
{
    for (int w = 0; w < JD_DIGEST_WORDS; w++) {
        g_snprintf(hex + (size_t)w * 16, 17, "%016" G_GINT64_MODIFIER "x",
                   dig->word[w]);
    }
}

/* Reads a digest from hexadecimal text.  Returns false on other text. */
bool
JdDigest_FromHex(JdDigest *dig, const char *hex)
{
    char part[17];

    if (strlen(hex) != JD_DIGEST_HEX_SIZE - 1 ||
        strspn(hex, "0123456789abcdef") != JD_DIGEST_HEX_SIZE - 1) {
        return false;
    }
    for (int w = 0; w < JD_DIGEST_WORDS; w++) {
        memcpy(part, hex + (size_t)w * 16, 16);
        part[16] = '\0';
        dig->word[w] = strtoull(part, NULL, 16);
    }
    return true;
}

/* Returns whether two digests are equal. */
bool
JdDigest_Equal(const JdDigest *a, const JdDigest *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}
